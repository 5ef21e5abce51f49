package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Holding is the number of a client account's tokens that one entry holds.
type Holding struct {
	Account contract.AccountID
	// InHand can be spent here now; debt makes it negative.
	InHand contract.Tokens
	// Cap is the most that InHand reaches by refill.
	Cap contract.Tokens
	// Waiting is the number of requests that wait for tokens here.
	Waiting int
}

// Reporter is a policy that can report its holdings of the accounts in use.
type Reporter interface {
	Holdings(now time.Time) []Holding
}

// Holdings implements Reporter.
func (e *Escrow) Holdings(now time.Time) []Holding {
	holdings := make([]Holding, 0, len(e.activeAccounts))
	for _, a := range e.activeAccounts {
		e.refill(now, a)
		holdings = append(holdings, Holding{
			Account: a.id,
			InHand:  contract.Tokens(e.spendable(now, a)),
			Cap:     contract.Tokens(e.limit(now, a)),
			Waiting: len(a.waiters),
		})
	}
	return holdings
}

// Holdings implements Reporter.
func (f *FixedSplit) Holdings(now time.Time) []Holding {
	waiting := make(map[contract.AccountID]int)
	for _, t := range f.waiting {
		waiting[t.account]++
	}
	holdings := make([]Holding, 0, len(f.buckets))
	for account := range f.buckets {
		_, burst := f.share(account)
		holdings = append(holdings, Holding{
			Account: account,
			InHand:  contract.Tokens(f.bucket(now, account).tokens),
			Cap:     contract.Tokens(burst),
			Waiting: waiting[account],
		})
	}
	return holdings
}
