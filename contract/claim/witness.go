package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Fate is what a witness knows of one attempt.
type Fate uint8

const (
	// FateForgotten means that the witness knows nothing: it may have been
	// replaced since it gave the grant.
	FateForgotten Fate = iota
	// FatePending attempts hold a grant and may still be sent.
	FatePending
	// FateNever attempts were not sent and will not be.
	FateNever
	// FateRunning attempts were sent.
	FateRunning
	// FateDone attempts were answered.
	FateDone
	// FateUnclear attempts were sent and the upstream gave no answer.
	FateUnclear
)

var fateNames = [...]string{"forgotten", "pending", "never", "running", "done", "unclear"}

// String gives the word used in logs.
func (f Fate) String() string {
	return fateNames[f]
}

// Lapse is what becomes of a fate when its grant's lease runs out.
func (f Fate) Lapse() Fate {
	if f == FatePending {
		return FateNever
	}
	return f
}

// Send is what becomes of a fate when the attempt is to be sent; ok says
// whether it may be.
func (f Fate) Send() (next Fate, ok bool) {
	if f == FatePending {
		return FateRunning, true
	}
	return f, false
}

// Bounds of a witness.
const (
	// GrantLease is how long an attempt may wait to be sent. The claim is
	// written in this time.
	GrantLease = 4 * time.Second
	// RememberFor is how long a witness remembers an attempt after its end.
	RememberFor = 10 * time.Minute
	// RememberCalls and RememberBytes bound what a witness remembers.
	RememberCalls = 8192
	RememberBytes = 16 << 20
)

// memory is what a witness keeps of one attempt.
type memory struct {
	key     KeyHash
	fate    Fate
	answer  contract.ServiceAnswer
	dropped bool
	// until is the end of the grant's lease while pending, else of the memory.
	until time.Time
}

// Witness is a sidecar's memory of attempts that may not be repeated.
type Witness struct {
	calls map[contract.CallID]*memory
	// granted lists the attempts in the order of their grants, whose leases
	// are equally long.
	granted []contract.CallID
	// ended lists the attempts in the order of their end.
	ended []contract.CallID
	bytes int
}

// NewWitness returns a witness that remembers nothing.
func NewWitness() *Witness {
	return &Witness{calls: make(map[contract.CallID]*memory)}
}

// Grant lets an attempt be sent within GrantLease. An attempt gets one grant.
func (w *Witness) Grant(now time.Time, call contract.CallID, key KeyHash) *contract.Refusal {
	w.sweep(now)
	if _, there := w.calls[call]; there {
		return contract.Refuse(contract.CodeStaleGrant, "the attempt had its grant already")
	}
	if len(w.calls) >= RememberCalls && !w.forgetOldest() {
		return contract.RefuseRepeat(contract.CodeOverCapacity, 0, "the sidecar has too many calls that may not be repeated")
	}
	w.calls[call] = &memory{key: key, fate: FatePending, until: now.Add(GrantLease)}
	w.granted = append(w.granted, call)
	return nil
}

// Send uses up an attempt's grant. Without one, nothing may be sent: the grant
// has lapsed, or another incarnation of this sidecar gave it.
func (w *Witness) Send(now time.Time, call contract.CallID) *contract.Refusal {
	w.sweep(now)
	m, there := w.calls[call]
	if !there {
		return contract.RefuseRepeat(contract.CodeStaleGrant, 0, "the attempt has no grant here")
	}
	next, ok := m.fate.Send()
	if !ok {
		return sendRefusal(m.fate)
	}
	m.fate = next
	m.until = time.Time{}
	return nil
}

// sendRefusal refuses an attempt that has no grant any more.
func sendRefusal(fate Fate) *contract.Refusal {
	if fate == FateNever {
		return contract.RefuseRepeat(contract.CodeStaleGrant, 0, "the attempt's grant has lapsed")
	}
	return &contract.Refusal{Code: contract.CodeOutcomeUnknown, Ran: contract.RanUnknown, Reason: "the attempt was sent already"}
}

// Finish notes how a sent attempt ended.
func (w *Witness) Finish(now time.Time, call contract.CallID, answer contract.ServiceAnswer, refusal *contract.Refusal) {
	m, there := w.calls[call]
	if !there || m.fate != FateRunning {
		return
	}
	switch {
	case refusal == nil:
		m.fate = FateDone
		m.answer = answer
	case refusal.Ran == contract.RanNo:
		m.fate = FateNever
	default:
		m.fate = FateUnclear
	}
	if len(m.answer.Body) > MaxAnswer {
		m.answer.Body = nil
		m.dropped = true
	}
	w.end(now, call, m)
}

// Ask tells what became of an attempt.
func (w *Witness) Ask(now time.Time, call contract.CallID) (fate Fate, answer contract.ServiceAnswer, dropped bool) {
	w.sweep(now)
	m, there := w.calls[call]
	if !there {
		return FateForgotten, answer, false
	}
	return m.fate, m.answer, m.dropped
}

// AskKey tells what became of a claim's attempts here, but for those of one
// request. FateNever means that no other was sent, as far as is remembered.
func (w *Witness) AskKey(now time.Time, key KeyHash, but contract.RequestID) (fate Fate, answer contract.ServiceAnswer, dropped bool) {
	w.sweep(now)
	fate = FateNever
	for call, m := range w.calls {
		if m.key != key || call.Request == but || m.fate == FateNever {
			continue
		}
		fate = m.fate
		if fate == FateDone {
			return fate, m.answer, m.dropped
		}
	}
	return fate, answer, false
}

// end starts the time for which an attempt is remembered.
func (w *Witness) end(now time.Time, call contract.CallID, m *memory) {
	m.until = now.Add(RememberFor)
	w.ended = append(w.ended, call)
	w.bytes += len(m.answer.Body)
	for w.bytes > RememberBytes && w.forgetOldest() {
		continue
	}
}

// sweep lapses grants and forgets what is old.
func (w *Witness) sweep(now time.Time) {
	for len(w.granted) > 0 {
		call := w.granted[0]
		m, there := w.calls[call]
		pending := there && m.fate == FatePending
		if pending && now.Before(m.until) {
			break
		}
		w.granted = w.granted[1:]
		if pending {
			m.fate = m.fate.Lapse()
			w.end(now, call, m)
		}
	}
	for len(w.ended) > 0 && !now.Before(w.calls[w.ended[0]].until) {
		w.forgetOldest()
	}
}

// forgetOldest drops the attempt that ended first; ok is false if none has.
func (w *Witness) forgetOldest() (ok bool) {
	if len(w.ended) == 0 {
		return false
	}
	call := w.ended[0]
	w.ended = w.ended[1:]
	w.bytes -= len(w.calls[call].answer.Body)
	delete(w.calls, call)
	return true
}
