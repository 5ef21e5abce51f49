package roster

import (
	"maps"

	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// MaxUpstreams bounds the upstreams on a board, as the rows of the list that is read whole are
// bounded. It is twenty times the design size.
const MaxUpstreams = 100_000

// addressBook tracks which upstream has each address, and the addresses whose upstream has
// left, moved, or lost them to another one since TakeReleased.
type addressBook struct {
	owners   map[string]upstream.ID
	released []runner.Target
}

// claimAddress gives an address to the upstream that registered it last. old is its former
// record, nil if it is new. A record that is written again with the same address does not
// take it back.
func (b *Board) claimAddress(old *Upstream, record registry.Record) {
	if old != nil && old.Addr == record.Addr && old.Born == record.Born {
		return
	}
	if old != nil && old.Addr != record.Addr {
		b.releaseAddress(old.Record)
	}
	if owner, ok := b.addresses.owners[record.Addr]; ok && owner != record.ID {
		b.addresses.released = append(b.addresses.released, runner.Target{ID: owner, Addr: record.Addr})
	}
	b.addresses.owners[record.Addr] = record.ID
}

// releaseAddress frees the address of an upstream that left or moved, unless another one has
// it by now.
func (b *Board) releaseAddress(r registry.Record) {
	if b.addresses.owners[r.Addr] != r.ID {
		return
	}
	delete(b.addresses.owners, r.Addr)
	b.addresses.released = append(b.addresses.released, runner.Target{ID: r.ID, Addr: r.Addr, Born: r.Born})
}

// TakeReleased returns, once, the upstreams whose address is no longer theirs. Connections
// to these addresses are of no use.
func (b *Board) TakeReleased() []runner.Target {
	out := b.addresses.released
	b.addresses.released = nil
	return out
}

// removeEmptyGroups removes the groups of services and roles without upstreams. If less than
// half are left, the map is made anew: a map keeps the room of its removed entries, and a list
// of new services is on it together with the one that it replaces.
func (b *Board) removeEmptyGroups() {
	before := len(b.groups)
	for key, g := range b.groups {
		if len(g.members) == 0 {
			delete(b.groups, key)
		}
	}
	if left := len(b.groups); left < before && left <= before/2+1 {
		groups := make(map[groupKey]*group, left)
		maps.Copy(groups, b.groups)
		b.groups = groups
	}
}

// Has reports whether an upstream is on the board.
func (b *Board) Has(id upstream.ID) bool {
	_, ok := b.upstreams[id]
	return ok
}
