package bytecount

import (
	"net"
	"testing"
)

func TestCounter(t *testing.T) {
	here, there := net.Pipe()
	var c Counter
	counted := c.Conn(here)
	go func() {
		_, _ = there.Write([]byte("12345"))
		_, _ = there.Read(make([]byte, 3))
	}()
	if _, err := counted.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if _, err := counted.Write([]byte("123")); err != nil {
		t.Fatal(err)
	}
	if c.Received() != 5 || c.Sent() != 3 {
		t.Errorf("received %d, sent %d, want 5 and 3", c.Received(), c.Sent())
	}
	var none *Counter
	if none.Conn(here) != here {
		t.Error("a connection that is not counted is not the same")
	}
}
