package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds and doses of the case drain.
const (
	drainBound = 2 * time.Second // drain_ms
	// lingerAfter is how long a runner serves after drain_ms before it exits.
	lingerAfter = 800 * time.Millisecond
	drainFor    = 72 * time.Second
	streamsPerS = 24
	slowTimes   = 7.5
	slowFor     = 6500 * time.Millisecond
	slowPause   = 9 * time.Second
	prefillers  = 4
	decoders    = 8
	ledgers     = 3
)

// leaver is a runner that left.
type leaver struct {
	id              string
	ackedAt, exitAt time.Time
}

// drain replaces model runners, two at a time, while, with trouble, two of the fifteen
// runners are slow. It reports whether a request reached a runner later than drain_ms after
// the store had accepted that it leaves.
func drain(rec *record, trouble bool) (broken bool, err error) {
	l, err := newLab(rec, 3, prefillers, decoders, ledgers)
	if err != nil {
		return false, err
	}
	defer l.close()
	stop := make(chan struct{})
	l.clients.wg.Go(func() { l.sendStreams(stop, newClient(), streamsPerS) })
	time.Sleep(4 * time.Second)
	end := time.Now().Add(drainFor)
	if trouble {
		go l.slowRunners(end)
	}
	leavers := l.release(end)
	close(stop)
	l.clients.wg.Wait()
	late, cut := l.lateVisits(leavers)
	l.writeCalls()
	rec.line(time.Now(), "result: %d requests reached a runner later than %v after it was acknowledged as leaving; %d of them were cut off by its exit", late, drainBound, cut)
	return late > 0, nil
}

// sendStreams sends requests to the gateways at a steady rate.
func (l *lab) sendStreams(stop <-chan struct{}, client *http.Client, perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		k := provenance
		if i%3 == 0 {
			k = reports
		}
		q := l.clients.newCall(k, l.gateways[rand.IntN(len(l.gateways))], firstKey, 1500+rand.IntN(4500), 40+rand.IntN(60))
		l.clients.wg.Go(func() { q.send(client) })
	}
}

// slowRunners makes two prefill runners slow for a time, again and again.
func (l *lab) slowRunners(end time.Time) {
	for time.Now().Before(end) {
		chosen := l.platform.ofPhase("prefill")
		rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:min(2, len(chosen))]
		for _, r := range chosen {
			r.setSlowdown(slowTimes)
			l.record.line(time.Now(), "%s (prefill) takes %v times as long for %v", r.id, slowTimes, slowFor)
		}
		time.Sleep(slowFor)
		for _, r := range chosen {
			r.setSlowdown(1)
		}
		time.Sleep(slowPause - slowFor)
	}
}

func (r *runner) setSlowdown(x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = x
}

// release replaces five of the twelve model runners in each round of slowPause, two each
// second: the new ones start first, the old ones report that they leave, serve for drain_ms
// and a little longer, and exit.
func (l *lab) release(end time.Time) (leavers []leaver) {
	for n := 0; time.Now().Before(end); n++ {
		round := time.Now()
		for step, count := range []int{2, 2, 1} {
			time.Sleep(time.Until(round.Add(time.Duration(2+step) * time.Second)))
			for k, r := range l.platform.ofPhase("decode")[:count] {
				gone, err := l.replace(r, fmt.Sprintf("i-%04d", 100+10*n+2*step+k))
				if err != nil {
					l.record.line(time.Now(), "%s was not replaced: %v", r.id, err)
					continue
				}
				leavers = append(leavers, gone)
			}
		}
		time.Sleep(time.Until(round.Add(slowPause)))
	}
	return leavers
}

// replace starts a new runner and makes the old one leave.
func (l *lab) replace(old *runner, id string) (leaver, error) {
	if _, err := startRunner(l.platform, id, old.service, "decode", old.zone); err != nil {
		return leaver{}, err
	}
	acked, err := old.leave()
	if err != nil {
		return leaver{}, err
	}
	exitAt := acked.Add(drainBound + lingerAfter)
	l.record.line(acked, "%s is leaving, accepted by the store; it exits at %.3f", old.id, exitAt.Sub(l.record.began).Seconds())
	time.AfterFunc(time.Until(exitAt), func() { _ = old.exit() })
	return leaver{old.id, acked, exitAt}, nil
}

// lateVisits counts the requests that reached a leaving runner after the bound, and those of
// them whose client got no whole answer.
func (l *lab) lateVisits(leavers []leaver) (late, cut int) {
	calls := make(map[string]*call)
	for _, q := range l.clients.calls {
		calls[q.id] = q
	}
	for _, v := range l.platform.allVisits() {
		for _, gone := range leavers {
			after := v.at.Sub(gone.ackedAt)
			if gone.id != v.runner || after <= drainBound {
				continue
			}
			late++
			q := calls[v.request]
			l.record.line(v.at, "LATE: %s, sent by its client at %.3f, reaches %s %v after it was acknowledged as leaving; its client got %s",
				v.request, q.sentAt.Sub(l.record.began).Seconds(), v.runner, after.Round(time.Millisecond), q.outcome())
			if !q.complete || q.status != 200 || !q.right {
				cut++
			}
		}
	}
	return late, cut
}
