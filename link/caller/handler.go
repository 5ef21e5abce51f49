// Package caller is the HTTP front end for callers: OpenAI-style completions and
// plain service calls. It decodes requests, keeps callers' keys out of what is
// sent to upstreams, and encodes responses and refusals. It checks the form and
// size of a request and leaves every other decision to the contract.Server.
package caller

import (
	"context"
	"net/http"
	"path"
	"runtime/debug"
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/link/bytebudget"
)

// Paths with handlers of their own; all others are service calls.
const (
	// PathCompletions completes a prompt.
	PathCompletions = "/v1/completions"
	// PathChat completes a chat.
	PathChat = "/v1/chat/completions"
	// PathReady is the readiness check of the load balancer.
	PathReady = "/-/ready"
)

// Handler serves callers. Its methods are safe for concurrent use, except SetReadinessCheck.
type Handler struct {
	server contract.Server
	limits Limits
	log    hclog.Logger
	clock  clock.Clock
	mux    *http.ServeMux
	// bodies is shared by all running requests.
	bodies    *bytebudget.Budget
	readiness readiness
	// extraCheck is a further condition for readiness; nil for none.
	extraCheck func() (ok bool, reason string)
}

// NewHandler returns the handler of the callers' listener. PathReady reports
// "starting" until SetReady.
func NewHandler(server contract.Server, limits Limits, log hclog.Logger) *Handler {
	h := &Handler{
		server: server,
		limits: limits.withDefaults(),
		log:    log,
		clock:  clock.System{},
		mux:    http.NewServeMux(),
	}
	h.bodies = bytebudget.New(h.limits.HeldBytes)
	h.readiness.setUnready("starting")
	h.mux.HandleFunc("GET "+PathReady, h.serveReady)
	h.mux.HandleFunc("POST "+PathCompletions, h.generate(textCompletion))
	h.mux.HandleFunc("POST "+PathChat, h.generate(chatCompletion))
	h.mux.HandleFunc("/", h.call)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.newExchange(w)
	if !cleanPath(r.URL.Path) {
		h.refuse(e, malformed("the path is not in its shortest form"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// cleanPath reports whether a path is absolute without ".", ".." or empty elements.
// Otherwise the service could resolve it to another path than the one routed.
func cleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

func (h *Handler) newExchange(w http.ResponseWriter) *exchange {
	return &exchange{
		w:            w,
		control:      http.NewResponseController(w),
		now:          h.clock.Now,
		writeTimeout: h.limits.WriteTimeout,
	}
}

// receivedRequest holds the parts that all requests have in common. release must be
// called when the request has ended.
type receivedRequest struct {
	key            string
	idempotencyKey string
	// refused is the refusal of a request that is read only because it may repeat an
	// earlier one.
	refused *contract.Refusal
	body    []byte
	release func()
}

// receive refuses the request while draining, else reads its headers and body. A call with an
// idempotency key may repeat one that ran: while draining it is read all the same, and if
// its body cannot be read, its refusal does not state that it did not run.
func (h *Handler) receive(e *exchange, r *http.Request, isCall bool) (received receivedRequest, refusal *contract.Refusal) {
	received.refused = h.readiness.checkDraining()
	received.key, refusal = bearerKey(r.Header)
	if refusal == nil {
		received.idempotencyKey, refusal = idempotencyKey(r.Header)
	}
	mayRepeat := isCall && received.idempotencyKey != ""
	if received.refused != nil && !mayRepeat {
		return received, received.refused
	}
	if refusal != nil {
		return received, refusal
	}
	received.body, received.release, refusal = h.readBody(e, r)
	if refusal != nil && mayRepeat {
		return received, refusal.MaybeRan()
	}
	return received, refusal
}

// generate returns the HTTP handler of one kind of completion.
func (h *Handler) generate(kind completionKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := h.newExchange(w)
		received, refusal := h.receive(e, r, false)
		if refusal != nil {
			h.refuse(e, refusal)
			return
		}
		defer received.release()
		g, stream, refusal := decodeGenerate(kind, received.body, h.limits)
		if refusal != nil {
			h.refuse(e, refusal)
			return
		}
		in := contract.Incoming{Key: received.key, Generate: g, IdempotencyKey: received.idempotencyKey}
		out := output{kind: kind, model: g.Model, maxTokens: g.MaxTokens, created: h.clock.Now()}
		if stream {
			h.serve(r.Context(), e, in, &streamSink{exchange: e, output: out})
			return
		}
		h.serve(r.Context(), e, in, &wholeSink{exchange: e, output: out})
	}
}

// call serves a call to a plain service.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	e := h.newExchange(w)
	received, refusal := h.receive(e, r, true)
	if refusal != nil {
		h.refuse(e, refusal)
		return
	}
	defer received.release()
	call, refusal := decodeCall(r, received.body)
	if refusal != nil {
		h.refuse(e, refusal)
		return
	}
	in := contract.Incoming{Key: received.key, Call: call, IdempotencyKey: received.idempotencyKey, Refused: received.refused}
	h.serve(r.Context(), e, in, &serviceSink{exchange: e})
}

// serve passes a decoded request to the server and finishes the response. Nothing
// is written to a caller that has disconnected.
func (h *Handler) serve(ctx context.Context, e *exchange, in contract.Incoming, sink responder) {
	if refusal := checkKeyNotForwarded(&in); refusal != nil {
		h.refuse(e, refusal)
		return
	}
	served := h.run(ctx, in, sink)
	if ctx.Err() != nil {
		return
	}
	if err := sink.finish(served); err != nil {
		h.log.Debug("response not written", "request", e.requestID(), "error", err)
	}
}

// run calls the server. A panic fails only this request, with CodeInternal.
func (h *Handler) run(ctx context.Context, in contract.Incoming, sink responder) (refusal *contract.Refusal) {
	defer func() {
		if reason := recover(); reason != nil {
			h.log.Error("panic while serving a request", "reason", reason, "stack", string(debug.Stack()))
			refusal = &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "the request failed inside the entry"}
		}
	}()
	return h.server.Serve(ctx, in, sink)
}

// refuse answers a request that was not passed to the server. It closes the
// connection, since the rest of the request may not have been read.
func (h *Handler) refuse(e *exchange, refusal *contract.Refusal) {
	e.w.Header().Set("Connection", "close")
	if err := e.writeRefusal(refusal); err != nil {
		h.log.Debug("refusal not written", "code", refusal.Code, "error", err)
	}
}
