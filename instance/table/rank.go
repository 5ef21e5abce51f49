// Package table provides the shared tables that workers operate on and defines
// their lock order. Each table has a rank; a worker takes locks in ascending order
// of rank, and within a striped table in ascending order of stripe. All ranks are
// defined in rank.go. A build with the tag lockcheck panics on a violation of the
// order.
package table

import "fmt"

// Rank is the position of a table in the lock order. Lower ranks are taken first.
type Rank int

// The ranks of all shared tables, in lock order.
const (
	// RankConfig guards the current configuration.
	RankConfig Rank = iota + 1
	// RankMembers guards the known state of other instances and zones.
	RankMembers
	// RankRates guards the token buckets and quotas of client accounts.
	RankRates
	// RankQueue guards the queues of requests that wait for capacity.
	RankQueue
	// RankRequests guards the running requests of an entry or a gateway.
	RankRequests
	// RankClaims guards an entry's claims on requests that must not be repeated,
	// and a sidecar's record of such attempts.
	RankClaims
	// RankBoard guards the state of upstreams as an entry or a gateway sees it.
	RankBoard
	// RankDemand guards what is known of the cost of requests to engines.
	RankDemand
	// RankQuarantine guards fingerprints of requests that crash upstreams.
	RankQuarantine
	// RankLedger guards the leases that a sidecar has granted on its upstream.
	RankLedger
	// RankCalls guards the running calls of a sidecar.
	RankCalls
	// RankOrders guards the accepted orders of a sidecar to its upstream, and a
	// gateway's state of the role orders.
	RankOrders
	// RankOutbox guards the output that a sidecar buffers for each entry, and an
	// entry's polls for it.
	RankOutbox
	// RankStats guards counters, histograms and retry budgets.
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
	RankDemand:     "demand",
	RankQuarantine: "quarantine",
	RankLedger:     "ledger",
	RankCalls:      "calls",
	RankOrders:     "orders",
	RankOutbox:     "outbox",
	RankStats:      "stats",
}

// String returns the name used in lock order panics.
func (r Rank) String() string {
	if name, ok := rankNames[r]; ok {
		return name
	}
	return fmt.Sprintf("rank %d", int(r))
}
