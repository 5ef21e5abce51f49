package serviceapi

import (
	"context"
	"strings"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/endlesstest"
)

// TestEndless plays services whose answers never end.
func TestEndless(t *testing.T) {
	const filler = "filler filler filler filler filler filler filler "
	for name, a := range map[string]endlesstest.Answer{
		"head":        {Head: "HTTP/1.1 200 OK\r\n", Repeat: "X-Filler: " + filler + "\r\n"},
		"header line": {Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat: filler},
		"provisional": {Repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":        {Head: "HTTP/1.1 200 OK\r\n\r\n", Repeat: filler},
		"chunks":      {Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + strings.Repeat("filler..", 512) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New("http://"+endlesstest.Serve(t, a, false), nil)
			if err != nil {
				t.Fatal(err)
			}
			endlesstest.Check(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
				defer cancel()
				if _, err := c.Call(ctx, contract.CallID{}, "", contract.ServiceCall{Method: "GET", Path: "/p"}); err == nil {
					t.Error("an endless answer was accepted")
				}
			})
		})
	}
}
