package gobframe

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
)

// oneWay is a connection from which a text can be read.
type oneWay struct {
	net.Conn
	io.Reader
	closed bool
}

func (o *oneWay) Read(p []byte) (int, error) { return o.Reader.Read(p) }

func (o *oneWay) Close() error {
	o.closed = true
	return nil
}

type message struct {
	Text string
	Maps map[string][]int
}

// encode returns a gob stream of messages with texts of the given sizes.
func encode(t *testing.T, sizes ...int) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	for _, size := range sizes {
		if err := encoder.Encode(message{Text: strings.Repeat("x", size), Maps: map[string][]int{"a": {1, 2}}}); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// TestMessagesPass checks that messages up to the bound are read, however they arrive.
func TestMessagesPass(t *testing.T) {
	sizes := []int{0, 1, 100, 127, 128, 300, 70_000, 99_000, 5}
	stream := encode(t, sizes...)
	for name, source := range map[string]io.Reader{
		"at once":      bytes.NewReader(stream),
		"byte by byte": iotest.OneByteReader(bytes.NewReader(stream)),
		"halves":       iotest.HalfReader(bytes.NewReader(stream)),
	} {
		decoder := gob.NewDecoder(Limit(&oneWay{Reader: source}, 100_000))
		for _, size := range sizes {
			var m message
			if err := decoder.Decode(&m); err != nil || len(m.Text) != size {
				t.Fatalf("%s: %d bytes of text, error %v, want %d", name, len(m.Text), err, size)
			}
		}
	}
}

// TestTooLong checks that a message above the bound ends the connection before it is read.
func TestTooLong(t *testing.T) {
	for name, stream := range map[string][]byte{
		"second message":       encode(t, 10, 200_000),
		"length of a gigabyte": {0xfc, 0x40, 0, 0, 0},
		"largest length":       {0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"length of 100 bytes":  {0x9c, 1},
	} {
		source := &oneWay{Reader: iotest.OneByteReader(bytes.NewReader(stream))}
		read, err := io.ReadAll(Limit(source, 100_000))
		if !errors.Is(err, ErrTooLong) || !source.closed || len(read) > 400 {
			t.Errorf("%s: %d bytes read, error %v, closed %v, want %v and a closed connection", name, len(read), err, source.closed, ErrTooLong)
		}
	}
}

// FuzzFollow checks that no bytes make the framing panic, and that it never lets a message
// above the bound begin.
func FuzzFollow(f *testing.F) {
	f.Add([]byte{0x03, 1, 2, 3, 0xfe, 0x01, 0x00})
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := &Conn{most: 1000}
		if err := c.follow(stream); err == nil && c.left > c.most {
			t.Fatalf("a message of %d bytes began", c.left)
		}
	})
}
