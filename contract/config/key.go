package config

import (
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// GrantKey adds a key to a client account.
type GrantKey struct {
	Hash    contract.KeyHash
	Account contract.AccountID
	Label   string
}

// WithdrawKey revokes a key permanently. The key stays in the configuration until
// DeleteKey.
type WithdrawKey struct {
	Hash contract.KeyHash
}

// DeleteKey removes a withdrawn key.
type DeleteKey struct {
	Hash contract.KeyHash
}

// String implements Command.
func (c GrantKey) String() string {
	return fmt.Sprintf("grant key to account %s label %q hash %s", c.Account, c.Label, c.Hash.Short())
}

// String implements Command.
func (c WithdrawKey) String() string { return "withdraw key " + c.Hash.Short() }

// String implements Command.
func (c DeleteKey) String() string { return "delete key " + c.Hash.Short() }

func (c GrantKey) apply(s *Snapshot) error {
	name := c.Hash.Short()
	if _, ok := s.Accounts[c.Account]; !ok {
		return &NotFoundError{KindAccount, string(c.Account)}
	}
	if _, ok := s.Keys[c.Hash]; ok {
		return &ExistsError{KindKey, name}
	}
	if len(c.Label) > MaxNameLength {
		return &InvalidError{KindKey, name, "label", fmt.Sprintf("must be at most %d bytes long", MaxNameLength)}
	}
	s.Keys[c.Hash] = contract.Key{Hash: c.Hash, Account: c.Account, Label: c.Label}
	return nil
}

func (c WithdrawKey) apply(s *Snapshot) error {
	key, ok := s.Keys[c.Hash]
	if !ok {
		return &NotFoundError{KindKey, c.Hash.Short()}
	}
	if key.Withdrawn {
		return &StateError{KindKey, c.Hash.Short(), "withdrawn", "nothing is left to do"}
	}
	key.Withdrawn = true
	s.Keys[c.Hash] = key
	return nil
}

func (c DeleteKey) apply(s *Snapshot) error {
	key, ok := s.Keys[c.Hash]
	if !ok {
		return &NotFoundError{KindKey, c.Hash.Short()}
	}
	if !key.Withdrawn {
		return &StateError{KindKey, c.Hash.Short(), "not withdrawn", "withdraw it first"}
	}
	delete(s.Keys, c.Hash)
	return nil
}

func formatKey(k contract.Key) string {
	state := "working"
	if k.Withdrawn {
		state = "withdrawn"
	}
	return fmt.Sprintf("key %s account %s label %q %s", k.Hash.Short(), k.Account, k.Label, state)
}
