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

// newSnapshot returns a configuration with n client accounts, one key each, and n/2
// upstreams.
func newSnapshot(n int) *config.Snapshot {
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

// accountCounts are the numbers of client accounts to measure at.
var accountCounts = []int{1000, 2500, 5000, 10_000}

// configCost measures memory, encoded size and time to change a configuration by the
// number of client accounts.
func configCost() ([]Slope, error) {
	var memory, sizes, applyTimes []Point
	for _, n := range accountCounts {
		before := memoryInUse()
		s := newSnapshot(n)
		memory = append(memory, Point{float64(n), memoryInUse() - before})
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(s); err != nil {
			return nil, err
		}
		sizes = append(sizes, Point{float64(n), float64(encoded.Len())})
		took, err := applyTime(s)
		if err != nil {
			return nil, err
		}
		applyTimes = append(applyTimes, Point{float64(n), microseconds(took)})
		runtime.KeepAlive(s)
	}
	// "whole in a message" is the encoded size of the whole configuration.
	return []Slope{
		fit("configuration, memory", "account", "B", memory),
		fit("configuration, whole in a message", "account", "B", sizes),
		fit("change of configuration, time", "account", "µs", applyTimes),
	}, nil
}

// applyTime returns the mean time to apply one change to s.
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

// rateCost measures the memory of the rate policy at one entry of a fleet of 370 entries.
// The number of entries matters because the policy keeps a list of the members.
func rateCost() ([]Slope, error) {
	const entries = 370
	var memory []Point
	for _, n := range accountCounts {
		s := newSnapshot(n)
		before := memoryInUse()
		policy, err := rate.New(rate.PolicyEscrow, member(0), rate.Options{})
		if err != nil {
			return nil, err
		}
		now := time.Now()
		policy.SetMembers(now, memberList(entries))
		policy.SetAccounts(now, s.Revision, s.Accounts)
		for i := range n {
			id := contract.AccountID(fmt.Sprintf("account-%05d", i))
			policy.Admit(now, contract.RequestID(id), id, 1, 0)
		}
		memory = append(memory, Point{float64(n), memoryInUse() - before})
		runtime.KeepAlive(policy)
		runtime.KeepAlive(s)
	}
	return []Slope{fit("rates with all accounts in use, memory", "account", "B", memory)}, nil
}

func member(i int) instance.Identity {
	return instance.Identity{Name: instance.Name(fmt.Sprintf("entry-%03d", i)), Incarnation: 1, Place: rigPlace}
}

func memberList(n int) (members []instance.Identity) {
	for i := range n {
		members = append(members, member(i))
	}
	return members
}
