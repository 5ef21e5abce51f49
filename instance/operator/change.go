package operator

import (
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// Change is a command as an operator gives it. It may leave out values, which
// are filled in from the configuration that it changes.
type Change interface {
	// resolve makes the complete command for a snapshot.
	resolve(s *config.Snapshot) (config.Command, error)
}

// Direct is a change that is complete in itself.
type Direct struct {
	Command config.Command
}

func (d Direct) resolve(*config.Snapshot) (config.Command, error) {
	return d.Command, nil
}

// GrantKey makes a new key for a client account.
type GrantKey struct {
	Account contract.AccountID
	Label   string
}

// KeyBytes is the size of a key's random part.
const KeyBytes = 32

// keyPrefix marks keys, so that one in the wrong place is noticed.
const keyPrefix = "tw_"

// newKey makes a key. It is shown once and kept nowhere.
func newKey() string {
	random := make([]byte, KeyBytes)
	// crypto/rand.Read never fails: it ends the process if it cannot read.
	_, _ = rand.Read(random)
	return fmt.Sprintf("%s%x", keyPrefix, random)
}

// command makes the command that grants a key.
func (g GrantKey) command(key string) config.Command {
	return config.GrantKey{Hash: contract.HashKey(key), Account: g.Account, Label: g.Label}
}

// resolve grants a key that nobody learns; Service makes the key before.
func (g GrantKey) resolve(*config.Snapshot) (config.Command, error) {
	return g.command(newKey()), nil
}

// KeyVerb says what is to be done with a key.
type KeyVerb uint8

// What can be done with a key.
const (
	// Withdraw stops a key for good.
	Withdraw KeyVerb = iota + 1
	// Delete forgets a withdrawn key.
	Delete
)

// ChangeKey withdraws or deletes the key whose hash starts with Prefix.
type ChangeKey struct {
	Verb   KeyVerb
	Prefix string
}

// MinHashPrefix is the least number of hexadecimal digits that name a key.
const MinHashPrefix = 8

// AmbiguousError means that several keys' hashes start with the prefix.
type AmbiguousError struct {
	Prefix string
	Count  int
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("%d keys start with %s: give more digits", e.Count, e.Prefix)
}

func (c ChangeKey) resolve(s *config.Snapshot) (config.Command, error) {
	prefix := strings.ToLower(c.Prefix)
	var found []contract.KeyHash
	for hash := range s.Keys {
		if strings.HasPrefix(fmt.Sprintf("%x", hash[:]), prefix) {
			found = append(found, hash)
		}
	}
	switch {
	case len(found) == 0:
		return nil, &config.NotFoundError{Kind: config.KindKey, Name: c.Prefix}
	case len(found) > 1:
		return nil, &AmbiguousError{Prefix: c.Prefix, Count: len(found)}
	case c.Verb == Withdraw:
		return config.WithdrawKey{Hash: found[0]}, nil
	default:
		return config.DeleteKey{Hash: found[0]}, nil
	}
}
