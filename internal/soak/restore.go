package soak

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Steps of a round in which the store is copied, put back to the copy, and written again by the
// operator and the runners; they are a part of a round of restoreEvery steps. The copy is two
// seconds old.
const (
	restoreEvery = 12
	copyAt       = 2
	restoreAt    = 10
	rewriteAt    = 11
)

// returnFromCopy lets the store come back from a copy once in a round. The steps do not follow
// from the seed, so that the other faults of a seed stay as they are.
func (s *soak) returnFromCopy(step int) {
	switch step % restoreEvery {
	case copyAt:
		s.storeCopy = s.store.Copy()
	case restoreAt:
		s.lost = s.store.Restore(s.storeCopy)
		s.report.Faults = append(s.report.Faults, "store returns from a copy")
	case rewriteAt:
		s.writeAgain()
	}
}

// writeAgain writes what the operator and the runners wrote and the store lost.
func (s *soak) writeAgain() {
	s.store.WriteAgain(s.lost)
	s.lost = userplatform.LostRows{}
}

// checkEntries checks that all gateways are in the store's list of them, also if it was put
// back to a copy from before they registered.
func (s *soak) checkEntries(ctx context.Context) {
	end := time.Now().Add(s.options.RecoverWithin)
	for i := range s.gateways {
		for !s.store.Has("trefoil_entries", gatewayName(i)) {
			if time.Now().After(end) || ctx.Err() != nil {
				s.failCheck("%s is not in the list of gateways", gatewayName(i))
				break
			}
			clock.Wait(ctx, retryEvery)
		}
	}
}
