package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
)

// maxRetries bounds the retries of a refused request: entries that have just
// started hold no tokens of any account yet.
const maxRetries = 20

func start(t *testing.T, name string) *fleet.Fleet {
	t.Helper()
	return startWith(t, name, 20)
}

// startWith starts a fleet whose rates allow some requests per second.
func startWith(t *testing.T, name string, perSecond float64) *fleet.Fleet {
	t.Helper()
	w, err := fleet.FindWorkload(name)
	if err != nil {
		t.Fatal(err)
	}
	w.SetRates(perSecond, 2, 10*time.Second)
	f, err := fleet.Start(t.Context(), fleet.Options{Workload: w, Policy: fleet.DefaultPolicy})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// TestAnswersOfAllEntries guards against answers that are truncated, altered or
// mixed up. It sends a streamed and a whole completion and a call through each entry
// of each workload and compares the answers with the expected ones. It also checks
// that engines free their memory and that no key reaches an upstream.
func TestAnswersOfAllEntries(t *testing.T) {
	for _, name := range []string{fleet.Wireworks, fleet.Imigongo} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, name)
			client := load.NewClient(f.Transport())
			for i, e := range f.Entries {
				account := f.Workload.Accounts[i]
				prompt := strings.Repeat(string(account.ID)+" ", 900)
				for _, stream := range []bool{true, false} {
					q := load.Generate{
						Key: account.Key, Model: f.Workload.Model, Prompt: prompt, MaxTokens: 10, Seed: int64(i), Stream: stream,
					}
					a, _ := load.Retry(t.Context(), maxRetries, func() load.Answer { return client.Generate(t.Context(), e.URL, q) })
					if want := strings.Join(engine.Expected(prompt, int64(i), 10), ""); !a.Whole || a.Text != want {
						t.Errorf("entry %d, stream %v: got %+v, want text %q", i, stream, a, want)
					}
				}
				path := f.Workload.RepeatablePath + "coils"
				a, _ := load.Retry(t.Context(), maxRetries, func() load.Answer {
					return client.Call(t.Context(), http.MethodPost, e.URL+path, account.Key, "", "12 coils")
				})
				want := service.Expected(contract.ServiceCall{Method: http.MethodPost, Path: "/coils", Body: []byte("12 coils")})
				if a.Text != want {
					t.Errorf("entry %d: got %+v, want %q", i, a, want)
				}
			}
			checkNothingLeft(t, f)
		})
	}
}

// checkNothingLeft checks that no engine holds KV blocks after the eviction time,
// and that no key was sent to an upstream.
func checkNothingLeft(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	time.Sleep(engine.DefaultEvictAfter + 500*time.Millisecond)
	for _, e := range f.Engines {
		if calls := e.Engine.Holding(); len(calls) > 0 {
			t.Errorf("%s still holds %v", e.Upstream.ID, calls)
		}
	}
	for _, a := range f.Workload.Accounts {
		for _, e := range f.Engines {
			if e.Engine.Received.Contains(a.Key) {
				t.Errorf("%s was sent the key of %s", e.Upstream.ID, a.ID)
			}
		}
		for _, s := range f.Services {
			if s.Service.Received.Contains(a.Key) {
				t.Errorf("%s was sent the key of %s", s.Upstream.ID, a.ID)
			}
		}
	}
}

// TestCutZone guards against a cut-off zone that disturbs the others, or that
// doesn't recover when the cut ends.
func TestCutZone(t *testing.T) {
	f := start(t, fleet.Wireworks)
	client := load.NewClient(f.Transport())
	generate := func(e *fleet.EntryNode, timeout time.Duration) load.Answer {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		q := load.Generate{Key: f.Workload.Accounts[0].Key, Model: f.Workload.Model, Prompt: "warp and weft", MaxTokens: 3}
		a, _ := load.Retry(ctx, maxRetries, func() load.Answer { return client.Generate(ctx, e.URL, q) })
		return a
	}
	isolated := f.Entries[2]
	f.CutZone(isolated.Place.Zone, true)
	if a := generate(isolated, 300*time.Millisecond); a.Err == nil {
		t.Errorf("the cut-off zone answered %+v", a)
	}
	if a := generate(f.Entries[0], 20*time.Second); !a.Whole {
		t.Errorf("another zone answered %+v", a)
	}
	f.CutZone(isolated.Place.Zone, false)
	if a := generate(isolated, 20*time.Second); !a.Whole {
		t.Errorf("the zone answered after the cut %+v", a)
	}
}
