// Package peer defines the interface between entries and sidecars, and that between
// entries: the typed messages and the calls that carry them. Every message embeds a Header, so that
// configuration revisions and quarantined fingerprints spread with regular
// traffic. Instances implement and call it; the encoding is in the sub-package rpc.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// Header is embedded in each request and each reply.
type Header struct {
	From instance.Identity
	// Revision is the highest configuration revision that the sender has.
	Revision contract.Revision
	// Quarantine holds the sender's records of requests that crash upstreams.
	Quarantine []quarantine.Note
	// ZonesHeard holds the age of the last message from each availability zone
	// that reached the sender, directly or through the ZonesHeard of others. Only
	// heartbeats and their replies set it.
	ZonesHeard []ZoneNews
}

// Head implements Message for the types that embed a Header.
func (h *Header) Head() *Header {
	return h
}

// Message is any request or reply.
type Message interface {
	// Head returns a pointer to the embedded header; changes to it are sent.
	Head() *Header
}

// ZoneNews holds the time since the last message from an availability zone.
type ZoneNews struct {
	Zone string
	Age  time.Duration
}

// Errors of calls. Every other error of this layer wraps one of them.
var (
	// ErrNotSent means that the peer received no byte of the request.
	ErrNotSent = errors.New("peer: not sent")
	// ErrNoAnswer means that the request may have reached the peer and that no
	// reply was received.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrRefused means that the peer replied with an error.
	ErrRefused = errors.New("peer: refused")
)

// CallError is a failed call of one peer.
type CallError struct {
	// Peer is the peer's address.
	Peer   string
	Method string
	// Err wraps ErrNotSent, ErrNoAnswer or ErrRefused.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s on %s: %v", e.Method, e.Peer, e.Err)
}

// Unwrap returns the wrapped error, so that errors.Is finds its kind.
func (e *CallError) Unwrap() error {
	return e.Err
}
