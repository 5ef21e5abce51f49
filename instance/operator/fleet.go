// Package operator implements the operations available to operators: queries about
// the configuration and the running fleet, and changes of the configuration. The
// operator front ends call it; the command language and the transport are left to
// them.
package operator

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Question is what one instance asks the others in order to run a Query: a Query
// selects rows for the operator, a Question selects the parts of each instance's
// Answer. Every Answer has an InstanceRow; each field requests one more part.
type Question struct {
	Requests bool
	Loads    bool
	Rates    bool
}

// Answer is the answer of one instance to a Question. Parts that were not requested
// are nil.
type Answer struct {
	Instance InstanceRow
	Requests []RequestRow
	Loads    []upstream.Load
	Rates    []RateRow
}

// InstanceRow describes a running process.
type InstanceRow struct {
	Name string
	// Kind is "entry" or "sidecar".
	Kind  string
	State string
	Place zone.Place
	// Revision is the configuration revision in force at the instance.
	Revision contract.Revision
	Started  time.Time
	// Running is the number of running requests of an entry, or of running
	// calls of a sidecar.
	Running int
}

// RequestRow describes a running request. Upstream and Zone are empty while no
// upstream is assigned to it.
type RequestRow struct {
	ID       contract.RequestID
	Account  contract.AccountID
	Route    contract.RouteName
	State    string
	Upstream upstream.ID
	Zone     zone.AvailabilityZone
	Entry    string
	Attempt  contract.Attempt
	Age      time.Duration
}

// RateRow describes the token bucket of a client account at one entry. Accounts
// without recent requests have no row.
type RateRow struct {
	Account contract.AccountID
	Entry   string
	// InHand is the number of tokens available now, negative after overspending;
	// Cap is the maximum that the refill reaches.
	InHand contract.Tokens
	Cap    contract.Tokens
	// Waiting is the number of requests that wait for tokens.
	Waiting int
}

// Fleet sends queries to all instances.
type Fleet interface {
	// QueryAll queries every instance that is expected to run. It returns the answers
	// received until ctx ends, and the instances that failed or did not answer.
	QueryAll(ctx context.Context, q Question) ([]Answer, []MissingInstance)
}

// Node is the configuration of the instance that runs the Service.
type Node interface {
	// Snapshot returns the configuration in force at this instance. Callers must
	// not modify it.
	Snapshot() *config.Snapshot
	// Offer puts a configuration read from the store in force at this instance,
	// unless it has that revision or a later one. The instance then announces the
	// revision to the others.
	Offer(loaded config.Loaded)
}

func requestsOf(answers []Answer) []RequestRow {
	var rows []RequestRow
	for _, a := range answers {
		rows = append(rows, a.Requests...)
	}
	return rows
}

func ratesOf(answers []Answer) []RateRow {
	var rows []RateRow
	for _, a := range answers {
		rows = append(rows, a.Rates...)
	}
	return rows
}

func instancesOf(answers []Answer) []InstanceRow {
	var rows []InstanceRow
	for _, a := range answers {
		rows = append(rows, a.Instance)
	}
	return rows
}

// loadsOf returns the most recent load report of each upstream.
func loadsOf(answers []Answer) map[upstream.ID]upstream.Load {
	loads := make(map[upstream.ID]upstream.Load)
	for _, a := range answers {
		for _, load := range a.Loads {
			if previous, ok := loads[load.Upstream]; !ok || load.At.After(previous.At) {
				loads[load.Upstream] = load
			}
		}
	}
	return loads
}
