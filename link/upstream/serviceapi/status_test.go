package serviceapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// TestUndefinedStatusIsNoAnswer guards against an answer whose status HTTP does not define.
func TestUndefinedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 3\r\n\r\nodd")
		}()
		c, err := New("http://"+l.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := c.Call(context.Background(), contract.CallID{}, "", contract.ServiceCall{Method: "GET", Path: "/p"})
		if !errors.Is(err, link.ErrInterrupted) {
			t.Errorf("status %s: answer %+v, error %v", status, answer, err)
		}
		_ = l.Close()
	}
}
