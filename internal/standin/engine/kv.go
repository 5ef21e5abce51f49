package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
)

// Engines fetch KV caches from one another under this path. A GET pins the cache
// while its connection is open; a DELETE reports that the cache was imported and
// frees it.
const (
	pathKV  = "/v1/kv"
	paramID = "id"
)

// maxHeadBytes bounds the part of the prompt that is sent with a KV cache, which
// CrashOn needs at the importer.
const maxHeadBytes = 4 << 10

// errNoCache means that the source refused, usually because it has evicted the KV
// cache.
var errNoCache = errors.New("engine: no such KV cache at the source")

// kvCache is what an importer receives in place of the content of a KV cache.
type kvCache struct {
	Hash   uint64          `json:"hash"`
	Tokens contract.Tokens `json:"tokens"`
	Blocks int             `json:"blocks"`
	// Head is the first maxHeadBytes of the prompt.
	Head string `json:"head"`
}

// kvSources makes calls to the engines that hold KV caches.
type kvSources struct {
	http *http.Client
}

func newSources(transport http.RoundTripper) kvSources {
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true}
	}
	return kvSources{&http.Client{Transport: transport}}
}

// SetTransport sets the transport for calls to other engines. It must be called
// before the engine serves requests.
func (e *Engine) SetTransport(transport http.RoundTripper) {
	e.sources = newSources(transport)
}

func (s kvSources) do(ctx context.Context, method string, h engineapi.Handle) (*http.Response, error) {
	target := h.Source + pathKV + "?" + url.Values{paramID: {h.ID}}.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %s", errNoCache, resp.Status)
	}
	return resp, nil
}

// fetch imports a KV cache over the shared link and frees it at its source. It
// stops when ctx or lifetime ends.
func (e *Engine) fetch(ctx, lifetime context.Context, h engineapi.Handle) (kv kvCache, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(lifetime, cancel)
	defer stop()
	resp, err := e.sources.do(ctx, http.MethodGet, h)
	if err != nil {
		return kv, err
	}
	defer resp.Body.Close()
	lines := json.NewDecoder(resp.Body)
	if err := lines.Decode(&kv); err != nil {
		return kv, err
	}
	// The source closes its end only when it crashes, which cancels the transfer.
	go func() {
		defer cancel()
		var end struct{}
		_ = lines.Decode(&end)
	}()
	if err := e.transfer(ctx, kv.Blocks); err != nil {
		return kv, err
	}
	done, err := e.sources.do(ctx, http.MethodDelete, h)
	if err != nil {
		return kv, err
	}
	return kv, done.Body.Close()
}

// transfer waits as long as the link takes for some blocks. Concurrent transfers
// share the link's rate evenly.
func (e *Engine) transfer(ctx context.Context, blocks int) error {
	e.addTransfers(1)
	defer e.addTransfers(-1)
	left := float64(blocks)
	for left > 0 {
		rate, changed := e.linkRate()
		began := time.Now()
		select {
		case <-afterBlocks(left, rate):
			left = 0
		case <-changed:
			left -= rate * time.Since(began).Seconds()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// afterBlocks fires when the blocks have arrived at a rate in blocks per second;
// at rate 0 it never does.
func afterBlocks(blocks, rate float64) <-chan time.Time {
	if rate == 0 {
		return nil
	}
	return time.After(time.Duration(blocks / rate * float64(time.Second)))
}

func (e *Engine) addTransfers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transfers += n
	e.notifyLink()
}

// notifyLink makes all transfers recompute their rate; the caller holds mu.
func (e *Engine) notifyLink() {
	close(e.linkChange)
	e.linkChange = make(chan struct{})
}

// linkRate returns the rate of one transfer in blocks per second, 0 when stalled.
// The rate holds until changed is closed.
func (e *Engine) linkRate() (rate float64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.stalled {
		return 0, e.linkChange
	}
	return e.options.LinkBlocksPerSecond / float64(max(1, e.transfers)), e.linkChange
}

// beginExport pins a prefill's result until endExport; ok is false if the result
// is gone.
func (e *Engine) beginExport(id string) (p *prefill, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok = e.results[id]
	if ok {
		p.exports++
	}
	return p, ok
}

// endExport unpins a result and evicts it if it came due during the export.
func (e *Engine) endExport(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.exports--
	if e.results[p.handle.ID] == p && time.Since(p.readyAt) >= e.options.EvictAfter {
		e.evict(p)
	}
}

// dropImported drops a result that another engine has imported, and reports
// whether it was there.
func (e *Engine) dropImported(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.results[id]
	if ok {
		e.dropResult(p)
	}
	return ok
}

// awaitExport waits while exports are stalled, and reports false if ctx or lifetime
// ends first.
func (e *Engine) awaitExport(ctx, lifetime context.Context) bool {
	for {
		rate, changed := e.linkRate()
		if rate > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-lifetime.Done():
			return false
		}
	}
}
