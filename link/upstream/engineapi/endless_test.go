package engineapi

import (
	"context"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/endlesstest"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// TestEndless plays engines whose replies never end.
func TestEndless(t *testing.T) {
	const filler = "filler filler filler filler filler filler filler "
	for name, a := range map[string]endlesstest.Answer{
		"head":        {Head: "HTTP/1.1 200 OK\r\n", Repeat: "X-Filler: " + filler + "\r\n"},
		"header line": {Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat: filler},
		"provisional": {Repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
		"text":        {Head: "HTTP/1.1 200 OK\r\n\r\n\"", Repeat: filler},
		"list":        {Head: "HTTP/1.1 200 OK\r\n\r\n[", Repeat: "1,"},
		"blanks":      {Head: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "},
	} {
		for call, do := range map[string]func(ctx context.Context, c *Client) error{
			"load": func(ctx context.Context, c *Client) error {
				_, err := c.Load(ctx)
				return err
			},
			"prefill": func(ctx context.Context, c *Client) error {
				_, err := c.Prefill(ctx, link.Prefill{})
				return err
			},
			"events": func(ctx context.Context, c *Client) error {
				_, err := c.Events(ctx, 0)
				return err
			},
			"resume": func(ctx context.Context, c *Client) error {
				return c.Resume(ctx, contract.CallID{Request: "r"}, 0, func(contract.Chunk) error { return nil })
			},
		} {
			t.Run(call+", "+name, func(t *testing.T) {
				c := New("http://"+endlesstest.Serve(t, a, false), nil)
				defer c.Close()
				endlesstest.Check(t, func() {
					ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
					defer cancel()
					if do(ctx, c) == nil {
						t.Error("an endless reply was accepted")
					}
				})
			})
		}
	}
}
