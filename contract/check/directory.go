package check

import (
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
)

// Directory returns the findings of a draft, in order.
func Directory(d *Draft) []Finding {
	c := &directoryCheck{draft: d, services: make(map[directory.ServiceName]*directory.Service)}
	if d.Version == 0 {
		c.add(Error, CodeVersion, d.Places.of(FieldVersion), "the version is 0 or missing, so it replaces no other configuration")
	}
	for _, s := range d.Services {
		c.services[s.Service.Name] = s.Service
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkKeys()
	Sort(c.findings)
	return c.findings
}

// Version returns a finding if d differs from the configuration in force but would not
// replace it. Directory reports a version of 0.
func Version(d, inForce *Draft, differences []Difference) []Finding {
	c := &collector{}
	if len(differences) > 0 && d.Version > 0 && d.Version <= inForce.Version {
		c.add(Error, CodeVersion, d.Places.of(FieldVersion), "the version is %d and the one it is compared with has %d: only a higher one replaces it",
			d.Version, inForce.Version)
	}
	return c.findings
}

type directoryCheck struct {
	collector
	draft *Draft
	// services has the last service of each name, which is the one that counts.
	services map[directory.ServiceName]*directory.Service
}

// names returns a function that reports the second and later uses of a name.
func (c *directoryCheck) names(kind, effect string) func(name string, places Places) {
	seen := make(map[string]bool)
	return func(name string, places Places) {
		place := places.of(FieldName)
		switch {
		case name == "":
			c.add(Error, CodeValue, place, "the %s has no name", kind)
		case seen[name]:
			c.add(Error, CodeDuplicate, place, "another %s is named %s: %s", kind, name, effect)
		}
		seen[name] = true
	}
}

func (c *directoryCheck) checkRoutes() {
	checkName := c.names("route", "state and metrics of the two are mixed")
	type match struct{ host, prefix string }
	first := make(map[match]contract.RouteName)
	for _, r := range c.draft.Routes {
		route, at := r.Route, r.Places
		checkName(string(route.Name), at)
		if route.Host == "" {
			c.add(Error, CodeNoMatch, at.of(FieldHost), "the route has no host, so no request matches it")
		}
		if route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/") {
			c.add(Error, CodeNoMatch, at.of(FieldPrefix), "the prefix %q does not begin with /, so no request matches it", route.Prefix)
		}
		m := match{strings.ToLower(route.Host), route.Prefix}
		if other, ok := first[m]; ok {
			c.add(Error, CodeHidden, at.of(FieldPrefix), "route %s has the same host and prefix and comes first, so no request matches this one", other)
		} else {
			first[m] = route.Name
		}
		if !r.KnownKind {
			c.add(Error, CodeKind, at.of(FieldKind), "the kind is not known: requests are run at most once")
		}
		c.checkRouteLimits(r)
		c.checkShares(r)
	}
}

func (c *directoryCheck) checkRouteLimits(r RouteDraft) {
	route, at := r.Route, r.Places
	for field, d := range map[Field]time.Duration{FieldTimeout: route.Timeout, FieldObjective: route.Objective, FieldMaxGap: route.MaxGap} {
		if d < 0 {
			c.add(Error, CodeValue, at.of(field), "the %s must not be negative", field)
		}
	}
	switch {
	case route.Timeout > 0 && route.Timeout < route.Objective:
		c.add(Error, CodeTimeout, at.of(FieldTimeout), "the timeout of %s is below the objective of %s", route.Timeout, route.Objective)
	case route.Timeout > 0 && route.Timeout < route.MaxGap:
		c.add(Error, CodeTimeout, at.of(FieldTimeout), "the timeout of %s is below the objective for gaps, %s", route.Timeout, route.MaxGap)
	}
	if route.MaxAttempts > 1 && !route.Repeatable() {
		c.add(Warning, CodeAttempts, at.of(FieldMaxAttempts), "%d attempts, but requests of the route may not be repeated: only those that did not run are sent again",
			route.MaxAttempts)
	}
}

