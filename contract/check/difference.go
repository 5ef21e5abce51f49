package check

import (
	"cmp"
	"slices"
	"strings"
)

// ChangeKind is how an object or field differs. Its values are used in output.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Difference is an object that was added or removed, or a field that was changed.
type Difference struct {
	Change     ChangeKind
	Kind, Name string
	// Field is empty for objects that were added or removed.
	Field string
	// Old and New are the value of the field, or all values of the object. Old is empty
	// for added objects, New for removed ones.
	Old, New string
}

// Object is a configured object in textual form, without secrets.
type Object struct {
	Kind, Name string
	// ID distinguishes objects of the same kind and name.
	ID     string
	Values []Value
}

// Value is a field of an object in textual form.
type Value struct {
	Field, Text string
}

func (o Object) key() string {
	return o.Kind + "\x00" + o.Name + "\x00" + o.ID
}

// values returns the values that are set.
func (o Object) values() string {
	var words []string
	for _, v := range o.Values {
		switch v.Text {
		case "", "false", "0", "0s":
		default:
			words = append(words, v.Field+" "+v.Text)
		}
	}
	return strings.Join(words, ", ")
}

// Differences lists what differs between two lists of objects, sorted by kind and name.
// Objects of the same kind have the same fields in the same order.
func Differences(before, after []Object) []Difference {
	var all []Difference
	old := make(map[string]Object, len(before))
	for _, o := range before {
		old[o.key()] = o
	}
	seen := make(map[string]bool, len(after))
	for _, o := range after {
		seen[o.key()] = true
		was, ok := old[o.key()]
		if !ok {
			all = append(all, Difference{Change: Added, Kind: o.Kind, Name: o.Name, New: o.values()})
			continue
		}
		for i, v := range o.Values {
			if text := was.Values[i].Text; text != v.Text {
				all = append(all, Difference{Changed, o.Kind, o.Name, v.Field, text, v.Text})
			}
		}
	}
	for _, o := range before {
		if !seen[o.key()] {
			all = append(all, Difference{Change: Removed, Kind: o.Kind, Name: o.Name, Old: o.values()})
		}
	}
	slices.SortStableFunc(all, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return all
}
