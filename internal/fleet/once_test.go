package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
)

// onceCall is one request that may not be repeated, sent again until its caller
// has an answer or has lost patience.
type onceCall struct {
	key, body string
	answers   []string
	// said counts what the tries were told.
	said map[string]int
	// notRunAfter says that a try was told "not run" when the call had run.
	notRunAfter bool
}

const (
	onceCalls   = 1000
	onceCallers = 24
	onceTries   = 12
)

// runs counts how often a body ran, at all services.
func runs(f *fleet.Fleet, body string) (n int) {
	for _, s := range f.Services {
		n += s.Service.RanBody(body)
	}
	return n
}

// try sends a call once.
func (c *onceCall) try(t *testing.T, f *fleet.Fleet, client *load.Client, e *fleet.EntryNode, key string) (done bool) {
	before := runs(f, c.body)
	a := client.Call(t.Context(), http.MethodPost, e.URL+f.Workload.OncePath+"enter", key, c.key, c.body)
	switch {
	case a.Whole:
		c.answers = append(c.answers, a.Text)
		return true
	case a.Refusal != nil:
		c.said[a.Refusal.Ran+" "+string(a.Refusal.Code)]++
		c.notRunAfter = c.notRunAfter || a.Refusal.Ran == "no" && before > 0
	default:
		c.said["broken"]++
	}
	return false
}

// trouble makes one fault after another until all calls are done.
func trouble(f *fleet.Fleet, done <-chan struct{}) {
	faults := []func(){
		func() { f.Platform.Store.LoseAnswers(20) },
		func() { f.Services[0].Service.LoseAnswers(5) },
		func() { f.Platform.Store.SetDown(true) },
		func() { f.Platform.Store.SetDown(false) },
		func() { f.Entries[0].Kill() },
		func() { f.Platform.Store.LoseRequests(20) },
		func() { f.CutZone(f.Entries[1].Place.Zone, true) },
		func() { f.CutZone(f.Entries[1].Place.Zone, false) },
		func() { f.Entries[2].Pause(true) },
		func() { f.Services[1].Service.Crash() },
		func() { f.Entries[2].Pause(false) },
		func() { f.Services[1].Service.Restart() },
		func() { f.Platform.Store.SetSlow(300 * time.Millisecond) },
		func() { f.Platform.Store.SetSlow(0) },
		func() { f.Services[2].Service.SetSlow(500 * time.Millisecond) },
		func() { f.Services[2].Service.LoseAnswers(5) },
	}
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for _, fault := range faults {
		select {
		case <-ticker.C:
			fault()
		case <-done:
			return
		}
	}
}

// TestOnceUnderFaults sends 1,000 calls that may not be repeated while entries,
// services and the store fail. Each call runs at most once, whatever its caller
// was told, and "not run" is true.
func TestOnceUnderFaults(t *testing.T) {
	t.Parallel()
	f := startWith(t, fleet.Wireworks, 5000)
	client := load.NewClient(f.Transport())
	calls := make([]*onceCall, onceCalls)
	next := make(chan *onceCall)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for n := range onceCallers {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		callers.Go(func() {
			for c := range next {
				for range onceTries {
					e := f.Entries[random.IntN(len(f.Entries))]
					if c.try(t, f, client, e, f.Workload.Accounts[0].Key) {
						break
					}
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				}
			}
		})
	}
	var faults sync.WaitGroup
	faults.Go(func() { trouble(f, done) })
	for i := range calls {
		calls[i] = &onceCall{key: "call-" + strconv.Itoa(i), body: fmt.Sprintf("dispatch %d coils", i), said: make(map[string]int)}
		next <- calls[i]
	}
	close(next)
	callers.Wait()
	close(done)
	faults.Wait()
	report(t, f, calls)
}

// report counts what must be zero and prints the rest.
func report(t *testing.T, f *fleet.Fleet, calls []*onceCall) {
	var ranTwice, falseNotRun, answeredTwice, wrong, answered, notRunAfter int
	said := make(map[string]int)
	for _, c := range calls {
		ran := runs(f, c.body)
		others := len(c.answers)
		for word, n := range c.said {
			said[word] += n
			if !strings.HasPrefix(word, "no ") {
				others += n
			}
		}
		want := service.Expected(contract.ServiceCall{Method: http.MethodPost, Path: "/enter", Body: []byte(c.body)})
		switch {
		case ran > 1:
			ranTwice++
		case ran > 0 && others == 0:
			falseNotRun++
		case len(c.answers) > 1:
			answeredTwice++
		}
		if len(c.answers) == 1 {
			answered++
			if c.answers[0] != want || ran != 1 {
				wrong++
			}
		}
		if c.notRunAfter {
			notRunAfter++
		}
	}
	t.Logf("answered %d of %d; ran_twice %d, false_not_run %d, answered_twice %d; refusals %v; told \"no\" of a later try %d",
		answered, len(calls), ranTwice, falseNotRun, answeredTwice, said, notRunAfter)
	if ranTwice+falseNotRun+answeredTwice+wrong+notRunAfter > 0 {
		t.Errorf("ran_twice %d, false_not_run %d, answered_twice %d, wrong answers %d, told \"no\" after it ran %d",
			ranTwice, falseNotRun, answeredTwice, wrong, notRunAfter)
	}
}
