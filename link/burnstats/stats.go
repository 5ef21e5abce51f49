// Package burnstats carries what instances counted: as an expvar variable, as
// JSON, and back from an operators' listener or a saved file.
package burnstats

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/burn"
)

// Variable is the name of the expvar variable: a map from instance to snapshot.
const Variable = "burn"

// maxBytes bounds one answer or file.
const maxBytes = 256 << 20

// Errors of this layer.
var (
	// ErrUnreachable means that a source did not answer.
	ErrUnreachable = errors.New("burnstats: source did not answer")
	// ErrMalformed means that what a source gave holds no counts.
	ErrMalformed = errors.New("burnstats: source holds no counts")
)

// published is the variable; expvar has one namespace a process.
var published = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(Variable) })

// Publish makes an instance's snapshots readable at /debug/vars.
func Publish(instance string, snapshot func() burn.Snapshot) {
	published().Set(instance, expvar.Func(func() any { return snapshot() }))
}

// Source reads an address of operators' listeners or a file.
type Source struct {
	// Client calls addresses; Key is an operator's key with the role read.
	Client *http.Client
	Key    string
}

// Read gives the snapshots of a source: an URL with the path /metrics of a
// gateway, one with or without the path /debug/vars of an entry, or the name of a
// file with what one of them answered.
func (s *Source) Read(ctx context.Context, name string) ([]burn.Snapshot, error) {
	body, err := s.open(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, name, err)
	}
	defer body.Close()
	limited := bufio.NewReader(io.LimitReader(body, maxBytes))
	// JSON begins with a brace, metrics text never does.
	if first, err := limited.Peek(1); err == nil && first[0] != '{' {
		s, err := DecodeText(limited)
		if err != nil {
			return nil, err
		}
		return []burn.Snapshot{s}, nil
	}
	return Decode(limited)
}

func (s *Source) open(ctx context.Context, name string) (io.ReadCloser, error) {
	if !strings.HasPrefix(name, "http://") && !strings.HasPrefix(name, "https://") {
		return os.Open(name)
	}
	if !strings.HasSuffix(name, "/debug/vars") && !strings.HasSuffix(name, "/metrics") {
		name = strings.TrimSuffix(name, "/") + "/debug/vars"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	if s.Key != "" {
		request.Header.Set("Authorization", "Bearer "+s.Key)
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %s", response.Status)
	}
	return response.Body, nil
}

// Decode reads snapshots, in the order of the instances' names.
func Decode(r io.Reader) ([]burn.Snapshot, error) {
	var vars struct {
		Burn map[string]burn.Snapshot `json:"burn"`
	}
	if err := json.NewDecoder(r).Decode(&vars); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if vars.Burn == nil {
		return nil, ErrMalformed
	}
	var snapshots []burn.Snapshot
	for _, s := range vars.Burn {
		snapshots = append(snapshots, s)
	}
	slices.SortFunc(snapshots, func(a, b burn.Snapshot) int { return strings.Compare(a.Instance, b.Instance) })
	return snapshots, nil
}

// ReadAll reads all sources at a time; those that gave nothing are listed.
func (s *Source) ReadAll(ctx context.Context, names []string, timeout time.Duration) (all []burn.Snapshot, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found := make([][]burn.Snapshot, len(names))
	errs := make([]error, len(names))
	var reading sync.WaitGroup
	for i, name := range names {
		reading.Go(func() { found[i], errs[i] = s.Read(ctx, name) })
	}
	reading.Wait()
	for i, name := range names {
		if errs[i] != nil {
			silent = append(silent, fmt.Sprintf("%s: %v", name, errs[i]))
		}
		all = append(all, found[i]...)
	}
	return all, silent
}
