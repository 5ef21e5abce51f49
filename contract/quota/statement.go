package quota

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// keepUses is how long a use is told to peers that have not acknowledged it; a
// process that was silent for longer is forgotten and starts anew.
const keepUses = 20 * time.Second

// Use is what a process admitted for an account, less what it gave back.
type Use struct {
	// Sequence numbers the uses of an incarnation, from one; several may share a
	// number.
	Sequence uint64
	Account  contract.AccountID
	// Tokens may be negative.
	Tokens float64
}

// Mark says up to which use an incarnation's statements were taken in.
type Mark struct {
	Incarnation instance.Incarnation
	Sequence    uint64
}

// Statement is what one process tells another: its uses that the other has not
// acknowledged, so that a statement costs what changed and not what there is.
type Statement struct {
	// UpTo is the last use that the statement covers.
	UpTo Mark
	Uses []Use
	// Heard acknowledges the receiver's own uses.
	Heard Mark
}

// ledger is the uses of this process, oldest first.
type ledger struct {
	// sequence numbers the uses that are being added; told says that a statement
	// covers it, so that the next use needs another number.
	sequence uint64
	told     bool
	uses     []entry
}

// entry is a use and when it happened.
type entry struct {
	Use
	at time.Time
}

func (l *ledger) add(now time.Time, account contract.AccountID, tokens float64) {
	if l.told || l.sequence == 0 {
		l.sequence++
		l.told = false
	}
	for i := len(l.uses) - 1; i >= 0 && l.uses[i].Sequence == l.sequence; i-- {
		if l.uses[i].Account == account {
			l.uses[i].Tokens += tokens
			return
		}
	}
	l.uses = append(l.uses, entry{Use: Use{Sequence: l.sequence, Account: account, Tokens: tokens}, at: now})
}

// since gives the uses after a sequence number and forgets old ones.
func (l *ledger) since(now time.Time, sequence uint64) (uses []Use) {
	old := 0
	for old < len(l.uses) && now.Sub(l.uses[old].at) > keepUses {
		old++
	}
	l.uses = l.uses[old:]
	for _, e := range l.uses {
		if e.Sequence > sequence {
			uses = append(uses, e.Use)
		}
	}
	l.told = true
	return uses
}

// Own states to a peer what it has not acknowledged.
func (m *Meter) Own(now time.Time, to Peer) Statement {
	var s Statement
	var acknowledged uint64
	if p, ok := m.peers[to]; ok {
		s.Heard, acknowledged = p.upTo, p.acknowledged
	}
	s.Uses = m.own.since(now, acknowledged)
	s.UpTo = Mark{Incarnation: m.options.Incarnation, Sequence: m.own.sequence}
	return s
}

// Heard takes in what a peer states: uses that were not taken in yet come out of
// the accounts' buckets. Statements may be lost, repeated and overtake each other.
func (m *Meter) Heard(now time.Time, from Peer, s Statement) {
	p, ok := m.peers[from]
	if ok && s.UpTo.Incarnation < p.upTo.Incarnation {
		return
	}
	if !ok || s.UpTo.Incarnation > p.upTo.Incarnation {
		next := &peer{upTo: Mark{Incarnation: s.UpTo.Incarnation}}
		if !ok {
			// What it used before is not known to fall into this window.
			next.upTo = s.UpTo
		}
		p = next
		m.peers[from] = p
	}
	p.heard = now
	if s.Heard.Incarnation == m.options.Incarnation {
		p.acknowledged = max(p.acknowledged, s.Heard.Sequence)
	}
	for _, u := range s.Uses {
		if b, ok := m.local[u.Account]; ok && u.Sequence > p.upTo.Sequence {
			b.level -= u.Tokens
		}
	}
	p.upTo.Sequence = max(p.upTo.Sequence, s.UpTo.Sequence)
}
