package httpconn

import (
	"fmt"
	"io"
	"slices"
)

// bodyChunkBytes is the size of the buffers in which a body is read.
const bodyChunkBytes = 64 << 10

// ReadAtMost reads a body to its end. The error wraps ErrTooLong if it has more than most
// bytes. Unlike io.ReadAll it leaves no garbage while it grows.
func ReadAtMost(body io.Reader, most int) ([]byte, error) {
	var chunks [][]byte
	for size := 0; size <= most; {
		chunk := make([]byte, min(bodyChunkBytes, most+1-size))
		n, err := fill(body, chunk)
		size += n
		chunks = append(chunks, chunk[:n])
		switch {
		case size > most:
		case err == io.EOF:
			return slices.Concat(chunks...), nil
		case err != nil:
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: body of more than %d bytes", ErrTooLong, most)
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own error, which
// tells a body that was cut from one that has ended.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	return n, err
}
