package rate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Layout lists the entries that hold shares of the accounts. Layouts are
// written to the platform's table by compare-and-set, so each epoch has exactly
// one; entries learn it from the table or from each other.
type Layout struct {
	Epoch uint64
	// Members hold shares; sorted by name.
	Members []instance.Identity
	// Grantors are the members that grant leases; a member needs leases from a
	// majority of them. Sorted by name.
	Grantors []instance.Identity
	// Before and GrantorsBefore are the Members and Grantors of the previous
	// epoch, which may spend its shares until their leases have expired.
	Before         []instance.Identity
	GrantorsBefore []instance.Identity
}

const (
	// MaxHolders limits the entries that share one account.
	MaxHolders = 4
	// MaxGrantors limits the entries with which an entry renews its leases.
	MaxGrantors = 5
)

// next returns the layout of the next epoch.
func (l *Layout) next(members []instance.Identity) *Layout {
	members = sorted(members)
	return &Layout{
		Epoch:          l.Epoch + 1,
		Members:        members,
		Grantors:       chooseGrantors(members),
		Before:         l.Members,
		GrantorsBefore: l.Grantors,
	}
}

func sorted(members []instance.Identity) []instance.Identity {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b instance.Identity) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// chooseGrantors takes members from each availability zone in turn, so that no
// zone has a majority of the grantors unless it has a majority of the members.
func chooseGrantors(members []instance.Identity) []instance.Identity {
	byZone := make(map[zone.Place][]instance.Identity)
	var places []zone.Place
	for _, m := range members {
		if _, ok := byZone[m.Place]; !ok {
			places = append(places, m.Place)
		}
		byZone[m.Place] = append(byZone[m.Place], m)
	}
	var chosen []instance.Identity
	for round := 0; len(chosen) < min(MaxGrantors, len(members)); round++ {
		for _, p := range places {
			if round < len(byZone[p]) && len(chosen) < MaxGrantors {
				chosen = append(chosen, byZone[p][round])
			}
		}
	}
	return sorted(chosen)
}

func sameIdentity(a, b instance.Identity) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// contains reports whether the list has an identity with the same name and
// incarnation.
func contains(list []instance.Identity, who instance.Identity) bool {
	return slices.ContainsFunc(list, func(i instance.Identity) bool { return sameIdentity(i, who) })
}

// sameMembers compares two lists sorted by name.
func sameMembers(a, b []instance.Identity) bool {
	return slices.EqualFunc(a, b, sameIdentity)
}

// majority reports whether has is true for more than half of the list. With
// exactly half, the first of the list breaks the tie.
func majority(list []instance.Identity, has func(instance.Identity) bool) bool {
	count := 0
	for _, who := range list {
		if has(who) {
			count++
		}
	}
	if 2*count == len(list) && count > 0 {
		return has(list[0])
	}
	return 2*count > len(list)
}

// holders returns the members that share an account: all of them in a small
// fleet, otherwise the MaxHolders with the highest rendezvous hash.
func holders(members []instance.Identity, account contract.AccountID) []instance.Identity {
	if len(members) <= MaxHolders {
		return members
	}
	type scored struct {
		who   instance.Identity
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{who: m, score: rendezvous(m.Name, account)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]instance.Identity, MaxHolders)
	for i := range chosen {
		chosen[i] = all[i].who
	}
	return chosen
}

func rendezvous(name instance.Name, account contract.AccountID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(account))
	return d.Sum64()
}

// share returns the fraction of an account's rate and burst that self holds.
func share(members []instance.Identity, self instance.Identity, account contract.AccountID) float64 {
	sharing := holders(members, account)
	if !contains(sharing, self) {
		return 0
	}
	return 1 / float64(len(sharing))
}
