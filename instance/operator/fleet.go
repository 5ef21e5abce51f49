// Package operator is what operators may do: it answers queries about the
// configuration and the running fleet, and carries out changes of the
// configuration. It knows neither the language nor the transport that they
// came in.
package operator

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Question is what the whole fleet is asked for. Each instance answers with its
// InstanceRow and with the parts wanted.
type Question struct {
	Requests bool
	Loads    bool
	Rates    bool
}

// Answer is one instance's answer.
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
	// Revision is the configuration in force there.
	Revision contract.Revision
	Started  time.Time
	// Running is the number of requests or calls.
	Running int
}

// RequestRow describes a running request.
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

// RateRow describes what an entry holds of a client account's tokens. Accounts
// that nobody used lately have no row.
type RateRow struct {
	Account contract.AccountID
	Entry   string
	// InHand may be spent there now; Cap is what it grows to by itself.
	InHand contract.Tokens
	Cap    contract.Tokens
	// Waiting counts the requests that wait for tokens.
	Waiting int
}

// Fleet asks all instances.
type Fleet interface {
	// Ask asks every instance that should be there, within the context's
	// deadline, and names those that gave no answer.
	Ask(ctx context.Context, q Question) ([]Answer, []Silent)
}

// Node is the instance that the operator talks to.
type Node interface {
	// Snapshot gives the configuration in force here.
	Snapshot() *config.Snapshot
	// Offer puts what the store holds in force here.
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

// loadsOf keeps the newest load of each upstream.
func loadsOf(answers []Answer) map[upstream.ID]upstream.Load {
	loads := make(map[upstream.ID]upstream.Load)
	for _, a := range answers {
		for _, load := range a.Loads {
			if known, ok := loads[load.Upstream]; !ok || load.At.After(known.At) {
				loads[load.Upstream] = load
			}
		}
	}
	return loads
}
