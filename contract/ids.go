// Package contract defines the types that all parts share: identifiers, client
// accounts, keys, routes, rates, requests and their outcomes. It also defines the
// interfaces between front ends and the instances that serve their requests.
// Encoding and transport are left to the link packages.
//
// An instance is one process of the fleet. Entries and gateways accept requests from
// callers: an entry sends them to the sidecar beside an upstream, a gateway to the
// upstream itself.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strconv"
)

// AccountID identifies a client account.
type AccountID string

// RouteName identifies a route.
type RouteName string

// ModelName identifies a model, adapter included.
type ModelName string

// Tokens counts prompt and output tokens.
type Tokens int64

// Revision numbers accepted configurations; a higher revision replaces a lower
// one.
type Revision uint64

// RequestID identifies a request. An entry makes it from its instance name, its
// incarnation and a sequence number, so that it is unique in the fleet and never
// reused. In a Message, it is the identifier that the caller sent.
type RequestID string

// Attempt numbers the attempts of one request, starting at 1.
type Attempt uint32

// CallID identifies one attempt to run a request on an upstream; answers carry it.
type CallID struct {
	Request RequestID
	Attempt Attempt
}

// String returns "request/attempt", as written in logs.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%d", c.Request, c.Attempt)
}

// Fingerprint is a hash of client account, route and content of a request.
// Repeats of the same request have the same fingerprint.
type Fingerprint uint64

// PartID identifies a part of a prompt. Parts with the same ID have the same content.
type PartID uint64

// String returns the ID in hex, as callers send it.
func (p PartID) String() string {
	return strconv.FormatUint(uint64(p), 16)
}

// MarshalText writes the ID as String does, in logs too.
func (p PartID) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText is the inverse of MarshalText.
func (p *PartID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*p = PartID(n)
	return err
}

// KeyHash is the SHA-256 of a caller's key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the SHA-256 of a caller's key.
func HashKey(key string) KeyHash {
	return KeyHash(sha256.Sum256([]byte(key)))
}

// Equal compares in constant time, so that timing does not reveal a hash.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}

// Short returns the first four bytes in hex: enough for an operator to
// distinguish keys, too little to guess one.
func (h KeyHash) Short() string {
	return fmt.Sprintf("%x", h[:4])
}
