// Package contract holds what the system owes to whom: client accounts, keys,
// routes, rates and bursts, requests and their outcomes, and the configuration
// revision that all of these belong to. It knows no encoding and no transport.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
)

// AccountID names a client account.
type AccountID string

// RouteName names a route.
type RouteName string

// ModelName names a model, adapter included.
type ModelName string

// Tokens counts prompt and output tokens.
type Tokens int64

// Revision numbers accepted configurations; a higher one replaces a lower one.
type Revision uint64

// RequestID is unique across the fleet and for ever: it is made from the entry's
// name, its incarnation and a sequence number.
type RequestID string

// Attempt numbers the tries of one request, from 1.
type Attempt uint32

// CallID names one attempt of one request. Answers are matched by it.
type CallID struct {
	Request RequestID
	Attempt Attempt
}

// String gives the form used in logs.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%d", c.Request, c.Attempt)
}

// Fingerprint is a hash of client account, route and body. Repeats of the same
// request have the same fingerprint.
type Fingerprint uint64

// KeyHash is the SHA-256 of a caller's key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey hashes a caller's key.
func HashKey(key string) KeyHash {
	return KeyHash(sha256.Sum256([]byte(key)))
}

// Equal compares in constant time.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}

// Short gives the first four bytes in hex, enough for an operator to tell keys
// apart and useless for guessing one.
func (h KeyHash) Short() string {
	return fmt.Sprintf("%x", h[:4])
}
