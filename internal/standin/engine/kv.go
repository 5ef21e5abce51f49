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

// Engines fetch KV caches from one another under this path. A GET pins the
// cache as long as it is open, and a DELETE says that it was imported.
const (
	pathKV  = "/v1/kv"
	paramID = "id"
)

// promptHead is how much of the prompt goes along, for CrashOn, in bytes.
const promptHead = 4 << 10

// errNoCache means that the source does not have the KV cache any more.
var errNoCache = errors.New("engine: no such KV cache at the source")

// kvCache stands for the content of a KV cache.
type kvCache struct {
	Hash   uint64          `json:"hash"`
	Tokens contract.Tokens `json:"tokens"`
	Blocks int             `json:"blocks"`
	// Head is the beginning of the prompt.
	Head string `json:"head"`
}

// kvSources reaches other engines.
type kvSources struct {
	http *http.Client
}

func newSources(transport http.RoundTripper) kvSources {
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true}
	}
	return kvSources{&http.Client{Transport: transport}}
}

// SetTransport sets how the engine reaches others, for tests in process.
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

// fetch imports a KV cache over the shared link.
func (e *Engine) fetch(ctx, life context.Context, h engineapi.Handle) (kv kvCache, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(life, cancel)
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
	// The source closes its end only when it dies, which ends the transfer.
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

// transfer takes the time of some blocks on the link, which the transfers that
// run share evenly.
func (e *Engine) transfer(ctx context.Context, blocks int) error {
	e.shareLink(1)
	defer e.shareLink(-1)
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

// afterBlocks fires when the blocks have come at a rate, or never at rate 0.
func afterBlocks(blocks, rate float64) <-chan time.Time {
	if rate == 0 {
		return nil
	}
	return time.After(time.Duration(blocks / rate * float64(time.Second)))
}

func (e *Engine) shareLink(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transfers += n
	e.linkChanged()
}

// linkChanged tells all transfers to look at their rate again; the caller holds
// mu.
func (e *Engine) linkChanged() {
	close(e.shared)
	e.shared = make(chan struct{})
}

// linkRate gives one transfer's blocks a second, 0 when stalled, until changed
// is closed.
func (e *Engine) linkRate() (rate float64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.stalled {
		return 0, e.shared
	}
	return e.options.LinkBlocksPerSecond / float64(max(1, e.transfers)), e.shared
}

// beginExport pins a result until endExport.
func (e *Engine) beginExport(id string) (p *prefill, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok = e.results[id]
	if ok {
		p.exports++
	}
	return p, ok
}

func (e *Engine) endExport(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.exports--
	if e.results[p.handle.ID] == p && time.Since(p.readyAt) >= e.options.EvictAfter {
		e.evict(p)
	}
}

// imported drops a result that another engine has now.
func (e *Engine) imported(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.results[id]
	if ok {
		e.forget(p)
	}
	return ok
}

// exportable waits while exports are stalled.
func (e *Engine) exportable(ctx, life context.Context) bool {
	for {
		rate, changed := e.linkRate()
		if rate > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-life.Done():
			return false
		}
	}
}
