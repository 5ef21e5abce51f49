package rate

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// SingleOwner is a baseline: one entry owns all tokens of an account under a
// lease from the platform's table, and the others ask it for each request. It is
// exact, and stops an account when its owner is lost or the lease can't be
// renewed.
type SingleOwner struct {
	self     instance.Identity
	revision contract.Revision
	limits   map[contract.AccountID]contract.ClientAccount
	owners   map[contract.AccountID]owned
	waiting  []ownerTicket
	seq      uint64
}

// owned is one account's owner and, at the owner, its tokens.
type owned struct {
	owner  instance.Name
	until  time.Time
	bucket *bucket
}

type ownerTicket struct {
	id      contract.RequestID
	account contract.AccountID
	cost    contract.Tokens
	until   time.Time
	ask     uint64
}

// NewSingleOwner returns an entry's part; it grants nothing before SetOwner.
func NewSingleOwner(self instance.Identity) *SingleOwner {
	return &SingleOwner{self: self, owners: make(map[contract.AccountID]owned)}
}

// SetOwner tells who leased an account and until when by this entry's clock. The
// lease is obtained outside, in the platform's table. A new owner starts with no
// tokens.
func (s *SingleOwner) SetOwner(now time.Time, account contract.AccountID, owner instance.Name, until time.Time) {
	o := s.owners[account]
	kept := o.owner == owner && now.Before(o.until)
	o.owner, o.until = owner, until
	switch {
	case owner != s.self.Name:
		o.bucket = nil
	case !kept || o.bucket == nil:
		o.bucket = &bucket{at: now}
	}
	s.owners[account] = o
}

// SetContracts implements Policy.
func (s *SingleOwner) SetContracts(_ time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount) {
	if s.limits == nil || rev > s.revision {
		s.revision, s.limits = rev, accounts
	}
}

// SetMembers implements Policy.
func (s *SingleOwner) SetMembers(time.Time, []instance.Identity) {}

// Admit implements Policy.
func (s *SingleOwner) Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, patience time.Duration) Verdict {
	limit, ok := s.limits[account]
	if !ok || cost > limit.Rate.Burst {
		return Verdict{State: Refused}
	}
	if got, _ := s.take(now, account, cost); got {
		return Verdict{State: Granted}
	}
	w := ownerTicket{id: id, account: account, cost: cost, until: now.Add(max(patience, minPatience))}
	var out []Outgoing
	if o := s.owners[account]; o.owner != s.self.Name && now.Before(o.until) {
		s.seq++
		w.ask = s.seq
		out = []Outgoing{s.askOwner(o.owner, w)}
	}
	s.waiting = append(s.waiting, w)
	return Verdict{State: Waiting, Out: out}
}

func (s *SingleOwner) askOwner(owner instance.Name, w ownerTicket) Outgoing {
	return Outgoing{To: owner, Message: Message{Asks: []Ask{{ID: w.ask, Account: w.account, Need: float64(w.cost)}}}}
}

// take spends from an account that is owned here; after is how long it lacks.
func (s *SingleOwner) take(now time.Time, account contract.AccountID, cost contract.Tokens) (got bool, after time.Duration) {
	o := s.owners[account]
	if o.bucket == nil || !now.Before(o.until) {
		return false, minPatience
	}
	limit := s.limits[account].Rate
	o.bucket.accrue(now, float64(limit.PerSecond), float64(limit.Burst))
	if o.bucket.tokens < float64(cost) {
		return false, until(cost, o.bucket.tokens, float64(limit.PerSecond))
	}
	o.bucket.tokens -= float64(cost)
	return true, 0
}

// Abandon implements Policy.
func (s *SingleOwner) Abandon(_ time.Time, id contract.RequestID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w ownerTicket) bool { return w.id == id })
}

// Settle implements Policy. What was charged elsewhere is lost: the baseline
// settles only at the owner.
func (s *SingleOwner) Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens) {
	o := s.owners[account]
	if o.bucket != nil && now.Before(o.until) {
		o.bucket.give(float64(charged-used), float64(s.limits[account].Rate.Burst))
	}
}

// Handle implements Policy.
func (s *SingleOwner) Handle(now time.Time, from instance.Identity, m Message) Result {
	var result Result
	var answer Message
	for _, ask := range m.Asks {
		gift := Gift{Ask: ask.ID, Account: ask.Account}
		if got, _ := s.take(now, ask.Account, contract.Tokens(ask.Need)); got {
			gift.Amount = ask.Need
		}
		answer.Gifts = append(answer.Gifts, gift)
	}
	for _, g := range m.Gifts {
		s.waiting = slices.DeleteFunc(s.waiting, func(w ownerTicket) bool {
			mine := w.ask != 0 && w.ask == g.Ask && g.Amount > 0
			if mine {
				result.Decided = append(result.Decided, Decided{Ticket: w.id, Granted: true, Account: w.account, Cost: w.cost})
			}
			return mine
		})
	}
	if len(answer.Gifts) > 0 {
		result.Out = []Outgoing{{To: from.Name, Message: answer}}
	}
	return result
}

// Tick implements Policy: it asks again for what still waits.
func (s *SingleOwner) Tick(now time.Time) Result {
	var result Result
	s.waiting = slices.DeleteFunc(s.waiting, func(w ownerTicket) bool {
		got, after := s.take(now, w.account, w.cost)
		if got || !now.Before(w.until) {
			result.Decided = append(result.Decided, Decided{Ticket: w.id, Granted: got, Account: w.account, Cost: w.cost, After: after})
			return true
		}
		return false
	})
	for i := range s.waiting {
		w := &s.waiting[i]
		o := s.owners[w.account]
		if o.owner != s.self.Name && now.Before(o.until) {
			s.seq++
			w.ask = s.seq
			result.Out = append(result.Out, s.askOwner(o.owner, *w))
		}
	}
	return result
}

// HandBack implements Policy; the lease is handed back in the table.
func (s *SingleOwner) HandBack(time.Time) []Outgoing {
	return nil
}
