package directory

import (
	"cmp"
	"maps"
	"slices"
)

// MaxRanks bounds the ranks of one service; the least urgent ones beyond it are merged.
const MaxRanks = 8

// precedence orders requests: an account's own priority comes first, the route's orders the
// requests of accounts with the same one. Lower values are more urgent.
type precedence struct {
	first, second int
}

func (p precedence) compare(o precedence) int {
	return cmp.Or(cmp.Compare(p.first, o.first), cmp.Compare(p.second, o.second))
}

// precedenceOf returns the precedence of a request. Accounts without a priority of their
// own, and open routes, take the route's.
func precedenceOf(route *Route, account *Account) precedence {
	if account != nil && account.Ranked {
		return precedence{account.Priority, route.Priority}
	}
	return precedence{route.Priority, route.Priority}
}

// Urgency ranks the requests to engines by priority. A service has more than one rank only
// if its stream routes state different priorities: one kind of request alone does not
// compete with another.
type Urgency struct {
	levels map[ServiceName][]precedence
	// least is the priority of the least urgent stream route of each service with ranks.
	least map[ServiceName]int
}

// Urgency returns the ranks that follow from the priorities of routes and accounts.
func (s *Snapshot) Urgency() *Urgency {
	u := &Urgency{levels: make(map[ServiceName][]precedence), least: make(map[ServiceName]int)}
	accounts := make(map[int]bool)
	for _, account := range s.Accounts {
		if account.Ranked {
			accounts[account.Priority] = true
		}
	}
	ofAccounts := mostUrgent(accounts)
	for name, routes := range s.streamRoutes() {
		priorities := make(map[int]bool)
		for _, route := range routes {
			priorities[route.Priority] = true
		}
		if len(priorities) <= 1 {
			continue
		}
		u.least[name] = slices.Max(slices.Collect(maps.Keys(priorities)))
		u.levels[name] = levelsOf(ofAccounts, mostUrgent(priorities))
	}
	return u
}

// mostUrgent returns the MaxRanks most urgent priorities in order. Others cannot be part of
// the first MaxRanks levels.
func mostUrgent(priorities map[int]bool) []int {
	sorted := slices.Sorted(maps.Keys(priorities))
	return sorted[:min(len(sorted), MaxRanks)]
}

// levelsOf returns the first MaxRanks levels of a service, given the different priorities of
// accounts and routes: a fleet has millions of pairs of an account and a route.
func levelsOf(accounts, routes []int) []precedence {
	var levels []precedence
	for _, route := range routes {
		levels = append(levels, precedence{route, route})
		for _, account := range accounts {
			levels = append(levels, precedence{account, route})
		}
	}
	slices.SortFunc(levels, precedence.compare)
	levels = slices.Compact(levels)
	return levels[:min(len(levels), MaxRanks)]
}

// streamRoutes returns the stream routes of each service that runs engines.
func (s *Snapshot) streamRoutes() map[ServiceName][]*Route {
	out := make(map[ServiceName][]*Route)
	for _, routes := range s.Hosts {
		for _, route := range routes {
			if route.Kind != Stream {
				continue
			}
			for _, share := range route.Shares {
				if s.RunsEngines(share.Service) {
					out[share.Service] = append(out[share.Service], route)
				}
			}
		}
	}
	return out
}

// Ranks returns the number of ranks of a service, at least 1.
func (u *Urgency) Ranks(service ServiceName) int {
	return max(1, len(u.levels[service]))
}

// Services returns the number of ranks of each service that has more than one.
func (u *Urgency) Services() map[ServiceName]int {
	out := make(map[ServiceName]int, len(u.levels))
	for name, levels := range u.levels {
		out[name] = len(levels)
	}
	return out
}

// Rank returns the rank of a request to a service: 0 is the most urgent.
func (u *Urgency) Rank(service ServiceName, route *Route, account *Account) int {
	levels := u.levels[service]
	if len(levels) == 0 {
		return 0
	}
	at, _ := slices.BinarySearchFunc(levels, precedenceOf(route, account), precedence.compare)
	return min(at, len(levels)-1)
}

// BeforeOthers reports whether less urgent requests of the same account come after a
// request: those of other routes of the service, or, for requests to a service without
// ranks, those to a service with ranks.
func (u *Urgency) BeforeOthers(service ServiceName, route *Route) bool {
	if least, ranked := u.least[service]; ranked {
		return route.Priority < least
	}
	return len(u.levels) > 0
}
