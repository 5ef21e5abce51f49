// Package config is the configuration of the fleet: client accounts, keys,
// routes and upstreams under one revision. A snapshot never changes once it was
// accepted; a change makes a new snapshot with the next revision.
package config

import (
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Snapshot is the whole configuration at one revision. It is read-only: share
// it freely, and change only a Clone.
type Snapshot struct {
	Revision contract.Revision
	// ChangedBy and ChangedAt say who made this revision and when.
	ChangedBy string
	ChangedAt time.Time
	Accounts  map[contract.AccountID]contract.ClientAccount
	Keys      map[contract.KeyHash]contract.Key
	Routes    map[contract.RouteName]contract.Route
	Upstreams map[upstream.ID]upstream.Upstream
}

// Empty returns a snapshot with revision 0 and nothing in it.
func Empty() *Snapshot {
	return &Snapshot{
		Accounts:  make(map[contract.AccountID]contract.ClientAccount),
		Keys:      make(map[contract.KeyHash]contract.Key),
		Routes:    make(map[contract.RouteName]contract.Route),
		Upstreams: make(map[upstream.ID]upstream.Upstream),
	}
}

// Authenticate finds the client account of a key. The refusal is set when the
// key is missing, unknown or withdrawn.
func (s *Snapshot) Authenticate(key string) (contract.Key, *contract.Refusal) {
	if key == "" {
		return contract.Key{}, contract.Refuse(contract.CodeKeyMissing, "the route needs a key in the Authorization header")
	}
	return s.CheckKey(contract.HashKey(key))
}

// CheckKey is Authenticate for a hash; running requests are checked with it
// again when the revision changes.
func (s *Snapshot) CheckKey(hash contract.KeyHash) (contract.Key, *contract.Refusal) {
	key, ok := s.Keys[hash]
	if !ok || !key.Hash.Equal(hash) {
		return contract.Key{}, contract.Refuse(contract.CodeKeyInvalid, "the key is not known")
	}
	if key.Withdrawn {
		return contract.Key{}, contract.Refuse(contract.CodeKeyWithdrawn, "the key was withdrawn")
	}
	if _, ok := s.Accounts[key.Account]; !ok {
		return contract.Key{}, contract.Refuse(contract.CodeKeyInvalid, "the key's client account is gone")
	}
	return key, nil
}

// ModelRoute finds the route of a model; ok is false if there is none.
func (s *Snapshot) ModelRoute(model contract.ModelName) (route contract.Route, ok bool) {
	for _, r := range s.Routes {
		if r.Kind == contract.RouteModel && r.Model == model {
			return r, true
		}
	}
	return contract.Route{}, false
}

// ServiceRoute finds the service route with the longest prefix of a path.
func (s *Snapshot) ServiceRoute(path string) (route contract.Route, ok bool) {
	for _, r := range s.Routes {
		matches := r.Kind == contract.RouteService && strings.HasPrefix(path, r.PathPrefix)
		if matches && len(r.PathPrefix) > len(route.PathPrefix) {
			route, ok = r, true
		}
	}
	return route, ok
}
