package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// quiet discards what servers log of connections that a case breaks on purpose.
var quiet = log.New(io.Discard, "", 0)

var zones = []string{"kigali-a", "kigali-b", "kigali-c"}

// visit is the arrival of a client's request at a runner. phase is "prefill" if only the
// prompt is to be read.
type visit struct {
	request, runner, phase string
	at                     time.Time
}

// run is one run of a request.
type run struct {
	runner, account string
	at              time.Time
}

// platform is the stand-in of the store, with the record of what the runners saw.
type platform struct {
	store  *userplatform.Store
	addr   string
	server *http.Server

	mu      sync.Mutex
	runners map[string]*runner
	births  map[string]int64
	visits  []visit
	runs    map[string][]run
}

// newPlatform starts the store.
func newPlatform() (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		store: userplatform.NewStore(), addr: l.Addr().String(),
		runners: make(map[string]*runner), births: make(map[string]int64), runs: make(map[string][]run),
	}
	p.server = &http.Server{Handler: p.store, ErrorLog: quiet}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// close ends the store and all runners.
func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runners {
		_ = r.server.Close()
	}
	_ = p.server.Close()
}

func (p *platform) born(id string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.births[id] == 0 {
		p.births[id] = time.Now().UnixMilli()
	}
	return p.births[id]
}

func (p *platform) addRunner(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners[r.addr()] = r
}

func (p *platform) removeRunner(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runners, r.addr())
}

func (p *platform) runnerAt(addr string) *runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runners[addr]
}

// ofPhase returns the runners of a phase that do not leave, ordered by identifier.
func (p *platform) ofPhase(phase string) (out []*runner) {
	p.mu.Lock()
	all := make([]*runner, 0, len(p.runners))
	for _, r := range p.runners {
		all = append(all, r)
	}
	p.mu.Unlock()
	for _, r := range all {
		r.mu.Lock()
		if r.phase == phase && !r.leaving && !r.busy {
			out = append(out, r)
		}
		r.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b *runner) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

func (p *platform) recordVisit(v visit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.visits = append(p.visits, v)
}

// recordRun records a run and returns how many there were of the request.
func (p *platform) recordRun(request, runner, account string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[request] = append(p.runs[request], run{runner, account, time.Now()})
	return len(p.runs[request])
}

func (p *platform) allVisits() []visit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.visits)
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}
