package operator

import (
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// Change is a configuration change as an operator requests it. It may omit values,
// which are filled in from the configuration that it is applied to.
type Change interface {
	// resolve returns the complete command for this change to s. It does not
	// modify s.
	resolve(s *config.Snapshot) (config.Command, error)
}

// Resolve returns the complete command for a change to s, as Service applies it. The key of
// a GrantKey is discarded.
func Resolve(change Change, s *config.Snapshot) (config.Command, error) {
	return change.resolve(s)
}

// Direct is a Change that is applied as it is: its command is already complete and
// no values are filled in.
type Direct struct {
	Command config.Command
}

func (d Direct) resolve(*config.Snapshot) (config.Command, error) {
	return d.Command, nil
}

// GrantKey generates a new API key for a client account. Service returns the key
// in Outcome.GrantedKeys; the configuration holds only its hash.
type GrantKey struct {
	Account contract.AccountID
	Label   string
}

// KeyBytes is the number of random bytes in a key.
const KeyBytes = 32

// keyPrefix makes a key recognizable where it should not appear, such as in a log.
const keyPrefix = "tw_"

// newKey returns a new random key. It is shown to the operator once and never
// stored.
func newKey() string {
	random := make([]byte, KeyBytes)
	// crypto/rand.Read never returns an error: it crashes the process instead.
	_, _ = rand.Read(random)
	return fmt.Sprintf("%s%x", keyPrefix, random)
}

// command returns the command that grants the given key, by its hash.
func (g GrantKey) command(key string) config.Command {
	return config.GrantKey{Hash: contract.HashKey(key), Account: g.Account, Label: g.Label}
}

// resolve implements Change with a key that is discarded. Service does not call it:
// it generates the key itself, to return it to the operator.
func (g GrantKey) resolve(*config.Snapshot) (config.Command, error) {
	return g.command(newKey()), nil
}

// KeyOperation is an operation on an existing key.
type KeyOperation uint8

// Operations on keys.
const (
	// WithdrawKey permanently invalidates a key; the key stays listed.
	WithdrawKey KeyOperation = iota + 1
	// DeleteKey removes a withdrawn key from the configuration.
	DeleteKey
)

// ChangeKey withdraws or deletes the key whose hash in hexadecimal starts with
// Prefix, in either case. If several do, it fails with AmbiguousError.
type ChangeKey struct {
	// Verb is the operation on the key.
	Verb   KeyOperation
	Prefix string
}

// MinHashPrefix is the minimum number of hexadecimal digits that operators must
// give to identify a key.
const MinHashPrefix = 8

// AmbiguousError means that the hashes of several keys start with the prefix.
type AmbiguousError struct {
	Prefix string
	Count  int
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("%d key hashes start with %s: give more digits", e.Count, e.Prefix)
}

func (c ChangeKey) resolve(s *config.Snapshot) (config.Command, error) {
	prefix := strings.ToLower(c.Prefix)
	var matches []contract.KeyHash
	for hash := range s.Keys {
		if strings.HasPrefix(fmt.Sprintf("%x", hash[:]), prefix) {
			matches = append(matches, hash)
		}
	}
	switch {
	case len(matches) == 0:
		return nil, &config.NotFoundError{Kind: config.KindKey, Name: c.Prefix}
	case len(matches) > 1:
		return nil, &AmbiguousError{Prefix: c.Prefix, Count: len(matches)}
	case c.Verb == WithdrawKey:
		return config.WithdrawKey{Hash: matches[0]}, nil
	default:
		return config.DeleteKey{Hash: matches[0]}, nil
	}
}
