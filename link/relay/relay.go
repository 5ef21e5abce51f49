// Package relay defines the interface between gateways: the messages that they
// exchange at short intervals. They show a gateway that cannot read the registry from
// whom to fetch new configurations and lists of upstreams, and keep accounts within
// their quotas across the fleet. The encoding is in the sub-package relayrpc.
package relay

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/notice"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Peer is one gateway and the address of its peer listener.
type Peer struct {
	Name        instance.Name
	Incarnation instance.Incarnation
	Addr        string
}

// Message carries the state that one gateway sends to another.
type Message struct {
	From Peer
	// Config is the version of the configuration in force at the sender; 0 for none.
	Config uint64
	// List is the registry version up to which the sender knows the list of
	// upstreams.
	List uint64
	// Usage is the quota usage that the sender admitted and the receiver has not
	// acknowledged.
	Usage quota.Statement
	// Suspects holds the sender's records of requests that crash upstreams, both
	// suspects and quarantined ones.
	Suspects []quarantine.Note
	// PromptParts tells which parts of prompts crash engines.
	PromptParts quarantine.PartNotes
	// Demand is what the sender itself saw of the requests to each service's engines.
	Demand map[directory.ServiceName]demand.Tally
	// Shortage counts the requests to each service's engines that found no room soon enough
	// at the sender.
	Shortage map[directory.ServiceName]shortage.Tally
	// Traffic is what the sender sends to each service; nil from an earlier version.
	Traffic *traffic.Statement
	// RoleOrders lists the orders that engines are carrying out or may still carry out.
	RoleOrders []roster.RoleOrder
	// Leaving lists upstreams that said that they leave.
	Leaving []notice.Note
	// Known lists some of the gateways that the sender considers alive.
	Known []Peer
	// Evacuations is the stamp of the evacuated zones known at the sender.
	Evacuations zone.EvacuationStamp
	// Away means that the sender cannot read the registry.
	Away bool
	// Steady means that the sender reads the registry and knows of no outage in the last
	// seconds, neither its own nor one that most of its peers report. What its list lacks
	// has left; no registration in it can have lapsed.
	Steady bool
}

// Reply carries the receiver's own message and the evacuated zones, if the sender of the
// request does not have them. The larger state is fetched.
type Reply struct {
	Message
	// Evacuated is the set of evacuated zones, if the request's Evacuations lacks it;
	// otherwise nil.
	Evacuated *zone.Evacuations
}

// Want names the state that a gateway fetches from another one.
type Want struct {
	// Config asks for a configuration newer than version ConfigAfter, List for the list of
	// upstreams if it is known beyond version ListAfter.
	Config, List           bool
	ConfigAfter, ListAfter uint64
}

// State is what a gateway knows. Its parts are nil if they were not wanted or are not newer.
type State struct {
	From Peer
	// Steady is that of Message.
	Steady    bool
	Config    *directory.Snapshot
	Upstreams *registry.Upstreams
}

// Server handles the messages of other gateways.
type Server interface {
	Exchange(ctx context.Context, m Message) (Reply, error)
	Fetch(ctx context.Context, w Want) (State, error)
}

// Dialer sends messages to other gateways.
type Dialer interface {
	Exchange(ctx context.Context, addr string, m Message) (Reply, error)
	// Fetch returns state that may be large. It reports to package progress while it arrives
	// and fails if the other gateway has too many fetches.
	Fetch(ctx context.Context, addr string, w Want) (State, error)
}
