// Package api serves the administration API over HTTP and JSON: statements of
// the operators' language, queries by path, the process's metrics and whether
// it is ready.
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
	// MaxBody bounds a request's body, in bytes.
	MaxBody = 4 << 20
	// MaxStatements bounds the statements of one request.
	MaxStatements = 2000
	// MaxRunning bounds the requests that run at a time.
	MaxRunning = 16
	// MaxHeader bounds the headers, in bytes.
	MaxHeader = 16 << 10
	// HeaderTimeout and ReadTimeout bound the sending of a request.
	HeaderTimeout = 5 * time.Second
	ReadTimeout   = 15 * time.Second
	// WriteTimeout bounds a request in all; a command may wait for MaxInForceWait.
	WriteTimeout = operator.MaxInForceWait + operator.AcceptTimeout + 15*time.Second
	// IdleTimeout closes connections with no request.
	IdleTimeout = time.Minute
)

// Options configure the API. A nil Service serves only the metrics and whether
// the process is ready.
type Options struct {
	Service   *operator.Service
	Operators []Operator
	// Ready reports whether the process takes new work, and if not, why.
	Ready func() (ok bool, reason string)
	Log   hclog.Logger
}

// handler serves the API.
type handler struct {
	Options
	running chan struct{}
}

// NewServer returns the HTTP server of the operators' listener with its limits.
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

// NewHandler returns the handler of the API.
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
		fail(http.StatusNotFound, wire.CodeUnknownPath, "there is no such path, or it takes another method").write(w)
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
	if _, failed := allow(h.Operators, r, RoleRead); failed != nil {
		failed.write(w)
		return
	}
	expvar.Handler().ServeHTTP(w, r)
}

// enter takes a place among the running requests.
func (h *handler) enter() (leave func(), failed *failure) {
	select {
	case h.running <- struct{}{}:
		return func() { <-h.running }, nil
	default:
		return nil, fail(http.StatusServiceUnavailable, wire.CodeBusy, "too many operators' requests are running")
	}
}

// subject answers GET /v1/SUBJECT?where=…&order_by=…&limit=….
func (h *handler) subject(w http.ResponseWriter, r *http.Request) {
	response, failed := h.askSubject(r)
	answer(w, response, failed)
}

func (h *handler) askSubject(r *http.Request) (*wire.Response, *failure) {
	if _, failed := allow(h.Operators, r, RoleRead); failed != nil {
		return nil, failed
	}
	line := r.PathValue("subject")
	if operator.ColumnsOf(operator.Subject(line)) == nil {
		return nil, fail(http.StatusNotFound, wire.CodeUnknownPath, fmt.Sprintf("there is no subject %q", line))
	}
	leave, failed := h.enter()
	if failed != nil {
		return nil, failed
	}
	defer leave()
	statement, err := language.Parse(line + clauses(r.URL.Query()))
	if err != nil {
		return nil, fromStatement(0, err)
	}
	return h.query(r, *statement.Query)
}

// clauses writes the parameters as the clauses of a query.
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
		return nil, fail(http.StatusServiceUnavailable, wire.CodeStoreUnavailable, err.Error())
	}
	return &wire.Response{Table: wire.FromTable(table)}, nil
}

// answer writes a response or a failure.
func answer(w http.ResponseWriter, response *wire.Response, failed *failure) {
	if failed != nil {
		failed.write(w)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// decode reads the body of a request.
func decode(w http.ResponseWriter, r *http.Request) (q wire.Request, failed *failure) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&q)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return q, fail(http.StatusRequestEntityTooLarge, wire.CodeTooLarge, fmt.Sprintf("the body has more than %d bytes", MaxBody))
	case err != nil:
		return q, fail(http.StatusBadRequest, wire.CodeMalformed, "the body is not the JSON of a request: "+err.Error())
	case decoder.More():
		return q, fail(http.StatusBadRequest, wire.CodeMalformed, "the body has more than one JSON value")
	case len(q.Statements) == 0 || len(q.Statements) > MaxStatements:
		return q, fail(http.StatusBadRequest, wire.CodeMalformed, fmt.Sprintf("give 1 to %d statements", MaxStatements))
	default:
		return q, nil
	}
}
