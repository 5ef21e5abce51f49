// Package api serves the administration API over HTTP and JSON: statements of
// the operators' language, queries by path, the process's metrics, liveness and
// readiness. It authenticates operators and bounds concurrent requests; parsing
// is left to package language, execution to instance/operator.
package api

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Limits of the API.
const (
	// MaxBody bounds the body of a request, in bytes.
	MaxBody = 4 << 20
	// MaxStatements bounds the statements of one request.
	MaxStatements = 2000
	// MaxRunning bounds the statements and queries that run concurrently; further
	// requests are refused with CodeBusy.
	MaxRunning = 16
	// MaxHeader bounds the headers of a request, in bytes.
	MaxHeader = 16 << 10
	// HeaderTimeout and ReadTimeout bound the time in which a client sends the
	// headers and the whole request.
	HeaderTimeout = 5 * time.Second
	ReadTimeout   = 15 * time.Second
	// WriteTimeout bounds the time from the headers to the end of the response; a
	// command may wait up to MaxInForceWait.
	WriteTimeout = operator.MaxInForceWait + operator.AcceptTimeout + 15*time.Second
	// IdleTimeout bounds how long a connection without a request stays open.
	IdleTimeout = time.Minute
)

// Options configure the API. With a nil Service only liveness, readiness and
// metrics are served.
type Options struct {
	Service   *operator.Service
	Operators []Operator
	// Ready reports whether the process accepts new work, and the reason if not.
	Ready func() (ok bool, reason string)
	Log   hclog.Logger
}

// handler serves the API. running holds one element for each running request.
type handler struct {
	Options
	running chan struct{}
}

// NewServer returns an HTTP server for the operators' listener, with the limits
// of this package.
func NewServer(o Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout:       ReadTimeout,
		WriteTimeout:      WriteTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeader,
		ErrorLog:          o.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// NewHandler returns the handler of all paths of the API.
func NewHandler(o Options) http.Handler {
	h := &handler{Options: o, running: make(chan struct{}, MaxRunning)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", h.live)
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /debug/vars", h.vars)
	if o.Service != nil {
		mux.HandleFunc("POST "+wire.StatementsPath, h.statements)
		mux.HandleFunc("GET /v1/{subject}", h.subject)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		newFailure(http.StatusNotFound, wire.CodeUnknownPath, "the path does not exist or does not accept this method").write(w)
	})
	return mux
}

func (h *handler) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"live": true})
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := h.Ready()
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"reason,omitempty"`
	}{ok, reason})
}

func (h *handler) vars(w http.ResponseWriter, r *http.Request) {
	if _, failed := authorize(h.Operators, r, RoleRead); failed != nil {
		failed.write(w)
		return
	}
	expvar.Handler().ServeHTTP(w, r)
}

// acquire takes one of the MaxRunning places without waiting. The caller must
// call release when the request ends.
func (h *handler) acquire() (release func(), failed *failure) {
	select {
	case h.running <- struct{}{}:
		return func() { <-h.running }, nil
	default:
		return nil, newFailure(http.StatusServiceUnavailable, wire.CodeBusy, "too many operators' requests are running")
	}
}

// subject serves GET /v1/SUBJECT?where=…&order_by=…&limit=….
func (h *handler) subject(w http.ResponseWriter, r *http.Request) {
	response, failed := h.querySubject(r)
	writeResult(w, response, failed)
}

func (h *handler) querySubject(r *http.Request) (*wire.Response, *failure) {
	if _, failed := authorize(h.Operators, r, RoleRead); failed != nil {
		return nil, failed
	}
	line := r.PathValue("subject")
	if operator.ColumnsOf(operator.Subject(line)) == nil {
		return nil, newFailure(http.StatusNotFound, wire.CodeUnknownPath, fmt.Sprintf("subject %q does not exist", line))
	}
	release, failed := h.acquire()
	if failed != nil {
		return nil, failed
	}
	defer release()
	statement, err := language.Parse(line + clauses(r.URL.Query()))
	if err != nil {
		return nil, statementFailure(0, err)
	}
	return h.query(r, *statement.Query)
}

// clauses formats URL parameters as the clauses of a query.
func clauses(parameters url.Values) string {
	var b strings.Builder
	for _, clause := range []struct{ parameter, words string }{{"where", "where"}, {"order_by", "order by"}, {"limit", "limit"}} {
		if given := parameters.Get(clause.parameter); given != "" {
			fmt.Fprintf(&b, " %s %s", clause.words, given)
		}
	}
	return b.String()
}

func (h *handler) query(r *http.Request, q operator.Query) (*wire.Response, *failure) {
	table, err := h.Service.Query(r.Context(), q)
	if err != nil {
		return nil, newFailure(http.StatusServiceUnavailable, wire.CodeStoreUnavailable, err.Error())
	}
	return &wire.Response{Table: wire.FromTable(table)}, nil
}

// writeResult sends the failure if there is one, else the response.
func writeResult(w http.ResponseWriter, response *wire.Response, failed *failure) {
	if failed != nil {
		failed.write(w)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// decode reads and checks the body of a request: one JSON value without unknown
// fields, with 1 to MaxStatements statements.
func decode(w http.ResponseWriter, r *http.Request) (q wire.Request, failed *failure) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&q)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return q, newFailure(http.StatusRequestEntityTooLarge, wire.CodeTooLarge, fmt.Sprintf("the body has more than %d bytes", MaxBody))
	case err != nil:
		return q, newFailure(http.StatusBadRequest, wire.CodeMalformed, "the body is not a valid JSON request: "+err.Error())
	case decoder.More():
		return q, newFailure(http.StatusBadRequest, wire.CodeMalformed, "the body has more than one JSON value")
	case len(q.Statements) == 0 || len(q.Statements) > MaxStatements:
		return q, newFailure(http.StatusBadRequest, wire.CodeMalformed, fmt.Sprintf("a request must hold 1 to %d statements", MaxStatements))
	default:
		return q, nil
	}
}
