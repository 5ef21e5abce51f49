package soak

import (
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// runnerNode holds a runner, the proxy in front of it, its phase and the identifiers of its
// starts, of which the last one is registered.
type runnerNode struct {
	runner     *userplatform.Runner
	frontProxy *proxy
	phase      string
	ids        []string
	// zone is its availability zone.
	zone   string
	server *http.Server
	// mustRestart is set once the runner said something that only its next start ends: that
	// it leaves, or a pause of an hour.
	mustRestart bool
	// linkChanges lists when faults of its link began or ended, the last one last.
	linkChanges []linkChange
}

// linkChange is the begin of a fault of a link, the end of all of them or, with the state
// that it had, a reset.
type linkChange struct {
	at    time.Time
	sound bool
}

// disturbLink returns the proxy for a fault of the runner's link.
func (r *runnerNode) disturbLink() *proxy {
	r.linkChanges = append(r.linkChanges, linkChange{at: time.Now()})
	return r.frontProxy
}

// id is the identifier of the runner's last start.
func (r *runnerNode) id() string { return r.ids[len(r.ids)-1] }

// resetLink breaks the connections of the runner's link. New ones are as before.
func (r *runnerNode) resetLink() {
	sound := len(r.linkChanges) == 0 || r.linkChanges[len(r.linkChanges)-1].sound
	r.linkChanges = append(r.linkChanges, linkChange{time.Now(), sound})
	r.frontProxy.resetAll()
}

// healLink ends the faults of the runner's link.
func (r *runnerNode) healLink() {
	r.linkChanges = append(r.linkChanges, linkChange{time.Now(), true})
	r.frontProxy.heal()
}

// linkDisturbed reports whether the runner's link had a fault at some time in a span.
func (r *runnerNode) linkDisturbed(from, to time.Time) bool {
	faulty := false
	for _, c := range r.linkChanges {
		if c.at.After(to) {
			break
		}
		if c.at.After(from) {
			return true
		}
		faulty = !c.sound
	}
	return faulty
}

// register lists a runner in the store.
func (s *soak) register(r *runnerNode) error { return s.registerAs(r, "ready") }

// registerAs lists a runner with a state, ready or draining.
func (s *soak) registerAs(r *runnerNode, state string) error {
	service := "engines"
	if r.phase == "" {
		service = "desk"
	}
	return s.store.Put("servers", r.id(), map[string]any{
		"service": service, "address": r.frontProxy.addr(), "zone": r.zone, "state": state, "slots": 64, "phase": r.phase, "born": len(r.ids),
	})
}

func (s *soak) randomGateway() *process   { return s.gateways[s.random.IntN(len(s.gateways))] }
func (s *soak) randomRunner() *runnerNode { return s.runners[s.random.IntN(len(s.runners))] }
