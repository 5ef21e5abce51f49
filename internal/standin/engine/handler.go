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

// handler is an http.HandlerFunc that knows the engine's present life.
type handler func(life context.Context, w http.ResponseWriter, r *http.Request)

// Handler serves the engine over HTTP. A crashed engine breaks connections.
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
		"DELETE " + pathKV:              e.serveImported,
	}
	mux := http.NewServeMux()
	for pattern, h := range routes {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			life, ok := e.ready(r.Context())
			if !ok {
				hangUp()
			}
			h(life, w, r)
		})
	}
	return e.Received.Wrap(mux)
}

// hangUp breaks the connection without an answer.
func hangUp() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) servePrefill(life context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.PrefillRequest
	if !decodeBody(w, r, &q) {
		return
	}
	handle, fail, ok := e.prefillPrompt(r.Context(), life, q)
	e.answer(w, r, handle, fail, ok)
}

func (e *Engine) serveDecode(life context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.DecodeRequest
	if !decodeBody(w, r, &q) {
		return
	}
	d, fail, ok := e.startDecode(r.Context(), life, q)
	if fail != nil || !ok {
		e.answer(w, r, nil, fail, ok)
		return
	}
	e.stream(life, w, r, d, q.Offset)
}

func (e *Engine) serveResume(life context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.ResumeRequest
	if !decodeBody(w, r, &q) {
		return
	}
	d, ok := e.readable(contract.CallID(q.Call))
	if !ok {
		refuse(w, engineapi.Error{Code: engineapi.CodeUnknownCall, Message: "no such call"})
		return
	}
	e.stream(life, w, r, d, q.Offset)
}

// stream writes output as it comes. When the reader hangs up the request runs
// on, and can be resumed or cancelled.
func (e *Engine) stream(life context.Context, w http.ResponseWriter, r *http.Request, d *decode, offset contract.Tokens) {
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
			hangUp()
		case <-life.Done():
			hangUp()
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
	write(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveOrder(life context.Context, w http.ResponseWriter, r *http.Request) {
	var q engineapi.Order
	if !decodeBody(w, r, &q) {
		return
	}
	fail, ok := e.order(r.Context(), life, q)
	e.answer(w, r, struct{}{}, fail, ok)
}

func (e *Engine) serveLoad(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, e.loadReport())
}

func (e *Engine) serveState(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, e.state())
}

func (e *Engine) serveEvents(_ context.Context, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(engineapi.ParamAfter), 10, 64)
	if err != nil {
		refuse(w, *reject(err.Error()))
		return
	}
	e.mu.Lock()
	events := e.cache.since(after, time.Now())
	e.mu.Unlock()
	write(w, http.StatusOK, engineapi.EventsReply{Events: events})
}

func (e *Engine) serveHealth(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, struct{}{})
}

// serveExport gives a KV cache away and pins it until the importer hangs up.
func (e *Engine) serveExport(life context.Context, w http.ResponseWriter, r *http.Request) {
	p, ok := e.beginExport(r.FormValue(paramID))
	if !ok {
		refuse(w, engineapi.Error{Code: engineapi.CodeEvicted, Message: "no such KV cache"})
		return
	}
	defer e.endExport(p)
	if !e.exportable(r.Context(), life) {
		hangUp()
	}
	kv := kvCache{Hash: p.hash, Tokens: p.tokens, Blocks: p.blocks, Head: p.prompt[:min(len(p.prompt), promptHead)]}
	_ = json.NewEncoder(w).Encode(kv)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-life.Done():
		hangUp()
	}
}

func (e *Engine) serveImported(_ context.Context, w http.ResponseWriter, r *http.Request) {
	if !e.imported(r.FormValue(paramID)) {
		refuse(w, engineapi.Error{Code: engineapi.CodeEvicted, Message: "no such KV cache"})
		return
	}
	write(w, http.StatusOK, struct{}{})
}

// answer writes a reply or an error, or hangs up when there is neither.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, reply any, fail *engineapi.Error, ok bool) {
	if !ok {
		hangUp()
	}
	// An engine that froze meanwhile answers when it thaws.
	if _, up := e.ready(r.Context()); !up {
		hangUp()
	}
	if fail != nil {
		refuse(w, *fail)
		return
	}
	write(w, http.StatusOK, reply)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(w, *reject(err.Error()))
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, fail engineapi.Error) {
	write(w, fail.Code.Status(), engineapi.ErrorReply{Error: fail})
}

func write(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
