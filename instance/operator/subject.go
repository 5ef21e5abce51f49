package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Subject is the kind of object that a query lists.
type Subject string

// Subjects of queries.
const (
	Requests  Subject = "requests"
	Upstreams Subject = "upstreams"
	Instances Subject = "instances"
	Zones     Subject = "zones"
	Accounts  Subject = "accounts"
	Keys      Subject = "keys"
	Routes    Subject = "routes"
	Rates     Subject = "rates"
	Revisions Subject = "revisions"
)

// Subjects returns all subjects in a fixed order, as a new slice.
func Subjects() []Subject {
	return []Subject{Requests, Upstreams, Instances, Zones, Accounts, Keys, Routes, Rates, Revisions}
}

// ColumnsOf returns the columns of a subject, or nil if the subject is unknown.
func ColumnsOf(s Subject) []Column {
	switch s {
	case Requests:
		return columnHeaders(requestColumns)
	case Upstreams:
		return columnHeaders(upstreamColumns)
	case Instances:
		return columnHeaders(instanceColumns)
	case Zones:
		return columnHeaders(zoneColumns)
	case Accounts:
		return columnHeaders(accountColumns)
	case Keys:
		return columnHeaders(keyColumns)
	case Routes:
		return columnHeaders(routeColumns)
	case Rates:
		return columnHeaders(rateColumns)
	case Revisions:
		return columnHeaders(revisionColumns)
	default:
		return nil
	}
}

var requestColumns = []column[RequestRow]{
	{Column{"id", Text}, func(r RequestRow) Value { return text(r.ID) }},
	{Column{"account", Text}, func(r RequestRow) Value { return text(r.Account) }},
	{Column{"route", Text}, func(r RequestRow) Value { return text(r.Route) }},
	{Column{"state", Text}, func(r RequestRow) Value { return text(r.State) }},
	{Column{"upstream", Text}, func(r RequestRow) Value { return text(r.Upstream) }},
	{Column{"zone", Text}, func(r RequestRow) Value { return text(r.Zone) }},
	{Column{"entry", Text}, func(r RequestRow) Value { return text(r.Entry) }},
	{Column{"attempt", Number}, func(r RequestRow) Value { return number(int(r.Attempt)) }},
	{Column{"age", Duration}, func(r RequestRow) Value { return duration(r.Age) }},
}

// upstreamRow is an upstream of the configuration with its most recent load report.
// load is the zero value if no instance answered with one; the column answers shows
// whether one did, service shows the pool and address that of the sidecar.
type upstreamRow struct {
	upstream.Upstream
	load    upstream.Load
	hasLoad bool
}

var upstreamColumns = []column[upstreamRow]{
	{Column{"name", Text}, func(r upstreamRow) Value { return text(r.ID) }},
	{Column{"role", Text}, func(r upstreamRow) Value { return text(r.Role.String()) }},
	{Column{"state", Text}, func(r upstreamRow) Value { return text(r.State.String()) }},
	{Column{"region", Text}, func(r upstreamRow) Value { return text(r.Place.Region) }},
	{Column{"zone", Text}, func(r upstreamRow) Value { return text(r.Place.Zone) }},
	{Column{"service", Text}, func(r upstreamRow) Value { return text(r.Pool) }},
	{Column{"models", Text}, func(r upstreamRow) Value { return text(formatModels(r.Upstream)) }},
	{Column{"address", Text}, func(r upstreamRow) Value { return text(r.SidecarAddr) }},
	{Column{"answers", Bool}, func(r upstreamRow) Value { return boolean(r.hasLoad) }},
	{Column{"slots", Number}, func(r upstreamRow) Value { return number(r.load.Slots) }},
	{Column{"free_slots", Number}, func(r upstreamRow) Value { return number(r.load.FreeSlots) }},
	{Column{"blocks", Number}, func(r upstreamRow) Value { return number(r.load.Blocks) }},
	{Column{"free_blocks", Number}, func(r upstreamRow) Value { return number(r.load.FreeBlocks) }},
	{Column{"queued_tokens", Number}, func(r upstreamRow) Value { return number(r.load.QueuedTokens) }},
}

