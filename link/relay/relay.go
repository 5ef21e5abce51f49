// Package relay is the interface between gateways: what each tells the others
// at short intervals, so that a process that the registry turns away still hears
// of new configurations, and accounts stay within their quotas across the fleet.
package relay

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// Peer is one gateway and where it is reached.
type Peer struct {
	Name        instance.Name
	Incarnation instance.Incarnation
	Addr        string
}

// Turn is an engine that was ordered to change its role and takes no work for a
// while.
type Turn struct {
	ID  upstream.ID
	For time.Duration
}

// Message is what one gateway tells another.
type Message struct {
	From Peer
	// Config is the version of the configuration in force there.
	Config uint64
	// List is the registry's version up to which its list of upstreams is known.
	List uint64
	// Usage is what it admitted and the receiver has not acknowledged.
	Usage quota.Statement
	// Suspects are requests that crash upstreams.
	Suspects []quarantine.Note
	// Turns are engines that change their role.
	Turns []Turn
	// Known are other gateways.
	Known []Peer
	// Away says that the registry does not answer the sender, so that it wants
	// the list of upstreams.
	Away bool
}

// Reply answers a message, with what the sender lacks.
type Reply struct {
	Message
	// Newer is a later configuration than the sender's, if there is one.
	Newer *directory.Snapshot
	// Upstreams is a later list than the sender's, if it is away and there is one.
	Upstreams *registry.Upstreams
}

// Server takes messages.
type Server interface {
	Exchange(ctx context.Context, m Message) (Reply, error)
}

// Dialer opens calls to other gateways.
type Dialer interface {
	Exchange(ctx context.Context, addr string, m Message) (Reply, error)
}
