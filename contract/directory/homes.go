package directory

import (
	"slices"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Homes returns the regions in which a request may run: those of its route and its account,
// and if both have some, only the regions in both. It is nil if neither has any, and an empty
// list, which allows no region, if they have none in common. account is nil on open routes.
func Homes(route *Route, account *Account) []zone.Region {
	switch {
	case account == nil || len(account.Homes) == 0:
		if len(route.Homes) == 0 {
			return nil
		}
		return route.Homes
	case len(route.Homes) == 0:
		return account.Homes
	}
	both := []zone.Region{}
	for _, r := range route.Homes {
		if slices.Contains(account.Homes, r) {
			both = append(both, r)
		}
	}
	return both
}
