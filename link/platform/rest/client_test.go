package rest_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/inproc"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	standin "github.com/trefoilwalk/trefoilwalk/internal/standin/platform"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/platform/platformtest"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
)

func subject(p *memplatform.Platform, c *rest.Client) platformtest.Implementation {
	return platformtest.Implementation{Table: c.Table(), Objects: c.Objects(), Instances: c.Instances(), Weights: c.Weights(), Standin: p}
}

func TestContractOverLoopback(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Implementation {
		p := memplatform.New()
		server := httptest.NewServer(standin.Handler(p))
		t.Cleanup(server.Close)
		c := rest.New(server.URL, nil)
		t.Cleanup(c.Close)
		return subject(p, c)
	})
}

func TestContractInProcess(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Implementation {
		p := memplatform.New()
		return subject(p, rest.New("http://platform", inproc.Transport{Handler: standin.Handler(p)}))
	})
}

// TestCommitErrors checks the error of a write when the server, a gateway or the
// connection fails, or nothing listens.
func TestCommitErrors(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"server failed", status(http.StatusInternalServerError), platform.ErrOutcomeUnknown},
		{"gateway timed out", status(http.StatusGatewayTimeout), platform.ErrOutcomeUnknown},
		{"request was rejected", status(http.StatusBadRequest), platform.ErrUnavailable},
		{"redirect is not followed", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}, platform.ErrOutcomeUnknown},
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrOutcomeUnknown},
		{"response cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, platform.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.answer)
			defer server.Close()
			err := rest.New(server.URL, nil).Table().Commit(t.Context(), platform.Transaction{})
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		l.Close()
		err = rest.New("http://"+addr, nil).Table().Commit(t.Context(), platform.Transaction{})
		if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Errorf("got %v", err)
		}
	})
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// TestUnchangedListIsNotSentAgain checks that each read returns the current list
// of instances, and that the service sends the list only when it has changed.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	p := memplatform.New()
	served := standin.Handler(p)
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		served.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusOK {
			sent++
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	c := rest.New(server.URL, nil)
	defer c.Close()
	for i, step := range []struct {
		put        string
		want, sent int
	}{{"a", 1, 1}, {"", 1, 1}, {"", 1, 1}, {"b", 2, 2}, {"", 2, 2}} {
		if step.put != "" {
			p.Instances.Put(platform.ListedInstance{Name: step.put})
		}
		list, err := c.Instances().List(t.Context())
		if err != nil || len(list) != step.want || sent != step.sent {
			t.Errorf("step %d: %d instances, %d sent, %v; want %d and %d", i, len(list), sent, err, step.want, step.sent)
		}
	}
}
