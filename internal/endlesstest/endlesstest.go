// Package endlesstest is a stand-in for a server in trouble: it answers each request with bytes
// that never end, until the client closes the connection.
package endlesstest

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Answer is what a server sends: Head once, then Repeat without end.
type Answer struct {
	Head, Repeat string
}

// chunkBytes is about how much a server sends in one write.
const chunkBytes = 32 << 10

// Serve starts a server for the duration of a test and returns its address. It reads one
// request of each connection, unless raw is set.
func Serve(t *testing.T, a Answer, raw bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			done.Go(func() { serveConn(c, a, raw) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		done.Wait()
	})
	return l.Addr().String()
}

func serveConn(c net.Conn, a Answer, raw bool) {
	defer func() { _ = c.Close() }()
	if !raw {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
	}
	if _, err := c.Write([]byte(a.Head)); err != nil {
		return
	}
	chunk := []byte(strings.Repeat(a.Repeat, max(1, chunkBytes/len(a.Repeat))))
	for {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
}

// Bounds within which a client must give up on a server that sends without end.
const (
	// Patience is the deadline to give to a call, GiveUp the time in which it must end.
	Patience = 3 * time.Second
	GiveUp   = time.Second
	// MaxHeap is how far the heap may grow, in bytes.
	MaxHeap = 16 << 20
)

// Check calls f and fails the test if it takes longer than GiveUp or if the heap grows by
// more than MaxHeap meanwhile.
func Check(t *testing.T, f func()) {
	t.Helper()
	runtime.GC()
	base := heap()
	stop := make(chan struct{})
	peak := make(chan uint64)
	go func() {
		most := base
		for {
			select {
			case <-stop:
				peak <- max(most, heap())
				return
			case <-time.After(5 * time.Millisecond):
				most = max(most, heap())
			}
		}
	}()
	began := time.Now()
	f()
	took := time.Since(began)
	close(stop)
	if most := <-peak; most > base+MaxHeap {
		t.Errorf("the heap grew by %d MB, want at most %d MB", (most-base)>>20, MaxHeap>>20)
	}
	if took > GiveUp {
		t.Errorf("it took %s, want at most %s", took, GiveUp)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
