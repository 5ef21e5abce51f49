package capacity

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// accountsOf makes a configuration with a number of client accounts, one key for
// each, and half as many upstreams.
func accountsOf(n int) *config.Snapshot {
	s := config.EmptySnapshot()
	s.Revision = 1
	for i := range n {
		id := contract.AccountID(fmt.Sprintf("account-%05d", i))
		s.Accounts[id] = contract.ClientAccount{ID: id, Weight: 1, Rate: contract.Rate{PerSecond: 1000, Burst: 2000}}
		hash := contract.HashKey(string(id))
		s.Keys[hash] = contract.Key{Hash: hash, Account: id, Label: "main"}
	}
	for i := range n / 2 {
		id := upstream.ID(fmt.Sprintf("upstream-%05d", i))
		s.Upstreams[id] = upstream.Upstream{ID: id, Place: rigPlace, Role: upstream.RoleDecode, State: upstream.StateServing,
			Models: []contract.ModelName{rigModel}, SidecarAddr: "127.0.0.1:7201"}
	}
	return s
}

// sizesOfState are the numbers of client accounts measured.
var sizesOfState = []int{1000, 2500, 5000, 10_000}

// configCost measures the configuration by its client accounts.
func configCost() ([]Slope, error) {
	var held, sent, applied []Point
	for _, n := range sizesOfState {
		before := memory()
		s := accountsOf(n)
		held = append(held, Point{float64(n), memory() - before})
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(s); err != nil {
			return nil, err
		}
		sent = append(sent, Point{float64(n), float64(encoded.Len())})
		took, err := applyTime(s)
		if err != nil {
			return nil, err
		}
		applied = append(applied, Point{float64(n), micros(took)})
		runtime.KeepAlive(s)
	}
	return []Slope{
		fit("configuration, memory", "account", "B", held),
		fit("configuration, whole in a message", "account", "B", sent),
		fit("change of configuration, time", "account", "µs", applied),
	}, nil
}

// applyTime measures one change.
func applyTime(s *config.Snapshot) (time.Duration, error) {
	const rounds = 10
	account := s.Accounts["account-00000"]
	begun := time.Now()
	for range rounds {
		if _, err := config.Apply(s, config.SetAccount{Account: account}, "operator", begun); err != nil {
			return 0, err
		}
	}
	return time.Since(begun) / rounds, nil
}

// rateCost measures the state of rates at an entry of a large fleet.
func rateCost() ([]Slope, error) {
	const entries = 370
	var held []Point
	for _, n := range sizesOfState {
		s := accountsOf(n)
		before := memory()
		policy, err := rate.New(rate.PolicyEscrow, memberOf(0), rate.Options{})
		if err != nil {
			return nil, err
		}
		now := time.Now()
		policy.SetMembers(now, membersOf(entries))
		policy.SetContracts(now, s.Revision, s.Accounts)
		for i := range n {
			id := contract.AccountID(fmt.Sprintf("account-%05d", i))
			policy.Admit(now, contract.RequestID(id), id, 1, 0)
		}
		held = append(held, Point{float64(n), memory() - before})
		runtime.KeepAlive(policy)
		runtime.KeepAlive(s)
	}
	return []Slope{fit("rates with all accounts in use, memory", "account", "B", held)}, nil
}

func memberOf(i int) instance.Identity {
	return instance.Identity{Name: instance.Name(fmt.Sprintf("entry-%03d", i)), Incarnation: 1, Place: rigPlace}
}

func membersOf(n int) (members []instance.Identity) {
	for i := range n {
		members = append(members, memberOf(i))
	}
	return members
}
