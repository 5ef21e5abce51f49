// Package gobframe bounds the messages that the peer of a connection with gob encoding may
// send. The decoder of encoding/gob accepts messages of gigabytes.
package gobframe

import (
	"errors"
	"fmt"
	"net"
)

// ErrTooLong is wrapped in the error of a read that begins a message above the bound.
var ErrTooLong = errors.New("gobframe: message too long")

// MaxMessageBytes is a bound for messages between the processes of one system: the largest
// hold the whole configuration.
const MaxMessageBytes = 8 << 20

// longLength is the first byte from which a length takes several bytes: the first one is
// then minus their number.
const longLength = 0x80

// Conn follows the framing of the gob stream that is read: messages, each after its length.
type Conn struct {
	net.Conn
	most uint64
	// left is what is left of the present message; lengthLeft the bytes left of its
	// length, of which length is known.
	left       uint64
	lengthLeft int
	length     uint64
	err        error
}

// Limit returns a connection that fails to read, and is closed, once the peer announces a
// message of more than most bytes.
func Limit(c net.Conn, most uint64) *Conn {
	return &Conn{Conn: c, most: most}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.follow(p[:n]); c.err != nil {
		_ = c.Close()
		return 0, c.err
	}
	return n, err
}

// TooLong returns the error that wraps ErrTooLong if a message was too long, else nil. Call it
// after the last Read.
func (c *Conn) TooLong() error {
	return c.err
}

// follow advances over bytes that were read.
func (c *Conn) follow(p []byte) error {
	for len(p) > 0 {
		if c.left > 0 {
			skip := min(c.left, uint64(len(p)))
			c.left -= skip
			p = p[skip:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case c.lengthLeft > 0:
			c.length = c.length<<8 | uint64(b)
			c.lengthLeft--
		case b < longLength:
			c.length = uint64(b)
		default:
			c.length, c.lengthLeft = 0, int(-int8(b))
		}
		if c.lengthLeft > 8 {
			return fmt.Errorf("%w: its length has %d bytes", ErrTooLong, c.lengthLeft)
		}
		if c.lengthLeft > 0 {
			continue
		}
		if c.length > c.most {
			return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLong, c.length, c.most)
		}
		c.left = c.length
	}
	return nil
}
