package entry

import (
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Ready reports whether the load balancer should send requests to this entry:
// it is serving, trusts its configuration, and can grant tokens to client
// accounts. reason is empty if it is ready.
func (e *Entry) Ready() (ok bool, reason string) {
	h := table.NewHeldLocks()
	if state := e.State(); state != instance.Serving {
		return false, state.String()
	}
	if !e.configTrusted(h) {
		return false, "the configuration cannot be trusted: neither the store nor enough availability zones were heard from"
	}
	granting := true
	e.withLayoutPolicy(h, func(p rate.LayoutPolicy) { granting = p.CanGrant(e.clock.Now()) })
	if !granting {
		return false, "the entry cannot grant tokens to client accounts: it has no valid leases of rate shares from a majority of the entries"
	}
	return true, ""
}
