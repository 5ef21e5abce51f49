// Package config holds the configuration of the fleet: client accounts, keys,
// routes and upstreams under one revision. Snapshots are immutable; operators'
// commands create new ones. Replicator decides how entries and sidecars exchange
// snapshots; storage, transport and locking are left to other packages.
package config

import (
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Snapshot is the whole configuration at one revision. It is immutable and safe
// for concurrent reads; modify only a Clone.
type Snapshot struct {
	Revision contract.Revision
	// ChangedBy and ChangedAt are the author and time of this revision.
	ChangedBy string
	ChangedAt time.Time
	Accounts  map[contract.AccountID]contract.ClientAccount
	Keys      map[contract.KeyHash]contract.Key
	Routes    map[contract.RouteName]contract.Route
	Upstreams map[upstream.ID]upstream.Upstream
}

// EmptySnapshot returns an empty snapshot with revision 0.
func EmptySnapshot() *Snapshot {
	return &Snapshot{
		Accounts:  make(map[contract.AccountID]contract.ClientAccount),
		Keys:      make(map[contract.KeyHash]contract.Key),
		Routes:    make(map[contract.RouteName]contract.Route),
		Upstreams: make(map[upstream.ID]upstream.Upstream),
	}
}

// Authenticate finds the stored key for a caller's key. It returns a refusal if
// the key is missing, unknown, withdrawn or without client account.
func (s *Snapshot) Authenticate(key string) (contract.Key, *contract.Refusal) {
	if key == "" {
		return contract.Key{}, contract.Refuse(contract.CodeKeyMissing, "the route requires a key in the Authorization header")
	}
	return s.CheckKey(contract.HashKey(key))
}

// CheckKey is like Authenticate for a key's hash. Running requests are checked
// again with it when the revision changes.
func (s *Snapshot) CheckKey(hash contract.KeyHash) (contract.Key, *contract.Refusal) {
	key, ok := s.Keys[hash]
	if !ok || !key.Hash.Equal(hash) {
		return contract.Key{}, contract.Refuse(contract.CodeKeyInvalid, "the key is not known")
	}
	if key.Withdrawn {
		return contract.Key{}, contract.Refuse(contract.CodeKeyWithdrawn, "the key was withdrawn")
	}
	if _, ok := s.Accounts[key.Account]; !ok {
		return contract.Key{}, contract.Refuse(contract.CodeKeyInvalid, "the key's client account does not exist")
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

// ServiceRoute finds the service route with the longest prefix of a path; ok is
// false if there is none.
func (s *Snapshot) ServiceRoute(path string) (route contract.Route, ok bool) {
	for _, r := range s.Routes {
		matches := r.Kind == contract.RouteService && strings.HasPrefix(path, r.PathPrefix)
		if matches && len(r.PathPrefix) > len(route.PathPrefix) {
			route, ok = r, true
		}
	}
	return route, ok
}
