package config

import (
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Limits of a client account's values.
const (
	// MaxTokens bounds rates, bursts and call costs, in tokens.
	MaxTokens contract.Tokens = 1_000_000_000_000
	// MaxWeight bounds a client account's weight.
	MaxWeight = 1000
)

// CreateAccount adds a client account.
type CreateAccount struct {
	Account contract.ClientAccount
}

// SetAccount replaces all values of an existing client account.
type SetAccount struct {
	Account contract.ClientAccount
}

// DeleteAccount removes a client account and its withdrawn keys. It is refused
// while the account has a key that is not withdrawn.
type DeleteAccount struct {
	ID contract.AccountID
}

// String implements Command.
func (c CreateAccount) String() string { return "create " + formatAccount(c.Account) }

// String implements Command.
func (c SetAccount) String() string { return "set " + formatAccount(c.Account) }

// String implements Command.
func (c DeleteAccount) String() string { return fmt.Sprintf("delete account %s", c.ID) }

func formatAccount(a contract.ClientAccount) string {
	return fmt.Sprintf("account %s rate %d burst %d weight %d", a.ID, a.Rate.PerSecond, a.Rate.Burst, a.Weight)
}

func (c CreateAccount) apply(s *Snapshot) error {
	if _, ok := s.Accounts[c.Account.ID]; ok {
		return &ExistsError{KindAccount, string(c.Account.ID)}
	}
	return putAccount(s, c.Account)
}

func (c SetAccount) apply(s *Snapshot) error {
	if _, ok := s.Accounts[c.Account.ID]; !ok {
		return &NotFoundError{KindAccount, string(c.Account.ID)}
	}
	return putAccount(s, c.Account)
}

func (c DeleteAccount) apply(s *Snapshot) error {
	if _, ok := s.Accounts[c.ID]; !ok {
		return &NotFoundError{KindAccount, string(c.ID)}
	}
	for hash, key := range s.Keys {
		if key.Account != c.ID {
			continue
		}
		if !key.Withdrawn {
			return &StateError{KindAccount, string(c.ID), "in use", "withdraw its keys first"}
		}
		delete(s.Keys, hash)
	}
	delete(s.Accounts, c.ID)
	return nil
}

// putAccount validates a and stores it in s.
func putAccount(s *Snapshot, a contract.ClientAccount) error {
	name := string(a.ID)
	if err := checkName(KindAccount, name, "name", name); err != nil {
		return err
	}
	if a.Rate.PerSecond < 1 || a.Rate.PerSecond > MaxTokens {
		return &InvalidError{KindAccount, name, "rate", fmt.Sprintf("must be 1 to %d tokens a second", MaxTokens)}
	}
	if a.Rate.Burst < 1 || a.Rate.Burst > MaxTokens {
		return &InvalidError{KindAccount, name, "burst", fmt.Sprintf("must be 1 to %d tokens", MaxTokens)}
	}
	if a.Weight < 1 || a.Weight > MaxWeight {
		return &InvalidError{KindAccount, name, "weight", fmt.Sprintf("must be 1 to %d", MaxWeight)}
	}
	s.Accounts[a.ID] = a
	return nil
}