func (c *directoryCheck) checkShares(r RouteDraft) {
	if r.SharesIgnored {
		c.add(Warning, CodeShare, r.Places.of(FieldShares), "the shares have no effect, since the route names a service")
	}
	total := 0
	for _, s := range r.Route.Shares {
		total += max(0, s.Weight)
	}
	for i, s := range r.Route.Shares {
		place := r.Places.of(FieldService)
		if i < len(r.ShareFields) {
			place = r.ShareFields[i]
		}
		switch {
		case s.Weight > 0:
		case total == 0 && i == 0:
			c.add(Error, CodeShare, place, "no share has a weight above 0, so service %s gets all requests", s.Service)
		default:
			c.add(Warning, CodeShare, place, "a weight of %d: service %s gets no requests of the route", s.Weight, s.Service)
		}
		if _, ok := c.services[s.Service]; !ok {
			c.add(Error, CodeServiceUnknown, place, "service %q does not exist", s.Service)
		}
	}
}

func (c *directoryCheck) checkServices() {
	checkName := c.names("service", "the last one counts")
	named := make(map[directory.ServiceName]bool)
	for _, r := range c.draft.Routes {
		for _, s := range r.Route.Shares {
			named[s.Service] = true
		}
	}
	for _, s := range c.draft.Services {
		checkName(string(s.Service.Name), s.Places)
		if !named[s.Service.Name] {
			c.add(Warning, CodeServiceUnused, s.Places.of(FieldName), "no route names service %s", s.Service.Name)
		}
		if s.Warmup > 0 && s.WarmupPerSecond <= 0 {
			c.add(Error, CodeWarmup, s.Places.of(FieldWarmupRate, FieldWarmup), "upstreams are cold for %s after their start and may get no requests meanwhile", s.Warmup)
		}
	}
}

func (c *directoryCheck) checkAccounts() {
	checkName := c.names("account", "the last one counts")
	engine := c.largestEngine()
	for _, a := range c.draft.Accounts {
		checkName(string(a.Account.ID), a.Places)
		if len(a.Keys) == 0 {
			c.add(Warning, CodeNoKeys, a.Places.of(FieldKeys), "the account has no key, so no request is charged to it")
		}
		c.checkQuota(a, engine)
	}
}

// checkQuota compares the burst with the largest request. A larger request is charged only
// when the bucket is full, and then delays the account's next ones.
func (c *directoryCheck) checkQuota(a AccountDraft, engine *directory.Service) {
	q, place := a.Account.Quota, a.Places.of(FieldBurst)
	const effect = "such requests are admitted only after a pause of the account"
	switch {
	case !q.Limited():
	case !q.ByTokens && q.Burst < 1:
		c.add(Error, CodeBurst, place, "the burst of %v is below one request", q.Burst)
	case q.ByTokens && q.Burst < q.PlainCost:
		c.add(Error, CodeBurst, place, "the burst of %v tokens is below the charge for a request without a size, %v: %s", q.Burst, q.PlainCost, effect)
	case q.ByTokens && engine != nil && q.Burst < float64(engine.Engine.KVTokens):
		c.add(Warning, CodeBurst, place, "the burst of %v tokens is below the largest request that an engine of service %s can hold, %d: %s",
			q.Burst, engine.Name, engine.Engine.KVTokens, effect)
	}
}

// largestEngine returns the service with the largest engines that requests with a key
// reach, nil if there is none.
func (c *directoryCheck) largestEngine() (largest *directory.Service) {
	for _, r := range c.draft.Routes {
		if r.Route.Open {
			continue
		}
		for _, share := range r.Route.Shares {
			s := c.services[share.Service]
			if s == nil || s.Engine == nil || share.Weight <= 0 {
				continue
			}
			if largest == nil || s.Engine.KVTokens > largest.Engine.KVTokens {
				largest = s
			}
		}
	}
	return largest
}

func (c *directoryCheck) checkKeys() {
	owner := make(map[contract.KeyHash]contract.AccountID)
	for _, a := range c.draft.Accounts {
		for _, key := range a.Keys {
			other, taken := owner[key.Hash]
			switch {
			case key.Empty:
				c.add(Error, CodeKeyEmpty, key.Place, "the key is empty")
			case taken && other == a.Account.ID:
				c.add(Warning, CodeKeyRepeated, key.Place, "the account has key %s twice", key.Hash.Short())
			case taken:
				c.add(Error, CodeKeyShared, key.Place, "key %s is also a key of account %s: only the last account counts", key.Hash.Short(), other)
			}
			owner[key.Hash] = a.Account.ID
		}
	}
}
