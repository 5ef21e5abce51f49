package rate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// newEntryOfFleet returns the policy of one entry of a fleet, with all client
// accounts set.
func newEntryOfFleet(entries, accounts int) (rate.LayoutPolicy, time.Time) {
	now := time.Unix(1000, 0)
	var members []instance.Identity
	for i := range entries {
		members = append(members, instance.Identity{Name: instance.Name(fmt.Sprintf("entry-%03d", i)), Incarnation: 1})
	}
	clientAccounts := make(map[contract.AccountID]contract.ClientAccount)
	for i := range accounts {
		id := contract.AccountID(fmt.Sprintf("account-%05d", i))
		clientAccounts[id] = contract.ClientAccount{ID: id, Rate: contract.Rate{PerSecond: 1000, Burst: 2000}}
	}
	p := rate.NewEscrow(members[0], rate.Options{})
	p.SetAccounts(now, 1, clientAccounts)
	p.SetMembers(now, members)
	grantors := members[:min(rate.MaxGrantors, entries)]
	p.SetLayout(now, &rate.Layout{Epoch: 1, Members: members, Grantors: grantors})
	return p, now
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFleet measures an entry's memory per account with every account in
// use, and the messages that it sends in a second without load.
func BenchmarkFleet(b *testing.B) {
	for _, entries := range []int{3, 12, 370} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			const accounts = 9700
			for b.Loop() {
				p, now := newEntryOfFleet(entries, accounts)
				idle := 0
				for range 20 {
					now = now.Add(rate.TickEvery)
					idle += len(p.Tick(now).Messages)
				}
				before := heapBytes()
				for i := range accounts {
					id := contract.AccountID(fmt.Sprintf("account-%05d", i))
					p.Admit(now, contract.RequestID(id), id, 10, 0)
				}
				b.ReportMetric(float64(heapBytes()-before)/accounts, "B/account")
				b.ReportMetric(float64(idle), "messages/s")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkAdmit measures one admission from the local bucket.
func BenchmarkAdmit(b *testing.B) {
	p, now := newEntryOfFleet(1, 100)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		p.Admit(now, "r", "account-00007", 1, 0)
	}
}
