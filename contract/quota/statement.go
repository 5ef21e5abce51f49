package quota

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// useRetention is how long a use is resent to peers that have not acknowledged it. A
// process that was silent for longer is removed from the fleet and starts anew.
const useRetention = 20 * time.Second

// Use is the number of tokens that a process admitted for an account, less refunds.
type Use struct {
	// Sequence numbers the uses of an incarnation from 1. Uses of several accounts
	// between two statements share a number.
	Sequence uint64
	Account  contract.AccountID
	// Tokens is negative if refunds exceed admissions.
	Tokens float64
}

// Mark is a position in the sequence of an incarnation's uses.
type Mark struct {
	Incarnation instance.Incarnation
	Sequence    uint64
}

// Statement carries the uses of one process that the receiver has not
// acknowledged, so that its size depends on recent changes and not on the number
// of accounts.
type Statement struct {
	// UpTo is the last use that the statement covers.
	UpTo Mark
	Uses []Use
	// Heard acknowledges the receiver's uses up to this position: the sender has
	// applied them.
	Heard Mark
}

// ledger holds the uses of this process, oldest first.
type ledger struct {
	// sequence is the number of the uses that are being added. reported is set if a
	// statement covers it, so that the next use needs a new number.
	sequence uint64
	reported bool
	uses     []timedUse
	// latest has the index in uses of each account's use with the current number, since
	// many accounts may share one.
	latest map[contract.AccountID]int
}

// timedUse is a use with the time of its first request.
type timedUse struct {
	Use
	at time.Time
}

func (l *ledger) add(now time.Time, account contract.AccountID, tokens float64) {
	if l.reported || l.sequence == 0 {
		l.sequence++
		l.reported = false
		l.latest = make(map[contract.AccountID]int)
	}
	if i, ok := l.latest[account]; ok {
		l.uses[i].Tokens += tokens
		return
	}
	l.latest[account] = len(l.uses)
	l.uses = append(l.uses, timedUse{Use: Use{Sequence: l.sequence, Account: account, Tokens: tokens}, at: now})
}

// removeOld drops the uses older than useRetention.
func (l *ledger) removeOld(now time.Time) {
	old := 0
	for old < len(l.uses) && now.Sub(l.uses[old].at) > useRetention {
		old++
	}
	if old == 0 {
		return
	}
	l.uses = l.uses[old:]
	for account := range l.latest {
		l.latest[account] -= old
		if l.latest[account] < 0 {
			delete(l.latest, account)
		}
	}
}

// since returns the uses after a sequence number and drops those older than
// useRetention. The next use gets a new number.
func (l *ledger) since(now time.Time, sequence uint64) (uses []Use) {
	l.removeOld(now)
	for _, e := range l.uses {
		if e.Sequence > sequence {
			uses = append(uses, e.Use)
		}
	}
	l.reported = true
	return uses
}

// StatementFor returns the statement to send to a peer. Until the peer acknowledges them,
// its uses are repeated in each statement.
func (m *Meter) StatementFor(now time.Time, to Peer) Statement {
	var s Statement
	var acknowledged uint64
	if p, ok := m.peers[to]; ok {
		s.Heard, acknowledged = p.upTo, p.acknowledged
	}
	s.Uses = m.own.since(now, acknowledged)
	s.UpTo = Mark{Incarnation: m.options.Incarnation, Sequence: m.own.sequence}
	return s
}

// ApplyStatement applies a statement of a peer: it charges uses that were not applied
// yet to the accounts' buckets. Statements may be lost, repeated or reordered; those of
// an older incarnation are ignored. The first statement of a peer charges nothing.
func (m *Meter) ApplyStatement(now time.Time, from Peer, s Statement) {
	p, ok := m.peers[from]
	if !ok && len(m.peers) >= MaxPeers {
		return
	}
	if ok && s.UpTo.Incarnation < p.upTo.Incarnation {
		return
	}
	if !ok || s.UpTo.Incarnation > p.upTo.Incarnation {
		next := &peer{upTo: Mark{Incarnation: s.UpTo.Incarnation}}
		if !ok {
			// Its earlier uses may be older than the current window.
			next.upTo = s.UpTo
		}
		p = next
		m.peers[from] = p
	}
	p.lastStatementAt = now
	if s.Heard.Incarnation == m.options.Incarnation {
		p.acknowledged = max(p.acknowledged, s.Heard.Sequence)
	}
	for _, u := range s.Uses {
		if b, ok := m.buckets[u.Account]; ok && u.Sequence > p.upTo.Sequence {
			b.level -= u.Tokens
		}
	}
	p.upTo.Sequence = max(p.upTo.Sequence, s.UpTo.Sequence)
}
