// Package table holds the shared tables that workers operate on. Each table has
// a rank; a worker takes locks in rising order of rank, and within one striped
// table in rising order of stripe. The ranks stand in this file and nowhere
// else. Built with the tag lockcheck, a wrong order panics.
package table

import "fmt"

// Rank orders the locks of shared tables. Lower ranks are taken first.
type Rank int

// The ranks of all shared tables, in the order in which they may be taken.
const (
	// RankConfig guards the configuration in force.
	RankConfig Rank = iota + 1
	// RankMembers guards what is known of other instances and zones.
	RankMembers
	// RankRates guards the client accounts' tokens.
	RankRates
	// RankQueue guards requests waiting for capacity.
	RankQueue
	// RankRequests guards an entry's running requests.
	RankRequests
	// RankClaims guards requests that wait on a claim.
	RankClaims
	// RankBoard guards what an entry knows of upstreams.
	RankBoard
	// RankQuarantine guards fingerprints of requests that crash upstreams.
	RankQuarantine
	// RankLedger guards a sidecar's grants.
	RankLedger
	// RankCalls guards a sidecar's running calls and their output.
	RankCalls
	// RankOrders guards orders to an upstream.
	RankOrders
	// RankOutbox guards messages waiting for a peer.
	RankOutbox
	// RankStats guards counters and histograms.
	RankStats
)

var rankNames = map[Rank]string{
	RankConfig:     "config",
	RankMembers:    "members",
	RankRates:      "rates",
	RankQueue:      "queue",
	RankRequests:   "requests",
	RankClaims:     "claims",
	RankBoard:      "board",
	RankQuarantine: "quarantine",
	RankLedger:     "ledger",
	RankCalls:      "calls",
	RankOrders:     "orders",
	RankOutbox:     "outbox",
	RankStats:      "stats",
}

// String gives the table's name.
func (r Rank) String() string {
	if name, ok := rankNames[r]; ok {
		return name
	}
	return fmt.Sprintf("rank %d", int(r))
}
