package burn

import "github.com/trefoilwalk/trefoilwalk/contract"

// OtherRoutes stands for all routes that no longer exist, and for those beyond the limits.
const OtherRoutes contract.RouteName = "other"

// Retain merges what was recorded of routes and accounts that no longer exist under
// OtherRoutes and OtherAccounts, so that sums do not decrease. Later events are counted
// there too. The functions report which exist; they are kept until the next call. nil
// stands for all. An empty account always exists.
func (r *Recorder) Retain(routes func(contract.RouteName) bool, accounts func(contract.AccountID) bool) {
	r.routes, r.accounts = routes, accounts
	for key, rings := range r.series {
		if into := r.existing(key); into != key {
			delete(r.series, key)
			mergeRings(r.ensureSeries(into), rings)
		}
	}
	for route, l := range r.latencies {
		if into := r.existing(Key{Route: route}).Route; into != route {
			delete(r.latencies, route)
			r.ensureLatencies(into).merge(l)
		}
	}
}

// existing returns the key under which events are counted.
func (r *Recorder) existing(k Key) Key {
	switch {
	case k.Route == OtherRoutes || r.routes != nil && !r.routes(k.Route):
		return Key{Route: OtherRoutes}
	case k.Account != "" && k.Account != OtherAccounts && r.accounts != nil && !r.accounts(k.Account):
		return Key{Route: k.Route, Account: OtherAccounts}
	}
	return k
}

// bounded returns the key of the series for an event: another than its own once there are
// MaxSeries, and OtherRoutes once there are twice as many.
func (r *Recorder) bounded(k Key) Key {
	if _, ok := r.series[k]; ok || len(r.series) < MaxSeries {
		return k
	}
	k.Account = OtherAccounts
	if _, ok := r.series[k]; ok || len(r.series) < 2*MaxSeries {
		return k
	}
	return Key{Route: OtherRoutes}
}

// ensureSeries returns the rings of a series and creates it if needed.
func (r *Recorder) ensureSeries(k Key) *[len(Windows)]ring {
	rings, ok := r.series[k]
	if !ok {
		rings = new([len(Windows)]ring)
		r.series[k] = rings
	}
	return rings
}

// routeLatencies are the latencies of one route.
type routeLatencies struct {
	first, gap latencies
}

func (l *routeLatencies) merge(o *routeLatencies) {
	l.first.merge(&o.first)
	l.gap.merge(&o.gap)
}

// ensureLatencies returns the latencies of a route and creates them if needed; beyond
// MaxSeries those of OtherRoutes.
func (r *Recorder) ensureLatencies(route contract.RouteName) *routeLatencies {
	l, ok := r.latencies[route]
	if !ok && len(r.latencies) >= MaxSeries {
		route = OtherRoutes
		l, ok = r.latencies[route]
	}
	if !ok {
		l = &routeLatencies{}
		r.latencies[route] = l
	}
	return l
}

func mergeRings(into, from *[len(Windows)]ring) {
	for i := range into {
		into[i].merge(&from[i])
	}
}

// merge adds the counts of another ring. Of two slots of different intervals the newer one
// counts, as in add.
func (r *ring) merge(o *ring) {
	for i, interval := range o.intervals {
		switch {
		case interval == r.intervals[i]:
			r.counts[i].Add(o.counts[i])
		case interval > r.intervals[i]:
			r.intervals[i], r.counts[i] = interval, o.counts[i]
		}
	}
}
