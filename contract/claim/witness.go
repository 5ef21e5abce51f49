package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Fate is the state of one attempt at its witness.
type Fate uint8

const (
	// FateForgotten means that the witness has no record of the attempt. It may
	// have restarted since it granted the attempt, or evicted the record.
	FateForgotten Fate = iota
	// FatePending attempts hold a grant and may still be sent.
	FatePending
	// FateNever attempts did not run and will never be sent.
	FateNever
	// FateRunning attempts were sent and have not ended.
	FateRunning
	// FateDone attempts were answered by the upstream.
	FateDone
	// FateUnclear attempts were sent and ended without an answer; they may have
	// run.
	FateUnclear
)

var fateNames = [...]string{"forgotten", "pending", "never", "running", "done", "unclear"}

// String returns the name used in logs.
func (f Fate) String() string {
	return fateNames[f]
}

// AfterExpiry returns the fate after the grant's lease has expired.
func (f Fate) AfterExpiry() Fate {
	if f == FatePending {
		return FateNever
	}
	return f
}

// AfterSend returns the fate after a request to send the attempt. ok is false if the
// attempt must not be sent.
func (f Fate) AfterSend() (next Fate, ok bool) {
	if f == FatePending {
		return FateRunning, true
	}
	return f, false
}

// Limits of a witness.
const (
	// GrantLease is the time from the grant within which an attempt must be sent.
	// The entry writes the claim within this time.
	GrantLease = 4 * time.Second
	// RetentionTime is how long a witness keeps an attempt after it ended.
	RetentionTime = 10 * time.Minute
	// MaxRetainedCalls limits the attempts that a witness keeps, MaxRetainedBytes the
	// total size of their answer bodies.
	MaxRetainedCalls = 8192
	MaxRetainedBytes = 16 << 20
)

// callRecord is a witness's record of one attempt.
type callRecord struct {
	key     KeyHash
	fate    Fate
	answer  contract.ServiceAnswer
	dropped bool
	// expires is when the grant's lease expires while the fate is FatePending, and
	// when the record expires once the attempt has ended. It is zero while the
	// attempt runs.
	expires time.Time
}

// Witness grants attempts of non-idempotent requests at one sidecar and keeps
// their outcomes in memory. It is not safe for concurrent use. A restart of the
// sidecar loses its records: their grants become invalid.
type Witness struct {
	calls map[contract.CallID]*callRecord
	// granted lists the attempts in the order of their grants. All leases are
	// equally long, so this is also the order in which they expire.
	granted []contract.CallID
	// ended lists the ended attempts, which are evicted in this order.
	ended []contract.CallID
	// bytes is the total size of the stored answer bodies.
	bytes int
}

// NewWitness returns a witness without records.
func NewWitness() *Witness {
	return &Witness{calls: make(map[contract.CallID]*callRecord)}
}

// Grant allows an attempt to be sent within GrantLease. A repeated request for a
// grant that is pending succeeds without extending its lease: the entry asks again if
// the answer to an earlier request was late or lost. An attempt whose grant was used or
// has expired is refused, and so is any new grant while MaxRetainedCalls attempts have
// not ended.
func (w *Witness) Grant(now time.Time, call contract.CallID, key KeyHash) *contract.Refusal {
	w.sweep(now)
	if e, found := w.calls[call]; found {
		if e.fate == FatePending && e.key == key {
			return nil
		}
		return contract.Refuse(contract.CodeStaleGrant, "the attempt was already granted")
	}
	if len(w.calls) >= MaxRetainedCalls && !w.evictOldest() {
		return contract.RefuseRetryable(contract.CodeOverCapacity, 0, "the sidecar has too many non-idempotent calls")
	}
	w.calls[call] = &callRecord{key: key, fate: FatePending, expires: now.Add(GrantLease)}
	w.granted = append(w.granted, call)
	return nil
}

