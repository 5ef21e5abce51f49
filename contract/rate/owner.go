package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// SingleOwner is a baseline policy: one entry owns all tokens of an account
// under a lease from the platform's table, and the others ask it for each
// request. It is exact, but an account stops when its owner is lost or the
// lease can't be renewed.
type SingleOwner struct {
	self           instance.Identity
	revision       contract.Revision
	clientAccounts map[contract.AccountID]contract.ClientAccount
	owners         map[contract.AccountID]ownership
	waiting        []ownerWaiter
	seq            uint64
}

// ownership is one account's owner and, at the owner, its bucket.
type ownership struct {
	owner  instance.Name
	until  time.Time
	bucket *bucket
}

type ownerWaiter struct {
	id      contract.RequestID
	account contract.AccountID
	cost    contract.Tokens
	until   time.Time
	ask     uint64
}

// NewSingleOwner returns the policy of one entry; it grants nothing before
// SetOwner.
func NewSingleOwner(self instance.Identity) *SingleOwner {
	return &SingleOwner{self: self, owners: make(map[contract.AccountID]ownership)}
}

// SetOwner sets an account's owner and, by this entry's clock, the end of its
// lease. The caller obtains the lease from the platform's table. A new owner
// starts with no tokens.
func (s *SingleOwner) SetOwner(now time.Time, account contract.AccountID, owner instance.Name, until time.Time) {
	o := s.owners[account]
	kept := o.owner == owner && now.Before(o.until)
	o.owner, o.until = owner, until
	switch {
	case owner != s.self.Name:
		o.bucket = nil
	case !kept || o.bucket == nil:
		o.bucket = &bucket{updatedAt: now}
	}
	s.owners[account] = o
}

// SetAccounts implements Policy.
func (s *SingleOwner) SetAccounts(_ time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount) {
	if s.clientAccounts == nil || rev > s.revision {
		s.revision, s.clientAccounts = rev, accounts
		maps.DeleteFunc(s.owners, func(id contract.AccountID, _ ownership) bool {
			_, ok := accounts[id]
			return !ok
		})
	}
}

// SetMembers implements Policy.
func (s *SingleOwner) SetMembers(time.Time, []instance.Identity) {}

// Admit implements Policy.
func (s *SingleOwner) Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, maxWait time.Duration) Verdict {
	clientAccount, ok := s.clientAccounts[account]
	if !ok || cost > clientAccount.Rate.Burst {
		return Verdict{State: Refused}
	}
	if got, _ := s.take(now, account, cost); got {
		return Verdict{State: Granted}
	}
	w := ownerWaiter{id: id, account: account, cost: cost, until: now.Add(max(maxWait, minWait))}
	var out []Outgoing
	if o := s.owners[account]; o.owner != s.self.Name && now.Before(o.until) {
		s.seq++
		w.ask = s.seq
		out = []Outgoing{s.askOwner(o.owner, w)}
	}
	s.waiting = append(s.waiting, w)
	return Verdict{State: Waiting, Messages: out}
}

func (s *SingleOwner) askOwner(owner instance.Name, w ownerWaiter) Outgoing {
	return Outgoing{To: owner, Message: Message{Asks: []Ask{{ID: w.ask, Account: w.account, Need: float64(w.cost)}}}}
}

// take charges an account that is owned here. If it can't, after is the time
// until it may; without a valid lease that is minWait.
func (s *SingleOwner) take(now time.Time, account contract.AccountID, cost contract.Tokens) (got bool, after time.Duration) {
	o := s.owners[account]
	if o.bucket == nil || !now.Before(o.until) {
		return false, minWait
	}
	accountRate := s.clientAccounts[account].Rate
	o.bucket.refill(now, float64(accountRate.PerSecond), float64(accountRate.Burst))
	if o.bucket.tokens < float64(cost) {
		return false, refillTime(cost, o.bucket.tokens, float64(accountRate.PerSecond))
	}
	o.bucket.tokens -= float64(cost)
	return true, 0
}

// CancelWait implements Policy.
func (s *SingleOwner) CancelWait(_ time.Time, id contract.RequestID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w ownerWaiter) bool { return w.id == id })
}

// Settle implements Policy. It returns tokens only at the owner; what was
// charged at another entry is lost.
func (s *SingleOwner) Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens) {
	o := s.owners[account]
	if o.bucket != nil && now.Before(o.until) {
		o.bucket.add(float64(charged-used), float64(s.clientAccounts[account].Rate.Burst))
	}
}

// HandleMessage implements Policy.
func (s *SingleOwner) HandleMessage(now time.Time, from instance.Identity, m Message) Result {
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
		s.waiting = slices.DeleteFunc(s.waiting, func(w ownerWaiter) bool {
			granted := w.ask != 0 && w.ask == g.Ask && g.Amount > 0
			if granted {
				result.Decisions = append(result.Decisions, Decision{RequestID: w.id, Granted: true, Account: w.account, Cost: w.cost})
			}
			return granted
		})
	}
	if len(answer.Gifts) > 0 {
		result.Messages = []Outgoing{{To: from.Name, Message: answer}}
	}
	return result
}

// Tick implements Policy. It repeats the asks of the requests that still wait.
func (s *SingleOwner) Tick(now time.Time) Result {
	var result Result
	s.waiting = slices.DeleteFunc(s.waiting, func(w ownerWaiter) bool {
		got, after := s.take(now, w.account, w.cost)
		if got || !now.Before(w.until) {
			result.Decisions = append(result.Decisions, Decision{RequestID: w.id, Granted: got, Account: w.account, Cost: w.cost, RetryAfter: after})
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
			result.Messages = append(result.Messages, s.askOwner(o.owner, *w))
		}
	}
	return result
}

// PrepareShutdown implements Policy. The caller releases the lease in the table.
func (s *SingleOwner) PrepareShutdown(time.Time) []Outgoing {
	return nil
}
