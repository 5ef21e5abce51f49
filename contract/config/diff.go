package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Difference is one object that differs between two snapshots, in textual form.
// Before is empty for an added object, After for a removed one.
type Difference struct {
	Kind   Kind
	Name   string
	Before string
	After  string
}

// Diff lists the objects that differ, sorted by kind and name.
func Diff(before, after *Snapshot) []Difference {
	var all []Difference
	all = append(all, diffRows(KindAccount, before.Accounts, after.Accounts, formatAccount)...)
	all = append(all, diffRows(KindKey, before.Keys, after.Keys, formatKey)...)
	all = append(all, diffRows(KindRoute, before.Routes, after.Routes, formatRoute)...)
	all = append(all, diffRows(KindUpstream, before.Upstreams, after.Upstreams, formatUpstreamWithState)...)
	return all
}

// InvalidatedKeys lists, in order, the keys that are valid in before and invalid in
// after, whether withdrawn, deleted or without account. Requests that run with
// them must be ended.
func InvalidatedKeys(before, after *Snapshot) []contract.KeyHash {
	var hashes []contract.KeyHash
	for hash := range before.Keys {
		_, refusedBefore := before.CheckKey(hash)
		_, refusedAfter := after.CheckKey(hash)
		if refusedBefore == nil && refusedAfter != nil {
			hashes = append(hashes, hash)
		}
	}
	slices.SortFunc(hashes, func(a, b contract.KeyHash) int { return slices.Compare(a[:], b[:]) })
	return hashes
}

func diffRows[K comparable, V any](kind Kind, before, after map[K]V, format func(V) string) []Difference {
	var rows []Difference
	for key, old := range before {
		next, ok := after[key]
		row := Difference{Kind: kind, Name: keyName(key), Before: format(old)}
		if ok {
			row.After = format(next)
		}
		if row.Before != row.After {
			rows = append(rows, row)
		}
	}
	for key, next := range after {
		if _, ok := before[key]; !ok {
			rows = append(rows, Difference{Kind: kind, Name: keyName(key), After: format(next)})
		}
	}
	slices.SortFunc(rows, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

func keyName[K comparable](key K) string {
	if hash, ok := any(key).(contract.KeyHash); ok {
		return hash.Short()
	}
	return fmt.Sprint(key)
}