// Send consumes an attempt's grant. An attempt must not be sent if it is refused:
// its grant has expired, was used, or came from another incarnation of the sidecar.
func (w *Witness) Send(now time.Time, call contract.CallID) *contract.Refusal {
	w.sweep(now)
	e, found := w.calls[call]
	if !found {
		return contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the sidecar has no grant for the attempt")
	}
	next, ok := e.fate.AfterSend()
	if !ok {
		return sendRefusal(e.fate)
	}
	e.fate = next
	e.expires = time.Time{}
	return nil
}

// sendRefusal is the refusal for an attempt whose grant has expired or was used.
func sendRefusal(fate Fate) *contract.Refusal {
	if fate == FateNever {
		return contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the attempt's grant has expired")
	}
	return &contract.Refusal{Code: contract.CodeOutcomeUnknown, Ran: contract.RanUnknown, Reason: "the attempt was already sent"}
}

// Finish records the end of a sent attempt; refusal is nil if it was answered.
// Attempts that are not running are ignored. An answer body larger than MaxAnswer
// is dropped.
func (w *Witness) Finish(now time.Time, call contract.CallID, answer contract.ServiceAnswer, refusal *contract.Refusal) {
	e, found := w.calls[call]
	if !found || e.fate != FateRunning {
		return
	}
	switch {
	case refusal == nil:
		e.fate = FateDone
		e.answer = answer
	case refusal.Ran == contract.RanNo:
		e.fate = FateNever
	default:
		e.fate = FateUnclear
	}
	if len(e.answer.Body) > MaxAnswer {
		e.answer.Body = nil
		e.dropped = true
	}
	w.retain(now, call, e)
}

// Ask returns the fate of an attempt, with its answer if that is FateDone. dropped
// means that the answer's body was too large to be kept.
func (w *Witness) Ask(now time.Time, call contract.CallID) (fate Fate, answer contract.ServiceAnswer, dropped bool) {
	w.sweep(now)
	e, found := w.calls[call]
	if !found {
		return FateForgotten, answer, false
	}
	return e.fate, e.answer, e.dropped
}

// AskKey returns the combined fate of a claim's attempts at this witness, leaving
// out those of the request except. FateDone takes precedence. FateNever means that
// the witness has no record of another attempt that was sent or may be sent.
func (w *Witness) AskKey(now time.Time, key KeyHash, except contract.RequestID) (fate Fate, answer contract.ServiceAnswer, dropped bool) {
	w.sweep(now)
	fate = FateNever
	for call, e := range w.calls {
		if e.key != key || call.Request == except || e.fate == FateNever {
			continue
		}
		fate = e.fate
		if fate == FateDone {
			return fate, e.answer, e.dropped
		}
	}
	return fate, answer, false
}

// retain starts the retention time of an ended attempt and evicts the oldest
// records while the answers exceed MaxRetainedBytes.
func (w *Witness) retain(now time.Time, call contract.CallID, e *callRecord) {
	e.expires = now.Add(RetentionTime)
	w.ended = append(w.ended, call)
	w.bytes += len(e.answer.Body)
	for w.bytes > MaxRetainedBytes && w.evictOldest() {
		continue
	}
}

// sweep sets attempts with an expired grant to FateNever and removes expired records.
func (w *Witness) sweep(now time.Time) {
	for len(w.granted) > 0 {
		call := w.granted[0]
		e, found := w.calls[call]
		pending := found && e.fate == FatePending
		if pending && now.Before(e.expires) {
			break
		}
		w.granted = w.granted[1:]
		if pending {
			e.fate = e.fate.AfterExpiry()
			w.retain(now, call, e)
		}
	}
	for len(w.ended) > 0 && !now.Before(w.calls[w.ended[0]].expires) {
		w.evictOldest()
	}
}

// evictOldest evicts the attempt that ended first; ok is false if none has ended.
func (w *Witness) evictOldest() (ok bool) {
	if len(w.ended) == 0 {
		return false
	}
	call := w.ended[0]
	w.ended = w.ended[1:]
	w.bytes -= len(w.calls[call].answer.Body)
	delete(w.calls, call)
	return true
}
