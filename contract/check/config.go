package check

import (
	"maps"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Lines holds the line of the last statement about each object, by kind and name. Objects
// that come from another file have none.
type Lines map[objectName]int

type objectName struct {
	kind config.Kind
	name string
}

// Record stores the line of a command.
func (l Lines) Record(cmd config.Command, line int) {
	switch c := cmd.(type) {
	case config.CreateAccount:
		l[objectName{config.KindAccount, string(c.Account.ID)}] = line
	case config.SetAccount:
		l[objectName{config.KindAccount, string(c.Account.ID)}] = line
	case config.CreateRoute:
		l[objectName{config.KindRoute, string(c.Route.Name)}] = line
	case config.SetRoute:
		l[objectName{config.KindRoute, string(c.Route.Name)}] = line
	case config.AddUpstream:
		l[objectName{config.KindUpstream, string(c.Upstream.ID)}] = line
	case config.SetUpstream:
		l[objectName{config.KindUpstream, string(c.Upstream.ID)}] = line
	case config.LoadModel:
		l[objectName{config.KindUpstream, string(c.ID)}] = line
	}
}

func (l Lines) place(kind config.Kind, name string) Place {
	return Place{Path: string(kind) + " " + name, Line: l[objectName{kind, name}]}
}

// Config returns the findings of a snapshot, in order.
func Config(s *config.Snapshot, lines Lines) []Finding {
	c := &configCheck{snapshot: s, lines: lines}
	c.checkAccounts()
	c.checkRoutes()
	c.checkUpstreams()
	Sort(c.findings)
	return c.findings
}

type configCheck struct {
	collector
	snapshot *config.Snapshot
	lines    Lines
}

func (c *configCheck) checkAccounts() {
	keyed := make(map[contract.AccountID]bool)
	for _, key := range c.snapshot.Keys {
		if !key.Withdrawn {
			keyed[key.Account] = true
		}
	}
	largest := c.largestCall()
	for id, account := range c.snapshot.Accounts {
		place := c.lines.place(config.KindAccount, string(id))
		if !keyed[id] {
			c.add(Warning, CodeNoKeys, place, "the account has no key, so no request is charged to it")
		}
		if account.Rate.Burst < largest.CallCost {
			c.add(Error, CodeBurst, place, "the burst of %d tokens is below the cost of a call of route %s, %d: its calls are always refused",
				account.Rate.Burst, largest.Name, largest.CallCost)
		}
	}
}

// largestCall returns the route that needs a key and charges most for a call.
func (c *configCheck) largestCall() (largest contract.Route) {
	for _, name := range slices.Sorted(maps.Keys(c.snapshot.Routes)) {
		if r := c.snapshot.Routes[name]; !r.Open && r.CallCost > largest.CallCost {
			largest = r
		}
	}
	return largest
}

func (c *configCheck) checkRoutes() {
	models, services := make(map[contract.ModelName]bool), make(map[string]bool)
	for _, u := range c.snapshot.Upstreams {
		if u.State == upstream.StateRetired {
			continue
		}
		services[u.Pool] = true
		for _, model := range u.Models {
			models[model] = true
		}
	}
	for name, r := range c.snapshot.Routes {
		place := c.lines.place(config.KindRoute, string(name))
		switch {
		case r.Kind == contract.RouteModel && !models[r.Model]:
			c.add(Error, CodeServiceUnknown, place, "no upstream serves model %s", r.Model)
		case r.Kind == contract.RouteService && !services[r.Service]:
			c.add(Error, CodeServiceUnknown, place, "no upstream belongs to service %s", r.Service)
		}
		if r.Timeout < r.Targets.FirstToken {
			c.add(Error, CodeTimeout, place, "the timeout of %s is below the objective for the first token, %s", r.Timeout, r.Targets.FirstToken)
		}
		if r.Timeout < r.Targets.BetweenTokens {
			c.add(Error, CodeTimeout, place, "the timeout of %s is below the objective between tokens, %s", r.Timeout, r.Targets.BetweenTokens)
		}
	}
}

func (c *configCheck) checkUpstreams() {
	models, services := make(map[contract.ModelName]bool), make(map[string]bool)
	for _, r := range c.snapshot.Routes {
		models[r.Model] = true
		services[r.Service] = true
	}
	for id, u := range c.snapshot.Upstreams {
		if u.State == upstream.StateRetired {
			continue
		}
		place := c.lines.place(config.KindUpstream, string(id))
		if u.Role == upstream.RoleService && !services[u.Pool] {
			c.add(Warning, CodeServiceUnused, place, "no route names service %s", u.Pool)
		}
		for _, model := range u.Models {
			if !models[model] {
				c.add(Warning, CodeServiceUnused, place, "no route names model %s", model)
			}
		}
	}
}
