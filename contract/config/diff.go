package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Difference is one object that differs between two snapshots. Before is empty
// for a new object and After for a removed one.
type Difference struct {
	Kind   Kind
	Name   string
	Before string
	After  string
}

// Diff lists the objects that differ, in order of kind and name.
func Diff(before, after *Snapshot) []Difference {
	var all []Difference
	all = append(all, diffRows(KindAccount, before.Accounts, after.Accounts, accountWords)...)
	all = append(all, diffRows(KindKey, before.Keys, after.Keys, keyWords)...)
	all = append(all, diffRows(KindRoute, before.Routes, after.Routes, routeWords)...)
	all = append(all, diffRows(KindUpstream, before.Upstreams, after.Upstreams, upstreamStateWords)...)
	return all
}

// Withdrawn lists the keys that worked in the old snapshot and do not in the
// new one, so that what runs for them can be ended.
func Withdrawn(before, after *Snapshot) []contract.KeyHash {
	var hashes []contract.KeyHash
	for hash := range before.Keys {
		_, was := before.CheckKey(hash)
		_, is := after.CheckKey(hash)
		if was == nil && is != nil {
			hashes = append(hashes, hash)
		}
	}
	slices.SortFunc(hashes, func(a, b contract.KeyHash) int { return slices.Compare(a[:], b[:]) })
	return hashes
}

func diffRows[K comparable, V any](kind Kind, before, after map[K]V, words func(V) string) []Difference {
	var rows []Difference
	for key, old := range before {
		next, ok := after[key]
		row := Difference{Kind: kind, Name: keyName(key), Before: words(old)}
		if ok {
			row.After = words(next)
		}
		if row.Before != row.After {
			rows = append(rows, row)
		}
	}
	for key, next := range after {
		if _, ok := before[key]; !ok {
			rows = append(rows, Difference{Kind: kind, Name: keyName(key), After: words(next)})
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
