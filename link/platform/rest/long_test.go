package rest

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// TestLongObjectIsRead guards against a time for reads that does not depend on their length.
func TestLongObjectIsRead(t *testing.T) {
	const parts = 26
	part := bytes.Repeat([]byte("x"), 32<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = w.Write(part)
			w.(http.Flusher).Flush()
			time.Sleep(platform.CallTimeout / 20)
		}
	}))
	defer server.Close()
	object, err := New(server.URL, nil).Objects().Get(t.Context(), "snapshot")
	if err != nil || len(object) != parts*len(part) {
		t.Errorf("%d bytes, error %v", len(object), err)
	}
}
