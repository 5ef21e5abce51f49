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
	// warmUp lets the entries learn of the upstreams and of one another before
	// the load. In the last part of it the accounts accrue tokens: entries that
	// start have none.
	warmUp     = 4 * time.Second
	warmAccrue = 2 * time.Second
	// drainTime is how long after the last arrival answers are waited for.
	drainTime = 20 * time.Second
	// settleTime is how long after the last answer memory is looked at.
	settleTime = 3 * time.Second
	// healthEvery is how often the balancer looks at the entries.
	healthEvery = 500 * time.Millisecond
	// onceTries is how often a caller sends a call that may not be repeated.
	onceTries  = 3
	onceRepeat = 300 * time.Millisecond
)

// try is one refusal or answer, and how often the body had run by then.
type try struct {
	answer  load.Answer
	runs    int
	endedAt time.Time
}

// outcome is what one planned request led to.
type outcome struct {
	plan *planned
	sent time.Time
	// tries has one element, but for calls that were sent again.
	tries []try
	// entry is where the last try was sent.
	entry *fleet.EntryNode
	// left is when the caller left; zero if it stayed.
	left time.Time
}

// last is the answer that the caller kept.
func (o *outcome) last() *load.Answer {
	return &o.tries[len(o.tries)-1].answer
}

// run plays one load on one fleet.
type run struct {
	options  Options
	fleet    *fleet.Fleet
	client   *load.Client
	observer *observer
	plan     []*planned
	began    time.Time

	mu       sync.Mutex
	down     map[*fleet.EntryNode]bool
	outcomes []*outcome
	events   events
}

// events are the times of what the experiment itself did.
type events struct {
	configSpread *time.Duration
	withdrawn    time.Time
	killed       *fleet.EntryNode
	killedAt     time.Time
}

// play runs a policy on a fresh fleet and measures it.
func play(ctx context.Context, o Options, w fleet.Workload, policy string, plan []*planned) (Measures, error) {
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
	sleep(ctx, warmUp)
	r.began = time.Now()
	loadCtx, stop := context.WithDeadline(ctx, r.began.Add(o.Duration+drainTime))
	defer stop()
	var background sync.WaitGroup
	healthCtx, stopHealth := context.WithCancel(loadCtx)
	background.Go(func() { r.watchHealth(healthCtx) })
	background.Go(func() { r.bringFault(loadCtx) })
	background.Go(func() { r.changeConfig(loadCtx) })
	r.send(loadCtx)
	stopHealth()
	background.Wait()
	sleep(ctx, settleTime)
	return measure(policy, r), ctx.Err()
}

// send makes each planned request at its time and waits for all answers.
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

// request makes one planned request.
func (r *run) request(ctx context.Context, p *planned) *outcome {
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
		a, entry := r.once(ctx, p)
		o.entry = entry
		o.tries = append(o.tries, try{a, r.observer.runs(p.body), time.Now()})
		if a.Whole {
			break
		}
		if n < tries-1 {
			sleep(ctx, onceRepeat)
		}
	}
	if p.leaveAfter > 0 && !o.last().Whole && o.last().Refusal == nil {
		o.left = o.tries[len(o.tries)-1].endedAt
	}
	return o
}

// once makes one try of a request. As a balancer would, it goes to another entry
// when one does not take the connection.
func (r *run) once(ctx context.Context, p *planned) (a load.Answer, entry *fleet.EntryNode) {
	for range r.fleet.Entries {
		entry = r.pick(p.entry)
		a = r.at(ctx, entry, p)
		var failed *net.OpError
		if !errors.As(a.Err, &failed) || failed.Op != "dial" {
			break
		}
		r.setDown(entry, true)
	}
	return a, entry
}

// at makes one try at an entry.
func (r *run) at(ctx context.Context, entry *fleet.EntryNode, p *planned) load.Answer {
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
	prefix, idempotencyKey := w.FreePath, ""
	if p.kind == kindOnce {
		prefix, idempotencyKey = w.OncePath, "call-"+strconv.Itoa(p.index)
	}
	return r.client.Call(ctx, http.MethodPost, entry.URL+strings.TrimSuffix(prefix, "/")+callPath, key, idempotencyKey, p.body)
}

// callPath is the path of all plain calls below their route's prefix.
const callPath = "/entries"

// expectedCall is what a plain call must be answered with.
func expectedCall(p *planned) contract.ServiceCall {
	return contract.ServiceCall{Method: http.MethodPost, Path: callPath, Body: []byte(p.body)}
}

// pick chooses among the entries that the balancer believes to be up.
func (r *run) pick(at float64) *fleet.EntryNode {
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
	return up[int(at*float64(len(up)))]
}

// watchHealth is the balancer's health check.
func (r *run) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
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
	ctx, cancel := context.WithTimeout(ctx, healthEvery)
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

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
