package rest_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
)

// TestCallAfterSilenceUsesNewConnection guards against a call that is sent on a kept connection
// after another one got no answer: connections go silent together, and each of them would cost
// an entry or a sidecar a timeout before it reads the configuration again.
func TestCallAfterSilenceUsesNewConnection(t *testing.T) {
	const kept = 4
	var known, silent sync.Map
	together := make(chan struct{})
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		known.Store(q.RemoteAddr, true)
		if _, ok := silent.Load(q.RemoteAddr); ok {
			<-q.Context().Done()
			return
		}
		// The first calls are answered together, so that each has a connection of its own.
		if calls.Add(1) == kept {
			close(together)
		}
		<-together
		_, _ = w.Write([]byte("object"))
	}))
	c := rest.New(server.URL, nil)
	t.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		server.Close()
	})
	read := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := c.Objects().Get(ctx, "name")
		return err
	}
	var first sync.WaitGroup
	for range kept {
		first.Go(func() {
			if err := read(); err != nil {
				t.Error(err)
			}
		})
	}
	first.Wait()
	known.Range(func(addr, _ any) bool {
		silent.Store(addr, true)
		return true
	})
	if err := read(); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if err := read(); err != nil {
		t.Errorf("the call after it: %v", err)
	}
}
