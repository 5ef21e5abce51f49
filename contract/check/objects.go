package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// ConfigObjects returns the objects of a snapshot whose keys have no known hashes: a key
// is identified by its account and label.
func ConfigObjects(s *config.Snapshot) []Object {
	var all []Object
	for id, a := range s.Accounts {
		all = append(all, Object{Kind: "account", Name: string(id), Values: []Value{
			{"rate", text(a.Rate.PerSecond)}, {"burst", text(a.Rate.Burst)}, {"weight", text(a.Weight)},
		}})
	}
	keys := make(map[contract.Key]int)
	for _, key := range s.Keys {
		key.Hash = contract.KeyHash{}
		keys[key]++
	}
	for key, count := range keys {
		all = append(all, Object{Kind: "key", Name: strings.TrimSpace(string(key.Account) + " " + key.Label), ID: text(key.Withdrawn), Values: []Value{
			{"count", text(count)}, {"withdrawn", text(key.Withdrawn)},
		}})
	}
	for name, r := range s.Routes {
		all = append(all, Object{Kind: "route", Name: string(name), Values: []Value{
			{"kind", r.Kind.String()}, {"model", string(r.Model)}, {"service", r.Service}, {"path", r.PathPrefix},
			{"open", text(r.Open)}, {"repeatable", text(r.Repeatable)}, {"patient", text(r.Patient)},
			{"timeout", text(r.Timeout)}, {"first_token", text(r.Targets.FirstToken)},
			{"between_tokens", text(r.Targets.BetweenTokens)}, {"cost", text(r.CallCost)},
		}})
	}
	for id, u := range s.Upstreams {
		var models []string
		for _, model := range u.Models {
			models = append(models, strings.TrimSuffix(string(model)+"="+u.Versions[model], "="))
		}
		all = append(all, Object{Kind: "upstream", Name: string(id), Values: []Value{
			{"role", u.Role.String()}, {"region", string(u.Place.Region)}, {"zone", string(u.Place.Zone)},
			{"address", u.SidecarAddr}, {"service", u.Pool}, {"models", strings.Join(models, " ")}, {"state", u.State.String()},
		}})
	}
	return all
}

// DraftObjects returns the objects of a draft. The version is left out: it always changes.
func DraftObjects(d *Draft) []Object {
	all := []Object{{Kind: "limits", Values: []Value{
		{"header bytes", text(d.Limits.HeaderBytes)}, {"body bytes", text(d.Limits.BodyBytes)},
		{"header timeout", text(d.Limits.HeaderTimeout)}, {"idle timeout", text(d.Limits.IdleTimeout)},
	}}}
	seen := make(map[string]int)
	add := func(o Object) {
		seen[o.key()]++
		if n := seen[o.key()]; n > 1 {
			o.ID += fmt.Sprintf("#%d", n)
		}
		all = append(all, o)
	}
	for _, r := range d.Routes {
		add(routeObject(r.Route))
	}
	for _, s := range d.Services {
		add(serviceObject(s))
	}
	owners := make(map[contract.KeyHash][]string)
	for _, a := range d.Accounts {
		add(accountObject(a.Account))
		for _, key := range a.Keys {
			owners[key.Hash] = append(owners[key.Hash], string(a.Account.ID))
		}
	}
	hashes := slices.SortedFunc(maps.Keys(owners), func(a, b contract.KeyHash) int { return slices.Compare(a[:], b[:]) })
	for _, hash := range hashes {
		add(Object{Kind: "key", Name: hash.Short(), ID: string(hash[:]), Values: []Value{{"account", strings.Join(owners[hash], " ")}}})
	}
	return all
}

func routeObject(r *directory.Route) Object {
	var shares []string
	for _, s := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s=%d", s.Service, s.Weight))
	}
	return Object{Kind: "route", Name: cmp.Or(string(r.Name), r.Host+r.Prefix), Values: []Value{
		{"host", r.Host}, {"prefix", r.Prefix}, {"kind", r.Kind.String()}, {"shares", strings.Join(shares, " ")},
		{"open", text(r.Open)}, {"resumable", text(r.Resumable)}, {"priority", text(r.Priority)},
		{"max attempts", text(r.MaxAttempts)}, {"timeout", text(r.Timeout)}, {"objective", text(r.Objective)},
		{"max gap", text(r.MaxGap)}, {"home regions", regions(r.Homes)},
	}}
}

func serviceObject(s ServiceDraft) Object {
	o := Object{Kind: "service", Name: string(s.Service.Name), Values: []Value{
		{"max connections", text(s.Service.MaxConns)}, {"warm-up", text(s.Warmup)},
		{"warm-up rate", number(s.WarmupPerSecond)}, {"engine", text(s.Service.Engine != nil)},
	}}
	e := s.Service.Engine
	if e == nil {
		e = &directory.Engine{}
	}
	o.Values = append(o.Values, Value{"KV tokens", text(e.KVTokens)}, Value{"slots", text(e.Slots)},
		Value{"event tokens", text(e.EventTokens)}, Value{"KV cache kept", text(e.HandleTTL)},
		Value{"role switch", text(e.RoleSwitch)}, Value{"max reservation", text(e.MaxReservation)})
	return o
}

func accountObject(a *directory.Account) Object {
	priority := ""
	if a.Ranked {
		priority = strconv.Itoa(a.Priority)
	}
	unit := "requests"
	if a.Quota.ByTokens {
		unit = "tokens"
	}
	return Object{Kind: "account", Name: string(a.ID), Values: []Value{
		{"priority", priority}, {"unit", unit}, {"rate", number(a.Quota.PerSecond)}, {"burst", number(a.Quota.Burst)},
		{"cost without a size", number(a.Quota.PlainCost)}, {"home regions", regions(a.Homes)},
	}}
}

func text(v any) string {
	return fmt.Sprint(v)
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func regions(names []zone.Region) string {
	words := make([]string, 0, len(names))
	for _, name := range names {
		words = append(words, string(name))
	}
	return strings.Join(words, " ")
}