var instanceColumns = []column[InstanceRow]{
	{Column{"name", Text}, func(r InstanceRow) Value { return text(r.Name) }},
	{Column{"kind", Text}, func(r InstanceRow) Value { return text(r.Kind) }},
	{Column{"state", Text}, func(r InstanceRow) Value { return text(r.State) }},
	{Column{"region", Text}, func(r InstanceRow) Value { return text(r.Place.Region) }},
	{Column{"zone", Text}, func(r InstanceRow) Value { return text(r.Place.Zone) }},
	{Column{"revision", Number}, func(r InstanceRow) Value { return number(r.Revision) }},
	{Column{"running", Number}, func(r InstanceRow) Value { return number(r.Running) }},
	{Column{"started", Time}, func(r InstanceRow) Value { return timestamp(r.Started) }},
}

// zoneRow holds the totals of an availability zone: instances by kind, upstreams in
// the configuration, those of them in state serving, and running requests.
type zoneRow struct {
	place                                 zone.Place
	entries, sidecars, upstreams, serving int
	running                               int
}

var zoneColumns = []column[zoneRow]{
	{Column{"name", Text}, func(r zoneRow) Value { return text(r.place.Zone) }},
	{Column{"region", Text}, func(r zoneRow) Value { return text(r.place.Region) }},
	{Column{"entries", Number}, func(r zoneRow) Value { return number(r.entries) }},
	{Column{"sidecars", Number}, func(r zoneRow) Value { return number(r.sidecars) }},
	{Column{"upstreams", Number}, func(r zoneRow) Value { return number(r.upstreams) }},
	{Column{"serving", Number}, func(r zoneRow) Value { return number(r.serving) }},
	{Column{"running", Number}, func(r zoneRow) Value { return number(r.running) }},
}

// accountRow is a client account with the number of its keys that are not withdrawn.
type accountRow struct {
	contract.ClientAccount
	keys int
}

var accountColumns = []column[accountRow]{
	{Column{"name", Text}, func(r accountRow) Value { return text(r.ID) }},
	{Column{"rate", Number}, func(r accountRow) Value { return number(r.Rate.PerSecond) }},
	{Column{"burst", Number}, func(r accountRow) Value { return number(r.Rate.Burst) }},
	{Column{"weight", Number}, func(r accountRow) Value { return number(r.Weight) }},
	{Column{"keys", Number}, func(r accountRow) Value { return number(r.keys) }},
}

var keyColumns = []column[contract.Key]{
	{Column{"hash", Text}, func(k contract.Key) Value { return text(HashPrefix(k.Hash)) }},
	{Column{"account", Text}, func(k contract.Key) Value { return text(k.Account) }},
	{Column{"label", Text}, func(k contract.Key) Value { return text(k.Label) }},
	{Column{"withdrawn", Bool}, func(k contract.Key) Value { return boolean(k.Withdrawn) }},
}

var routeColumns = []column[contract.Route]{
	{Column{"name", Text}, func(r contract.Route) Value { return text(r.Name) }},
	{Column{"kind", Text}, func(r contract.Route) Value { return text(r.Kind.String()) }},
	{Column{"model", Text}, func(r contract.Route) Value { return text(r.Model) }},
	{Column{"service", Text}, func(r contract.Route) Value { return text(r.Service) }},
	{Column{"path", Text}, func(r contract.Route) Value { return text(r.PathPrefix) }},
	{Column{"open", Bool}, func(r contract.Route) Value { return boolean(r.Open) }},
	{Column{"repeatable", Bool}, func(r contract.Route) Value { return boolean(r.Repeatable) }},
	{Column{"patient", Bool}, func(r contract.Route) Value { return boolean(r.Patient) }},
	{Column{"timeout", Duration}, func(r contract.Route) Value { return duration(r.Timeout) }},
	{Column{"first_token", Duration}, func(r contract.Route) Value { return duration(r.Targets.FirstToken) }},
	{Column{"between_tokens", Duration}, func(r contract.Route) Value { return duration(r.Targets.BetweenTokens) }},
	{Column{"cost", Number}, func(r contract.Route) Value { return number(r.CallCost) }},
}

