package rest_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/silenttest"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
)

// TestCallAfterSilenceUsesNewConnection guards against a call that is sent on a kept connection
// after another one got no answer: connections go silent together, and each of them would cost
// an entry or a sidecar a timeout before it reads the configuration again.
func TestCallAfterSilenceUsesNewConnection(t *testing.T) {
	const kept = 4
	server := silenttest.New(t, kept, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("object")) })
	c := rest.New(server.URL, nil)
	t.Cleanup(c.Close)
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
	server.Silence()
	if err := read(); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if err := read(); err != nil {
		t.Errorf("the call after it: %v", err)
	}
}
