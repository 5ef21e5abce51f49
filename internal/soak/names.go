package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
)

// Figures of the configurations with names that no other one has.
const (
	// sometimesNamed is the number of such routes and accounts in a fault, and namedRequests
	// how many of them get a request.
	sometimesNamed, namedRequests = 100, 30
	// manyNamed is the number in each of the namedRounds configurations at the end of a run.
	manyNamed, namedRounds = 300, 6
	// settledRound is the round after which memory is measured first, and maxNamedGrowth what
	// it may grow by in the later ones. A histogram of 24 KB for each of the 1,200 later
	// routes would take twice as much.
	settledRound   = 2
	maxNamedGrowth = 14 << 20
	namedSenders   = 16
)

// namesOf returns the name of a route or account of a configuration.
func namesOf(version, i int) string { return fmt.Sprintf("n-%d-%d", version, i) }

// addNames adds routes and accounts to a configuration, each with a name that no other
// configuration has.
func (s *soak) addNames(document map[string]any) map[string]any {
	routes, _ := document["routes"].([]map[string]any)
	tenants, _ := document["tenants"].([]map[string]any)
	for i := range s.names {
		name := namesOf(s.changes, i)
		routes = append(routes, map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "timeout_ms": 4000, "latency_goal_ms": 500, "priority": 1,
			"max_attempts": 2, "kind": "idempotent", "service": "desk",
		})
		tenants = append(tenants, map[string]any{
			"name": name, "api_keys": []string{name}, "rate_per_s": 100, "burst": 100,
		})
	}
	document["routes"], document["tenants"] = routes, tenants
	return document
}

// reconfigureNames writes a configuration with new names and sends requests on some of its
// routes. The next configuration has none of them.
func (s *soak) reconfigureNames(ctx context.Context) {
	s.names = sometimesNamed
	s.reconfigure()
	s.names = 0
	version, g := s.changes, s.randomGateway()
	s.departures.pending.Go(func() {
		for i := range namedRequests {
			s.sendNamed(ctx, g, version, i)
		}
	})
}

// sendNamed sends a request on a route of a configuration, with the key of an account of its.
// The configuration may not be in force, or no longer.
func (s *soak) sendNamed(ctx context.Context, g *process, version, i int) (served bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	name := namesOf(version, i)
	k := kind{name: name, method: http.MethodGet}
	status, _, err := send(ctx, namedClient, g.callersAddr, k, "named-"+name, name, func(http.Header) {})
	return err == nil && status == http.StatusOK
}

var namedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: namedSenders}}

// checkNames checks that the memory of a gateway does not grow with the names that
// configurations no longer have.
func (s *soak) checkNames(ctx context.Context) {
	defer namedClient.CloseIdleConnections()
	g := s.randomGateway()
	before := int64(0)
	s.names = manyNamed
	for round := range namedRounds {
		s.reconfigure()
		for end := time.Now().Add(s.options.RecoverWithin); !s.sendNamed(ctx, g, s.changes, 0); clock.Wait(ctx, retryEvery) {
			if time.Now().After(end) || ctx.Err() != nil {
				s.failCheck("configuration %d with %d new routes is not in force %v later", s.changes, manyNamed, s.options.RecoverWithin)
				return
			}
		}
		s.sendAllNamed(ctx, g)
		if round+1 == settledRound {
			before = g.memory("VmRSS:")
		}
	}
	s.names = 0
	s.reconfigure()
	if after := g.memory("VmRSS:"); after > before+maxNamedGrowth {
		s.failCheck("gateway at %s uses %d MB, and %d MB after %d more configurations of %d new routes and accounts",
			g.callersAddr, before>>20, after>>20, namedRounds-settledRound, manyNamed)
	}
}

// sendAllNamed sends a request on each route of the last configuration.
func (s *soak) sendAllNamed(ctx context.Context, g *process) {
	var senders sync.WaitGroup
	for first := range namedSenders {
		senders.Go(func() {
			for i := first; i < manyNamed; i += namedSenders {
				s.sendNamed(ctx, g, s.changes, i)
			}
		})
	}
	senders.Wait()
}
