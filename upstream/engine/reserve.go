package engine

import (
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Reserve grants a slot, KV blocks and a window on the import link, all or nothing.
// A repeated ask of a call that holds a grant renews that grant and reserves nothing
// more.
func (l *Ledger) Reserve(now time.Time, a Ask) (Grant, *contract.Refusal) {
	if held, ok := l.grants[a.Call]; ok {
		return l.repeatReserve(now, held, a)
	}
	if refusal := l.refuseIfClosed(); refusal != nil {
		return Grant{}, refusal
	}
	importAt, refusal := l.earliestImport(now, a)
	if refusal != nil {
		return Grant{}, refusal
	}
	window := l.link.Find(a.Call, a.ImportBlocks, importAt)
	wait := window.Start.Sub(now) - a.ReadyIn
	if l.limits.MaxWindowWait > 0 && wait > l.limits.MaxWindowWait {
		return Grant{}, contract.RefuseRetryable(contract.CodeOverCapacity, wait, "the wait for the next free window on the import link exceeds the max wait")
	}
	l.link.Add(window)
	l.blocks += a.Blocks
	l.lastNumber++
	held := &heldCall{ask: a, windowStart: window.Start, expires: now.Add(l.limits.Lease), number: l.lastNumber}
	l.grants[a.Call] = held
	return l.toGrant(now, held), nil
}

// repeatReserve renews the grant for a repeated ask of its owner and refuses other owners.
// The refusal of an expired grant that is not released yet is retryable: the ask starts
// nothing, and after the release it may succeed.
func (l *Ledger) repeatReserve(now time.Time, held *heldCall, a Ask) (Grant, *contract.Refusal) {
	if !held.ownedBy(a.Owner) {
		return Grant{}, contract.Refuse(contract.CodeStaleGrant, "the call's grant belongs to another owner")
	}
	if !now.Before(held.expires) {
		return Grant{}, contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the call's grant has expired")
	}
	held.expires = now.Add(l.limits.Lease)
	return l.toGrant(now, held), nil
}

func (l *Ledger) toGrant(now time.Time, held *heldCall) Grant {
	return Grant{WindowIn: max(0, held.windowStart.Sub(now)), Lease: l.limits.Lease}
}

// earliestImport returns when the ask may import its KV cache at the earliest: when the
// cache is ready, or up to maxCapacityDelay later when a slot and blocks become free.
// Expired grants count until they are released, because the upstream still holds their
// memory.
func (l *Ledger) earliestImport(now time.Time, a Ask) (time.Time, *contract.Refusal) {
	ready := now.Add(a.ReadyIn)
	if l.fitsNow(a) {
		return ready, nil
	}
	at, ok := l.fitsAt(a)
	switch {
	case !ok:
		return ready, contract.RefuseRetryable(contract.CodeOverCapacity, 0, fmt.Sprintf("upstream %s has too few free slots or KV blocks", l.id))
	case a.ReadyIn <= 0 || at.Sub(ready) > maxCapacityDelay:
		return ready, contract.RefuseRetryable(contract.CodeOverCapacity, max(0, at.Sub(ready)), fmt.Sprintf("upstream %s has too few free slots or KV blocks in time", l.id))
	case at.After(ready):
		return at, nil
	default:
		return ready, nil
	}
}

// refuseIfClosed returns a refusal of new work if the upstream is draining or down, else
// nil.
func (l *Ledger) refuseIfClosed() *contract.Refusal {
	switch {
	case l.draining:
		return contract.RefuseRetryable(contract.CodeDraining, 0, fmt.Sprintf("upstream %s is draining", l.id))
	case l.down:
		return contract.RefuseRetryable(contract.CodeOverCapacity, 0, fmt.Sprintf("upstream %s does not respond", l.id))
	default:
		return nil
	}
}

// AcceptPrefill adds a prompt to the prefill queue, which MaxQueuedTokens bounds; an
// empty queue accepts a prompt of any length. A repeated call has no effect and does
// not renew the lease. Release removes the prompt from the queue.
func (l *Ledger) AcceptPrefill(now time.Time, a Ask) *contract.Refusal {
	if _, ok := l.prefills[a.Call]; ok {
		return nil
	}
	if refusal := l.refuseIfClosed(); refusal != nil {
		return refusal
	}
	limit := l.limits.MaxQueuedTokens
	if limit > 0 && l.queued > 0 && l.queued+a.Tokens > limit {
		return contract.RefuseRetryable(contract.CodeOverCapacity, l.prefillTime(l.queued), fmt.Sprintf("prefill queue of upstream %s is full: %d prompt tokens queued", l.id, l.queued))
	}
	l.queued += a.Tokens
	l.prefills[a.Call] = &heldCall{ask: a, expires: now.Add(l.limits.Lease)}
	return nil
}

// prefillTime returns how long the tokens take at the prefill rate; 0 if the rate
// has no limit.
func (l *Ledger) prefillTime(tokens contract.Tokens) time.Duration {
	if l.limits.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(l.limits.PrefillPerSecond)
}
