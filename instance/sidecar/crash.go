package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// suspectRetry is when a suspect that met another one may ask again.
const suspectRetry = 100 * time.Millisecond

// suspects is what the sidecar knows of crashes and of requests that cause them.
type suspects struct {
	table   *quarantine.Table
	witness quarantine.Witness
	// silent counts the looks in a row without an answer.
	silent int
}

// saw takes in a look at the upstream. crashed says that it shows a crash; hung
// that the upstream has been silent for long, which is nobody's fault: it may be
// frozen, or the machine busy.
func (x *suspects) saw(seen sight) (crashed, hung bool) {
	if seen.up {
		x.silent = 0
		return x.witness.Up(seen.epoch), false
	}
	x.silent++
	switch {
	case x.silent < maxSilent:
		return false, false
	case seen.gone:
		return x.witness.Silent(), false
	default:
		return false, x.silent == maxSilent
	}
}

// down reports whether the upstream gets no work.
func (x *suspects) down() bool {
	return x.witness.Down() || x.silent >= maxSilent
}

// heard takes in what a message's header tells.
func (s *Sidecar) heard(h *table.Held, header peer.Header) {
	if len(header.Quarantine) == 0 {
		return
	}
	now := s.clock.Now()
	s.suspects.With(h, func(x *suspects) { x.table.Learn(now, header.Quarantine) })
}

// notes are the news about requests that crash upstreams.
func (s *Sidecar) notes(h *table.Held) (notes []quarantine.Note) {
	now := s.clock.Now()
	s.suspects.With(h, func(x *suspects) { notes = x.table.Notes(now) })
	return notes
}

// refuseSuspect refuses a request that crashes upstreams, and one that may do so
// while another such is here.
func (s *Sidecar) refuseSuspect(h *table.Held, fp contract.Fingerprint) (refusal *contract.Refusal) {
	now := s.clock.Now()
	alone := false
	s.suspects.With(h, func(x *suspects) {
		refusal = x.table.Check(now, fp)
		alone = x.table.Alone(now, fp)
	})
	if refusal != nil || !alone {
		return refusal
	}
	var running []engine.Ask
	s.ledger.With(h, func(l **engine.Ledger) { running = (*l).Running() })
	s.suspects.With(h, func(x *suspects) {
		if x.table.Conflict(now, fp, fingerprints(running)) {
			refusal = contract.RefuseRepeat(contract.CodeOverCapacity, suspectRetry, "another request that was present at a crash runs here")
		}
	})
	return refusal
}

func fingerprints(asks []engine.Ask) []contract.Fingerprint {
	list := make([]contract.Fingerprint, 0, len(asks))
	for _, a := range asks {
		list = append(list, a.Fingerprint)
	}
	return list
}

// started marks a call as sent to the upstream, right before it is.
func (s *Sidecar) started(call contract.CallID) {
	s.ledger.With(table.NewHeld(), func(l **engine.Ledger) { (*l).Start(s.clock.Now(), call) })
}

// finished excuses a call that ran to its end from crashes at which it was
// present.
func (s *Sidecar) finished(fp contract.Fingerprint) {
	now := s.clock.Now()
	s.suspects.With(table.NewHeld(), func(x *suspects) { x.table.Finished(now, fp) })
}

// broke is called from a link's goroutine when the upstream broke off a call. It
// looks at the upstream before the call's failure is told, so that the entry
// hears of the suspects before it tries them elsewhere. A call that could not be
// sent is no suspect, but shows as well that the upstream may be down. lives says
// that the upstream is there and has not been restarted, so that it may still know
// the call.
func (s *Sidecar) broke(ctx context.Context, fp contract.Fingerprint, err error) (lives bool) {
	if ctx.Err() != nil {
		// The call was ended here, which says nothing of the upstream.
		return false
	}
	brokeOff := errors.Is(err, link.ErrGone) || errors.Is(err, link.ErrUnknownCall)
	if !brokeOff && !errors.Is(err, link.ErrNotSent) {
		return true
	}
	h := table.NewHeld()
	now := s.clock.Now()
	if brokeOff {
		s.suspects.With(h, func(x *suspects) { x.witness.Broke(now, fp) })
	}
	seen := s.look(ctx)
	if !seen.up {
		s.silentAfterBreak(h, seen.gone)
		return false
	}
	return !s.saw(h, seen)
}

// silentAfterBreak counts an upstream that broke off a call and does not answer
// as down at once. Only one that nobody listens for any more has crashed.
func (s *Sidecar) silentAfterBreak(h *table.Held, gone bool) {
	crashed := false
	s.suspects.With(h, func(x *suspects) {
		x.silent = maxSilent
		crashed = gone && x.witness.Silent()
	})
	s.ledger.With(h, func(l **engine.Ledger) { (*l).SetDown(true) })
	if crashed {
		s.crashed(h)
		return
	}
	s.endWaiting(h, s.sent(h))
}

// crashed holds the crash against all that ran, and ends what still waits for
// the engine's answer.
func (s *Sidecar) crashed(h *table.Held) {
	sent := s.sent(h)
	now := s.clock.Now()
	var found []contract.Fingerprint
	present := 0
	s.suspects.With(h, func(x *suspects) {
		all := x.witness.Suspects(now, fingerprints(sent))
		present = len(all)
		found = x.table.Crashed(now, s.id, all)
	})
	s.log.Error("upstream crashed", "upstream", s.id, "requests", present, "quarantined", len(found))
	s.endWaiting(h, sent)
}

// sent gives the calls that the upstream has.
func (s *Sidecar) sent(h *table.Held) (sent []engine.Ask) {
	s.ledger.With(h, func(l **engine.Ledger) { sent = (*l).Sent() })
	return sent
}

// endWaiting ends the calls that wait for an engine's answer, so that they go
// elsewhere. Calls of a service wait on: they may not be repeated.
func (s *Sidecar) endWaiting(h *table.Held, sent []engine.Ask) {
	if s.engine == nil {
		return
	}
	for _, a := range sent {
		s.stop(h, a.Call)
	}
}
