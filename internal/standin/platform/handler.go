// Package platform serves the stand-ins of package memplatform over HTTP and
// JSON, in the form that package rest reads.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 64 << 20

// Handler serves a platform. Faults are set at the Platform itself.
func Handler(p *memplatform.Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rest.PathGet, func(w http.ResponseWriter, r *http.Request) { get(p, w, r) })
	mux.HandleFunc("POST "+rest.PathScan, func(w http.ResponseWriter, r *http.Request) { scan(p, w, r) })
	mux.HandleFunc("POST "+rest.PathCommit, func(w http.ResponseWriter, r *http.Request) { commit(p, w, r) })
	mux.HandleFunc("PUT "+rest.PathObject, func(w http.ResponseWriter, r *http.Request) { putObject(p, w, r) })
	mux.HandleFunc("GET "+rest.PathObject, func(w http.ResponseWriter, r *http.Request) { getObject(p, w, r) })
	mux.HandleFunc("DELETE "+rest.PathObject, func(w http.ResponseWriter, r *http.Request) { deleteObject(p, w, r) })
	mux.HandleFunc("GET "+rest.PathObjects, func(w http.ResponseWriter, r *http.Request) { listObjects(p, w, r) })
	mux.HandleFunc("GET "+rest.PathInstances, func(w http.ResponseWriter, r *http.Request) { listInstances(p, w, r) })
	mux.HandleFunc("GET "+rest.PathWeights, func(w http.ResponseWriter, r *http.Request) { fetchWeights(p, w, r) })
	return http.MaxBytesHandler(mux, maxBody)
}

func get(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	var q rest.GetRequest
	if !decode(w, r, &q) {
		return
	}
	rows, err := p.Table.Get(r.Context(), q.Keys...)
	answer(w, rest.RowsReply{Rows: rest.EncodeRows(rows)}, err)
}

func scan(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	var q rest.ScanRequest
	if !decode(w, r, &q) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), q.Prefix, q.After, q.Limit)
	answer(w, rest.RowsReply{Rows: rest.EncodeRows(rows)}, err)
}

func commit(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	var q rest.CommitRequest
	if !decode(w, r, &q) {
		return
	}
	answer(w, struct{}{}, p.Table.Commit(lasting(r), q.Transaction()))
}

func putObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reject(w, err)
		return
	}
	answer(w, struct{}{}, p.Objects.Put(lasting(r), r.FormValue(rest.ParamName), body))
}

func getObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := p.Objects.Get(r.Context(), r.FormValue(rest.ParamName))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func deleteObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, p.Objects.Delete(lasting(r), r.FormValue(rest.ParamName)))
}

func listObjects(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	names, err := p.Objects.List(r.Context(), r.FormValue(rest.ParamPrefix))
	answer(w, rest.NamesReply{Names: names}, err)
}

func listInstances(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	list, err := p.Instances.List(r.Context())
	reply := rest.InstancesReply{Instances: []rest.Listed{}}
	digest := xxhash.New()
	for _, listed := range list {
		reply.Instances = append(reply.Instances, rest.EncodeListed(listed))
		fmt.Fprintf(digest, "%+v\n", listed)
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(digest.Sum64(), 16))
	if err == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	answer(w, reply, err)
}

func fetchWeights(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := p.Weights.Fetch(r.Context(), r.FormValue(rest.ParamModel))
	if err != nil {
		fail(w, err)
		return
	}
	defer body.Close()
	if _, err := io.Copy(w, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// lasting is the context of a write: one that has arrived takes effect also when
// its sender hangs up.
func lasting(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		reject(w, err)
		return false
	}
	return true
}

func reject(w http.ResponseWriter, err error) {
	write(w, http.StatusBadRequest, rest.ErrorReply{Error: err.Error()})
}

func answer(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, reply)
}

// fail answers with the error's status, or breaks the connection for an error
// that stands for a lost answer.
func fail(w http.ResponseWriter, err error) {
	status, ok := rest.StatusOf(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	write(w, status, rest.ErrorReply{Error: err.Error()})
}

func write(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