var rateColumns = []column[RateRow]{
	{Column{"account", Text}, func(r RateRow) Value { return text(r.Account) }},
	{Column{"entry", Text}, func(r RateRow) Value { return text(r.Entry) }},
	{Column{"in_hand", Number}, func(r RateRow) Value { return number(r.InHand) }},
	{Column{"cap", Number}, func(r RateRow) Value { return number(r.Cap) }},
	{Column{"waiting", Number}, func(r RateRow) Value { return number(r.Waiting) }},
}

var revisionColumns = []column[config.Change]{
	{Column{"revision", Number}, func(c config.Change) Value { return number(c.Revision) }},
	{Column{"at", Time}, func(c config.Change) Value { return timestamp(c.At) }},
	{Column{"by", Text}, func(c config.Change) Value { return text(c.By) }},
	{Column{"command", Text}, func(c config.Change) Value { return text(c.Command.String()) }},
}

// hashPrefixBytes is the number of bytes of a key's hash that are shown: enough to
// identify one of thousands of keys.
const hashPrefixBytes = 8

// HashPrefix returns the start of a key's hash in hexadecimal, which operators use to
// identify the key.
func HashPrefix(h contract.KeyHash) string {
	return fmt.Sprintf("%x", h[:hashPrefixBytes])
}

// formatModels returns the models of an upstream separated by commas, each with
// "=version" if a version is required.
func formatModels(u upstream.Upstream) string {
	words := make([]string, 0, len(u.Models))
	for _, model := range u.Models {
		word := string(model)
		if version, ok := u.Versions[model]; ok {
			word += "=" + version
		}
		words = append(words, word)
	}
	return strings.Join(words, ",")
}

func accountRows(s *config.Snapshot) []accountRow {
	validKeys := make(map[contract.AccountID]int)
	for _, key := range s.Keys {
		if !key.Withdrawn {
			validKeys[key.Account]++
		}
	}
	rows := make([]accountRow, 0, len(s.Accounts))
	for _, a := range s.Accounts {
		rows = append(rows, accountRow{a, validKeys[a.ID]})
	}
	return rows
}

func upstreamRows(s *config.Snapshot, loads map[upstream.ID]upstream.Load) []upstreamRow {
	rows := make([]upstreamRow, 0, len(s.Upstreams))
	for id, u := range s.Upstreams {
		load, hasLoad := loads[id]
		rows = append(rows, upstreamRow{u, load, hasLoad})
	}
	return rows
}

func zoneRows(s *config.Snapshot, instances []InstanceRow) []zoneRow {
	byPlace := make(map[zone.Place]*zoneRow)
	rowOf := func(place zone.Place) *zoneRow {
		row, ok := byPlace[place]
		if !ok {
			row = &zoneRow{place: place}
			byPlace[place] = row
		}
		return row
	}
	for _, u := range s.Upstreams {
		row := rowOf(u.Place)
		row.upstreams++
		if u.State == upstream.StateServing {
			row.serving++
		}
	}
	for _, i := range instances {
		row := rowOf(i.Place)
		if i.Kind == "entry" {
			row.entries++
			row.running += i.Running
		} else {
			row.sidecars++
		}
	}
	var rows []zoneRow
	for _, row := range byPlace {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b zoneRow) int { return cmp.Compare(a.place.Zone, b.place.Zone) })
	return rows
}
