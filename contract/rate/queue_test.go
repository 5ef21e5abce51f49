package rate_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// TestFloodDoesNotQueue sends far more than the rate with a max wait of
// seconds. Requests that cannot be granted in time must be refused at once, not
// kept until their max wait is over.
func TestFloodDoesNotQueue(t *testing.T) {
	const perSecond, maxWait, asked = 1000, 2 * time.Second, 50_000
	const most = 5 * perSecond * 2 // tokens that accrue in five times the max wait
	self := instance.Identity{Name: "entry-1", Incarnation: 1}
	e := rate.NewEscrow(self, rate.Options{})
	now := time.Unix(1000, 0)
	e.SetAccounts(now, 1, map[contract.AccountID]contract.ClientAccount{
		"a": {ID: "a", Rate: contract.Rate{PerSecond: perSecond, Burst: 2 * perSecond}},
	})
	members := []instance.Identity{self}
	e.SetMembers(now, members)
	e.SetLayout(now, &rate.Layout{Epoch: 1, Members: members, Grantors: members})
	waiting := 0
	for i := range asked {
		now = now.Add(time.Millisecond / 10)
		if e.Admit(now, contract.RequestID(strconv.Itoa(i)), "a", 1, maxWait).State == rate.Waiting {
			waiting++
		}
	}
	if waiting == 0 || waiting > most {
		t.Errorf("%d requests of one token wait, want some and at most %d", waiting, most)
	}
}
