package engine

import (
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Reserve grants a slot, blocks and a window on the import link, all or
// nothing. Asked again for a call that holds a grant, it renews that grant.
func (l *Ledger) Reserve(now time.Time, a Ask) (Grant, *contract.Refusal) {
	if held, ok := l.grants[a.Call]; ok {
		return l.again(now, held, a)
	}
	if refusal := l.closed(); refusal != nil {
		return Grant{}, refusal
	}
	room, refusal := l.findRoom(now, a)
	if refusal != nil {
		return Grant{}, refusal
	}
	window := l.link.Find(a.Call, a.ImportBlocks, room)
	wait := window.Start.Sub(now) - a.ReadyIn
	if l.limits.MaxWindowWait > 0 && wait > l.limits.MaxWindowWait {
		return Grant{}, contract.RefuseRepeat(contract.CodeOverCapacity, wait, "the transfer link is reserved for too long")
	}
	l.link.Add(window)
	l.blocks += a.Blocks
	l.granted++
	held := &grant{ask: a, opens: window.Start, expires: now.Add(l.limits.Lease), number: l.granted}
	l.grants[a.Call] = held
	return l.describe(now, held), nil
}

// again answers a repeated ask of the grant's own owner.
func (l *Ledger) again(now time.Time, held *grant, a Ask) (Grant, *contract.Refusal) {
	if !held.ownedBy(a.Owner) || !now.Before(held.expires) {
		return Grant{}, contract.Refuse(contract.CodeStaleGrant, "the call's grant has lapsed or is another's")
	}
	held.expires = now.Add(l.limits.Lease)
	return l.describe(now, held), nil
}

func (l *Ledger) describe(now time.Time, held *grant) Grant {
	return Grant{WindowIn: max(0, held.opens.Sub(now)), Lease: l.limits.Lease}
}

// findRoom gives when the ask may import its KV cache: when that is ready, or
// when a place becomes free soon after. Lapsed grants count until they are
// released, because the upstream still holds their memory.
func (l *Ledger) findRoom(now time.Time, a Ask) (time.Time, *contract.Refusal) {
	ready := now.Add(a.ReadyIn)
	if l.hasRoom(a) {
		return ready, nil
	}
	at, ok := l.roomAt(a)
	switch {
	case !ok:
		return ready, contract.RefuseRepeat(contract.CodeOverCapacity, 0, fmt.Sprintf("upstream %s has no room", l.id))
	case a.ReadyIn <= 0 || at.Sub(ready) > aheadBy:
		return ready, contract.RefuseRepeat(contract.CodeOverCapacity, max(0, at.Sub(ready)), fmt.Sprintf("upstream %s has no room in time", l.id))
	case at.After(ready):
		return at, nil
	default:
		return ready, nil
	}
}

// closed refuses all new work of an upstream that is leaving or down.
func (l *Ledger) closed() *contract.Refusal {
	switch {
	case l.leaving:
		return contract.RefuseRepeat(contract.CodeDraining, 0, fmt.Sprintf("upstream %s is leaving", l.id))
	case l.down:
		return contract.RefuseRepeat(contract.CodeOverCapacity, 0, fmt.Sprintf("upstream %s does not answer", l.id))
	default:
		return nil
	}
}

// AcceptPrefill queues a prompt, bounded by tokens. Release takes it out of the
// queue. One prompt is accepted whatever its length when the queue is empty.
func (l *Ledger) AcceptPrefill(now time.Time, a Ask) *contract.Refusal {
	if _, ok := l.prefills[a.Call]; ok {
		return nil
	}
	if refusal := l.closed(); refusal != nil {
		return refusal
	}
	limit := l.limits.MaxQueuedTokens
	if limit > 0 && l.queued > 0 && l.queued+a.Tokens > limit {
		return contract.RefuseRepeat(contract.CodeOverCapacity, l.prefillTime(l.queued), fmt.Sprintf("upstream %s has %d prompt tokens queued", l.id, l.queued))
	}
	l.queued += a.Tokens
	l.prefills[a.Call] = &grant{ask: a, expires: now.Add(l.limits.Lease)}
	return nil
}

func (l *Ledger) prefillTime(tokens contract.Tokens) time.Duration {
	if l.limits.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(l.limits.PrefillPerSecond)
}
