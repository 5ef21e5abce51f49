package experiment

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
)

// Times of a run.
const (
	// warmupTime is the time before the load in which the entries discover the upstreams
	// and one another. Entries start without tokens; the accounts' buckets refill for
	// refillTime at the end of it.
	warmupTime = 4 * time.Second
	refillTime = 2 * time.Second
	// drainTime is how long answers are awaited after the last arrival.
	drainTime = 20 * time.Second
	// settleTime is the time from the last answer to the check for held memory.
	settleTime = 3 * time.Second
	// healthInterval is the interval and the timeout of the balancer's health checks.
	healthInterval = 500 * time.Millisecond
	// onceTries is how often a caller sends a call that must run at most once.
	onceTries      = 3
	onceRetryDelay = 300 * time.Millisecond
)

// try is one answer or refusal, and how often the request's body had run by then.
type try struct {
	answer  load.Answer
	runs    int
	endedAt time.Time
}

// outcome is the result of one planned request.
type outcome struct {
	plan *plannedRequest
	sent time.Time
	// tries has one element, or several for a call that was sent again.
	tries []try
	// entry is the entry that the last try was sent to.
	entry *fleet.EntryNode
	// leftAt is when the caller left; zero if it stayed.
	leftAt time.Time
}

// last returns the answer of the last try.
func (o *outcome) last() *load.Answer {
	return &o.tries[len(o.tries)-1].answer
}

// run holds the state of one load on one fleet.
type run struct {
	options  Options
	fleet    *fleet.Fleet
	client   *load.Client
	observer *observer
	plan     []*plannedRequest
	began    time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// down holds the entries that the balancer considers down.
	down     map[*fleet.EntryNode]bool
	outcomes []*outcome
	events   events
}

// events records what the experiment itself did; zero values mean that it did not.
type events struct {
	configPropagation *time.Duration
	withdrawnAt       time.Time
	killed            *fleet.EntryNode
	killedAt          time.Time
}

// runPolicy runs the planned load under a policy on a new fleet and measures it.
func runPolicy(ctx context.Context, o Options, w fleet.Workload, policy string, plan []*plannedRequest) (Measures, error) {
	r := &run{options: o, observer: newObserver(), plan: plan, down: make(map[*fleet.EntryNode]bool)}
	chosen := policies[policy]
	chosen.Rates = o.Rates
	f, err := fleet.Start(ctx, fleet.Options{
		Workload:      w,
		Policy:        chosen,
		OnEngineStart: r.observer.engineStart,
		OnEngineFree:  r.observer.engineFree,
		OnServiceRun:  r.observer.serviceRun,
	})
	if err != nil {
		return Measures{}, err
	}
	defer f.Close()
	r.fleet = f
	f.WatchKeys()
	r.client = load.NewClient(f.Transport())
	sleep(ctx, warmupTime)
	r.began = time.Now()
	loadCtx, stop := context.WithDeadline(ctx, r.began.Add(o.Duration+drainTime))
	defer stop()
	var background sync.WaitGroup
	healthCtx, stopHealth := context.WithCancel(loadCtx)
	background.Go(func() { r.watchHealth(healthCtx) })
	background.Go(func() { r.runFault(loadCtx) })
	background.Go(func() { r.changeConfig(loadCtx) })
	r.send(loadCtx)
	stopHealth()
	background.Wait()
	sleep(ctx, settleTime)
	return measure(policy, r), ctx.Err()
}

// send sends each planned request at its time and waits for all answers.
func (r *run) send(ctx context.Context) {
	var requests sync.WaitGroup
	for _, p := range r.plan {
		sleep(ctx, time.Until(r.began.Add(p.at)))
		requests.Go(func() {
			o := r.request(ctx, p)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.outcomes = append(r.outcomes, o)
		})
	}
	requests.Wait()
}

// request sends one planned request, again after a failure if it is a kindOnce call.
func (r *run) request(ctx context.Context, p *plannedRequest) *outcome {
	o := &outcome{plan: p, sent: r.began.Add(p.at)}
	if p.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.leaveAfter)
		defer cancel()
	}
	tries := 1
	if p.kind == kindOnce {
		tries = onceTries
	}
	for n := range tries {
		a, entry := r.sendWithFailover(ctx, p)
		o.entry = entry
		o.tries = append(o.tries, try{a, r.observer.runs(p.body), time.Now()})
		if a.Whole {
			break
		}
		if n < tries-1 {
			sleep(ctx, onceRetryDelay)
		}
	}
	if p.leaveAfter > 0 && !o.last().Whole && o.last().Refusal == nil {
		o.leftAt = o.tries[len(o.tries)-1].endedAt
	}
	return o
}

// sendWithFailover sends a request one time. Like a balancer, it goes on to another entry if one
// does not accept the connection.
func (r *run) sendWithFailover(ctx context.Context, p *plannedRequest) (a load.Answer, entry *fleet.EntryNode) {
	for range r.fleet.Entries {
		entry = r.pick(p.entry)
		a = r.sendTo(ctx, entry, p)
		var failed *net.OpError
		if !errors.As(a.Err, &failed) || failed.Op != "dial" {
			break
		}
		r.setDown(entry, true)
	}
	return a, entry
}

// sendTo sends a request to the given entry, without a retry.
func (r *run) sendTo(ctx context.Context, entry *fleet.EntryNode, p *plannedRequest) load.Answer {
	w := &r.fleet.Workload
	key := w.Accounts[p.account].Key
	if p.kind == kindModel {
		return r.client.Generate(ctx, entry.URL, load.Generate{
			Key:       key,
			Model:     w.Model,
			Prompt:    p.prompt,
			MaxTokens: p.output,
			Seed:      p.seed,
			Stream:    true,
		})
	}
	prefix, idempotencyKey := w.RepeatablePath, ""
	if p.kind == kindOnce {
		prefix, idempotencyKey = w.NonRepeatablePath, "call-"+strconv.Itoa(p.index)
	}
	return r.client.Call(ctx, http.MethodPost, entry.URL+strings.TrimSuffix(prefix, "/")+callPath, key, idempotencyKey, p.body)
}

// callPath is the path of all plain calls after their route's prefix. It belongs to the
// simulated service and does not refer to entries of the fleet.
const callPath = "/entries"

// expectedCall returns the call that the service must have received and that determines
// its answer.
func expectedCall(p *plannedRequest) contract.ServiceCall {
	return contract.ServiceCall{Method: http.MethodPost, Path: callPath, Body: []byte(p.body)}
}

// pick selects an entry by its relative position in [0, 1) in the list of the entries
// that the balancer considers up, or in the list of all entries if none is up.
func (r *run) pick(position float64) *fleet.EntryNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []*fleet.EntryNode
	for _, e := range r.fleet.Entries {
		if !r.down[e] {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		up = r.fleet.Entries
	}
	return up[int(position*float64(len(up)))]
}

// watchHealth runs the balancer's health checks until ctx ends.
func (r *run) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var checks sync.WaitGroup
		for _, e := range r.fleet.Entries {
			checks.Go(func() { r.checkHealth(ctx, e) })
		}
		checks.Wait()
	}
}

func (r *run) checkHealth(ctx context.Context, e *fleet.EntryNode) {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	a := r.client.Call(ctx, http.MethodGet, e.URL+"/-/ready", "", "", "")
	if ctx.Err() == context.Canceled {
		return
	}
	r.setDown(e, a.Status != http.StatusOK)
}

func (r *run) setDown(e *fleet.EntryNode, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[e] = down
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
