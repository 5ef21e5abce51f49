// Package peer is the interface between the system's own processes: typed
// messages and the calls that carry them. Every message has a Header, so that
// a configuration revision and a quarantined fingerprint spread with whatever
// is sent anyway. The encoding is in the sub-package rpc.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// Header opens each message and each reply.
type Header struct {
	From instance.Identity
	// Revision is the highest configuration revision that the sender has.
	Revision contract.Revision
	// Quarantine tells of requests that crash upstreams.
	Quarantine []quarantine.Note
	// ZonesHeard are the availability zones from which the sender heard
	// lately, with the age of the news.
	ZonesHeard []ZoneNews
}

// Head gives the header of the message that it opens.
func (h *Header) Head() *Header {
	return h
}

// Message is any message or reply.
type Message interface {
	// Head gives the message's header.
	Head() *Header
}

// ZoneNews says how long ago an availability zone was heard from.
type ZoneNews struct {
	Zone string
	Age  time.Duration
}

// Errors of this layer. Others wrap one of them.
var (
	// ErrNotSent means that the peer got no byte of the message.
	ErrNotSent = errors.New("peer: not sent")
	// ErrNoAnswer means that the message was sent and no answer came.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrRefused means that the peer answered that it cannot do it.
	ErrRefused = errors.New("peer: refused")
)

// CallError says which call of which peer failed.
type CallError struct {
	Peer   string
	Method string
	// Err wraps ErrNotSent, ErrNoAnswer or ErrRefused.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s of %s: %v", e.Method, e.Peer, e.Err)
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}
