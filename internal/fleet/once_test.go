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

// onceCall is one call that may not be repeated. Its caller sends it again with the
// same idempotency key until it has an answer, at most onceTries times.
type onceCall struct {
	key, body string
	answers   []string
	// outcomes counts the failed tries by the refusal's fields Ran and Code, or as
	// broken.
	outcomes map[string]int
	// notRunAfter reports that a try was refused as not run after the call had
	// run.
	notRunAfter bool
}

const (
	onceCalls   = 1000
	onceCallers = 24
	onceTries   = 12
)

// runs counts how often a call with this body ran, at all services.
func runs(f *fleet.Fleet, body string) (n int) {
	for _, s := range f.Services {
		n += s.Service.BodyRuns(body)
	}
	return n
}

// try sends a call once and reports whether it got an answer.
func (c *onceCall) try(t *testing.T, f *fleet.Fleet, client *load.Client, e *fleet.EntryNode, key string) (done bool) {
	before := runs(f, c.body)
	a := client.Call(t.Context(), http.MethodPost, e.URL+f.Workload.NonRepeatablePath+"enter", key, c.key, c.body)
	switch {
	case a.Whole:
		c.answers = append(c.answers, a.Text)
		return true
	case a.Refusal != nil:
		c.outcomes[a.Refusal.Ran+" "+string(a.Refusal.Code)]++
		c.notRunAfter = c.notRunAfter || a.Refusal.Ran == "no" && before > 0
	default:
		c.outcomes["broken"]++
	}
	return false
}

// injectFaults sets one fault after another until all calls are done or the list
// ends.
func injectFaults(f *fleet.Fleet, done <-chan struct{}) {
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

// TestOnceUnderFaults guards against calls that run twice, and against refusals that
// report a call as not run although it ran. It sends 1,000 calls that may not be
// repeated while entries, services and the store fail; callers send a call again
// after each failed try.
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
	faults.Go(func() { injectFaults(f, done) })
	for i := range calls {
		calls[i] = &onceCall{key: "call-" + strconv.Itoa(i), body: fmt.Sprintf("dispatch %d coils", i), outcomes: make(map[string]int)}
		next <- calls[i]
	}
	close(next)
	callers.Wait()
	close(done)
	faults.Wait()
	checkCalls(t, f, calls)
}

// checkCalls logs the outcomes of all calls and fails if a call ran twice, got a
// wrong or second answer, or was refused as not run although it ran.
func checkCalls(t *testing.T, f *fleet.Fleet, calls []*onceCall) {
	var ranTwice, falseNotRun, answeredTwice, wrong, answered, notRunAfter int
	outcomes := make(map[string]int)
	for _, c := range calls {
		ran := runs(f, c.body)
		// mayHaveRun counts the tries after which the call may have run: answers, and
		// failures that do not state "not run".
		mayHaveRun := len(c.answers)
		for outcome, n := range c.outcomes {
			outcomes[outcome] += n
			if !strings.HasPrefix(outcome, "no ") {
				mayHaveRun += n
			}
		}
		want := service.Expected(contract.ServiceCall{Method: http.MethodPost, Path: "/enter", Body: []byte(c.body)})
		switch {
		case ran > 1:
			ranTwice++
		case ran > 0 && mayHaveRun == 0:
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
	t.Logf("answered %d of %d; ran_twice %d, false_not_run %d, answered_twice %d; refusals %v; refused as not run after it ran %d",
		answered, len(calls), ranTwice, falseNotRun, answeredTwice, outcomes, notRunAfter)
	if ranTwice+falseNotRun+answeredTwice+wrong+notRunAfter > 0 {
		t.Errorf("ran_twice %d, false_not_run %d, answered_twice %d, wrong answers %d, refused as not run after it ran %d",
			ranTwice, falseNotRun, answeredTwice, wrong, notRunAfter)
	}
}
