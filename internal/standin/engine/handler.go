package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
)

// handler is an http.HandlerFunc with the lifetime in which the request arrived.
type handler func(lifetime context.Context, w http.ResponseWriter, r *http.Request)

// Handler serves the engine's API in the form of package engineapi, and KV caches
// to other engines. A crashed engine breaks connections without a response.
func (e *Engine) Handler() http.Handler {
	routes := map[string]handler{
		"POST " + engineapi.PathPrefill: e.servePrefill,
		"POST " + engineapi.PathDecode:  e.serveDecode,
		"POST " + engineapi.PathResume:  e.serveResume,
		"POST " + engineapi.PathCancel:  e.serveCancel,
		"POST " + engineapi.PathOrders:  e.serveOrder,
		"GET " + engineapi.PathLoad:     e.serveLoad,
		"GET " + engineapi.PathState:    e.serveState,
		"GET " + engineapi.PathEvents:   e.serveEvents,
		"GET " + engineapi.PathHealth:   e.serveHealth,
		"GET " + pathKV:                 e.serveExport,
		"DELETE " + pathKV:              e.serveDropImported,
	}
	mux := http.NewServeMux()
	for pattern, h := range routes {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			lifetime, ok := e.awaitRunning(r.Context())
			if !ok {
				abortConnection()
			}
			h(lifetime, w, r)
		})
	}
	return e.Received.Wrap(mux)
}

// abortConnection breaks the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) servePrefill(lifetime context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.PrefillRequest
	if !decodeBody(w, r, &q) {
		return
	}
	handle, apiErr, ok := e.prefillPrompt(r.Context(), lifetime, q)
	e.respond(w, r, handle, apiErr, ok)
}

func (e *Engine) serveDecode(lifetime context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.DecodeRequest
	if !decodeBody(w, r, &q) {
		return
	}
	d, apiErr, ok := e.startDecode(r.Context(), lifetime, q)
	if apiErr != nil || !ok {
		e.respond(w, r, nil, apiErr, ok)
		return
	}
	e.stream(lifetime, w, r, d, q.Offset)
}

func (e *Engine) serveResume(lifetime context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.ResumeRequest
	if !decodeBody(w, r, &q) {
		return
	}
	d, ok := e.findDecode(contract.CallID(q.Call))
	if !ok {
		writeError(w, engineapi.Error{Code: engineapi.CodeUnknownCall, Message: "unknown call"})
		return
	}
	e.stream(lifetime, w, r, d, q.Offset)
}

// stream writes output as it is generated. If the client disconnects, the request
// continues, and can be resumed or cancelled.
func (e *Engine) stream(lifetime context.Context, w http.ResponseWriter, r *http.Request, d *decode, offset contract.Tokens) {
	lines := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	cut := e.streamsCut()
	call := engineapi.Call(d.call)
	if lines.Encode(engineapi.Event{Call: &call}) != nil {
		return
	}
	_ = flush()
	for {
		event, wait := e.output(d, offset)
		if wait == nil {
			if lines.Encode(event) != nil || event.Done || event.Error != nil {
				return
			}
			_ = flush()
			offset += contract.Tokens(len(event.Texts))
			continue
		}
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		case <-cut:
			abortConnection()
		case <-lifetime.Done():
			abortConnection()
		}
	}
}

func (e *Engine) serveCancel(_ context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.CancelRequest
	if !decodeBody(w, r, &q) {
		return
	}
	e.mu.Lock()
	e.cancel(contract.CallID(q.Call))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveOrder(lifetime context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.Order
	if !decodeBody(w, r, &q) {
		return
	}
	apiErr, ok := e.order(r.Context(), lifetime, q)
	e.respond(w, r, struct{}{}, apiErr, ok)
}

func (e *Engine) serveLoad(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.loadReport())
}

func (e *Engine) serveState(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.state())
}

func (e *Engine) serveEvents(_ context.Context, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(engineapi.ParamAfter), 10, 64)
	if err != nil {
		writeError(w, *rejectedError(err.Error()))
		return
	}
	e.mu.Lock()
	events := e.cache.since(after, time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, engineapi.EventsReply{Events: events})
}

func (e *Engine) serveHealth(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

// serveExport sends a KV cache and pins it until the importer disconnects.
func (e *Engine) serveExport(lifetime context.Context, w http.ResponseWriter, r *http.Request) {
	p, ok := e.beginExport(r.FormValue(paramID))
	if !ok {
		writeError(w, engineapi.Error{Code: engineapi.CodeEvicted, Message: "no such KV cache"})
		return
	}
	defer e.endExport(p)
	if !e.awaitExport(r.Context(), lifetime) {
		abortConnection()
	}
	kv := kvCache{Hash: p.hash, Tokens: p.tokens, Blocks: p.blocks, Head: p.prompt[:min(len(p.prompt), maxHeadBytes)]}
	_ = json.NewEncoder(w).Encode(kv)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-lifetime.Done():
		abortConnection()
	}
}

// serveDropImported drops a KV cache after its import.
func (e *Engine) serveDropImported(_ context.Context, w http.ResponseWriter, r *http.Request) {
	if !e.dropImported(r.FormValue(paramID)) {
		writeError(w, engineapi.Error{Code: engineapi.CodeEvicted, Message: "no such KV cache"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// respond writes a reply or an error. If ok is false it breaks the connection.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, reply any, apiErr *engineapi.Error, ok bool) {
	if !ok {
		abortConnection()
	}
	// An engine that froze meanwhile responds when it thaws.
	if _, up := e.awaitRunning(r.Context()); !up {
		abortConnection()
	}
	if apiErr != nil {
		writeError(w, *apiErr)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeError(w, *rejectedError(err.Error()))
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, apiErr engineapi.Error) {
	writeJSON(w, apiErr.Code.Status(), engineapi.ErrorReply{Error: apiErr})
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
