package rest

import (
	"context"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/internal/endlesstest"
)

// TestEndless plays services of the platform whose replies never end.
func TestEndless(t *testing.T) {
	const filler = "filler filler filler filler filler filler filler "
	for name, a := range map[string]endlesstest.Answer{
		"head":        {Head: "HTTP/1.1 200 OK\r\n", Repeat: "X-Filler: " + filler + "\r\n"},
		"header line": {Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat: filler},
		"provisional": {Repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
		"blanks":      {Head: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "},
		"error text":  {Head: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Repeat: filler},
		"list":        {Head: "HTTP/1.1 200 OK\r\n\r\n{\"instances\":[", Repeat: "{},"},
	} {
		t.Run(name, func(t *testing.T) {
			c := New("http://"+endlesstest.Serve(t, a, false), nil)
			defer c.Close()
			endlesstest.Check(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
				defer cancel()
				if _, err := c.Instances().List(ctx); err == nil {
					t.Error("an endless list was accepted")
				}
			})
		})
	}
}
