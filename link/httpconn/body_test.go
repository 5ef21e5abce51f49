package httpconn

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadAtMost(t *testing.T) {
	const most = 2*bodyChunkBytes + 100
	for _, size := range []int{0, 1, bodyChunkBytes - 1, bodyChunkBytes, bodyChunkBytes + 1, most} {
		text := strings.Repeat("x", size)
		for name, r := range map[string]io.Reader{"at once": strings.NewReader(text), "halves": iotest.HalfReader(strings.NewReader(text))} {
			if got, err := ReadAtMost(r, most); err != nil || string(got) != text {
				t.Errorf("%d bytes %s: %d bytes, error %v", size, name, len(got), err)
			}
		}
	}
	for _, size := range []int{most + 1, 10 * most} {
		if _, err := ReadAtMost(strings.NewReader(strings.Repeat("x", size)), most); !errors.Is(err, ErrTooLong) {
			t.Errorf("%d bytes: error %v, want %v", size, err, ErrTooLong)
		}
	}
	broken := errors.New("reset")
	if _, err := ReadAtMost(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), most); !errors.Is(err, broken) {
		t.Errorf("error %v of a body that breaks off, want %v", err, broken)
	}
	if _, err := ReadAtMost(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), most); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v of a body that is shorter than announced, want %v", err, io.ErrUnexpectedEOF)
	}
}
