// Package burnstats transfers the service-level burn snapshots of instances. It
// publishes them as an expvar variable or as metrics text, and reads them back
// from an operators' listener or a saved file.
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

// maxSourceBytes bounds one response or file.
const maxSourceBytes = 256 << 20

// Errors wrapped by this package.
var (
	// ErrUnreachable means that a listener did not answer with status OK or a file
	// could not be opened.
	ErrUnreachable = errors.New("burnstats: source did not answer")
	// ErrMalformed means that the data of a source is not a snapshot.
	ErrMalformed = errors.New("burnstats: source holds no valid snapshot")
)

// expvarMap creates the variable on its first use: expvar has one namespace per
// process and panics on a name that is in use.
var expvarMap = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(Variable) })

// Publish makes an instance's snapshots readable at /debug/vars. Each read calls
// snapshot, possibly from several goroutines.
func Publish(instance string, snapshot func() burn.Snapshot) {
	expvarMap().Set(instance, expvar.Func(func() any { return snapshot() }))
}

// Source reads snapshots from operators' listeners and files.
type Source struct {
	// Client sends the requests; Key is an operator's key with the role read.
	Client *http.Client
	Key    string
}

// Read returns the snapshots of a source: a URL of a gateway with the path
// /metrics, a URL of an entry with or without the path /debug/vars, or the name of
// a file with a response of one of them. The error wraps ErrUnreachable or
// ErrMalformed.
func (s *Source) Read(ctx context.Context, name string) ([]burn.Snapshot, error) {
	body, err := s.open(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, name, err)
	}
	defer body.Close()
	limited := bufio.NewReader(io.LimitReader(body, maxSourceBytes))
	// JSON starts with a brace, metrics text never does.
	if first, err := limited.Peek(1); err == nil && first[0] != '{' {
		s, err := DecodeText(limited)
		if err != nil {
			return nil, err
		}
		return []burn.Snapshot{s}, nil
	}
	return DecodeJSON(limited)
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

// DecodeJSON reads the JSON of /debug/vars and returns the snapshots sorted by
// instance name.
func DecodeJSON(r io.Reader) ([]burn.Snapshot, error) {
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

// ReadAll reads all sources concurrently. Each source that cannot be read within
// timeout is listed in unreachable with its error.
func (s *Source) ReadAll(ctx context.Context, names []string, timeout time.Duration) (all []burn.Snapshot, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found := make([][]burn.Snapshot, len(names))
	errs := make([]error, len(names))
	var readers sync.WaitGroup
	for i, name := range names {
		readers.Go(func() { found[i], errs[i] = s.Read(ctx, name) })
	}
	readers.Wait()
	for i, name := range names {
		if errs[i] != nil {
			unreachable = append(unreachable, fmt.Sprintf("%s: %v", name, errs[i]))
		}
		all = append(all, found[i]...)
	}
	return all, unreachable
}
