// Package platform serves the platform stand-in of package memplatform over HTTP
// and JSON, in the format of package rest. The development program and tests run
// it; faults are injected in memplatform.
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

// Handler serves a platform. Faults are set on p, also while it is served.
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
	respond(w, rest.RowsReply{Rows: rest.EncodeRows(rows)}, err)
}

func scan(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	var q rest.ScanRequest
	if !decode(w, r, &q) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), q.Prefix, q.After, q.Limit)
	respond(w, rest.RowsReply{Rows: rest.EncodeRows(rows)}, err)
}

func commit(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	var q rest.CommitRequest
	if !decode(w, r, &q) {
		return
	}
	respond(w, struct{}{}, p.Table.Commit(detached(r), q.Transaction()))
}

func putObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		badRequest(w, err)
		return
	}
	respond(w, struct{}{}, p.Objects.Put(detached(r), r.FormValue(rest.ParamName), body))
}

func getObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := p.Objects.Get(r.Context(), r.FormValue(rest.ParamName))
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func deleteObject(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, p.Objects.Delete(detached(r), r.FormValue(rest.ParamName)))
}

func listObjects(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	names, err := p.Objects.List(r.Context(), r.FormValue(rest.ParamPrefix))
	respond(w, rest.NamesReply{Names: names}, err)
}

// listInstances answers 304 if the list has the entity tag of If-None-Match.
func listInstances(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	list, err := p.Instances.List(r.Context())
	reply := rest.InstancesReply{Instances: []rest.ListedInstance{}}
	hash := xxhash.New()
	for _, listed := range list {
		reply.Instances = append(reply.Instances, rest.EncodeListed(listed))
		fmt.Fprintf(hash, "%+v\n", listed)
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 16))
	if err == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	respond(w, reply, err)
}

func fetchWeights(p *memplatform.Platform, w http.ResponseWriter, r *http.Request) {
	body, err := p.Weights.Fetch(r.Context(), r.FormValue(rest.ParamModel))
	if err != nil {
		respondError(w, err)
		return
	}
	defer body.Close()
	if _, err := io.Copy(w, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// detached returns the context of a write, which takes effect even if its sender
// disconnects.
func detached(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		badRequest(w, err)
		return false
	}
	return true
}

func badRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, rest.ErrorReply{Error: err.Error()})
}

func respond(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// respondError writes the status of an error. It breaks the connection for an
// error without a status, which simulates a lost answer.
func respondError(w http.ResponseWriter, err error) {
	status, ok := rest.StatusOf(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, rest.ErrorReply{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
