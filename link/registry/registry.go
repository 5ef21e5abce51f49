// Package registry defines the interface to a platform's store, in which upstreams
// register themselves and operators keep the configuration. Gateways call it. An
// implementation transfers and decodes rows; decisions are left to the caller.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Errors of a Registry, wrapped in those of its calls.
var (
	// ErrHistoryGone means that the store no longer has the changes after a
	// version, so that the caller has to read the full state.
	ErrHistoryGone = errors.New("registry: change history is no longer available")
	// ErrNoAnswer means that a call got no answer: its connection broke or carried nothing
	// more.
	ErrNoAnswer = errors.New("registry: no answer")
	// ErrConflict means that a row does not have the expected version; nothing was
	// written.
	ErrConflict = errors.New("registry: version conflict")
	// ErrOutcomeUnknown means that the outcome of a write is unknown.
	ErrOutcomeUnknown = errors.New("registry: outcome of a write is unknown")
)

// Record is the row that one upstream registered for itself.
type Record struct {
	ID      upstream.ID
	Service directory.ServiceName
	Addr    string
	Zone    zone.AvailabilityZone
	// Role is RoleService for upstreams that run no model.
	Role  upstream.Role
	Slots int
	// Draining means that the upstream takes no new work.
	Draining bool
	// Warmup is the time left for which the upstream is slow after its start.
	Warmup time.Duration
	// Born identifies one run of the upstream; it differs after a restart.
	Born int64
}

// Upstreams holds changes to the list of upstreams, or the full list.
type Upstreams struct {
	// Version is the store's version up to which the changes are included, see VersionOf.
	Version uint64
	// Whole means that Present is the full list: all other upstreams are removed.
	Whole bool
	// Present lists the added and changed upstreams, Gone the removed ones.
	Present []Record
	Gone    []upstream.ID
}

// ConfigUpdate holds the result of a read of the configuration and the evacuated zones.
type ConfigUpdate struct {
	// Version is the store's version up to which the configuration is known.
	Version uint64
	// Newest is the current configuration; nil if it did not change.
	Newest *directory.Snapshot
	// Evacuations is what the read shows of the evacuated zones, with the same Version. It
	// is whole if the read had no starting version.
	Evacuations zone.EvacuationUpdate
	// Transfer describes how the answer arrived.
	Transfer Transfer
}

// Transfer describes how an answer arrived.
type Transfer struct {
	// Bytes is the length of the answer.
	Bytes int
	// Took is the time from the head of the answer to its end, Decode that to decode it.
	Took, Decode time.Duration
}

// Add returns the transfer of two answers that were read one after the other.
func (t Transfer) Add(other Transfer) Transfer {
	return Transfer{t.Bytes + other.Bytes, t.Took + other.Took, t.Decode + other.Decode}
}

// Lease is a row that one process holds at a time. Its fencing number rises with
// each write, renewals included.
type Lease struct {
	Holder  string
	Fencing uint64
	// ReadAt is the registry's clock at the time of the read.
	ReadAt time.Duration
	// Age is the time since the last write, by the registry's clock.
	Age time.Duration
	// RestoredAt is when this process noticed that the registry had come back from an older
	// copy, which may lack the last writes; zero if it has not.
	RestoredAt time.Time
}

// Entry is one gateway process in the registry's list of gateways. It is unrelated to
// the entries of package link/peer.
type Entry struct {
	Name string
	Addr string
}

// Registry is the platform's store.
type Registry interface {
	// ReadUpstreams returns the full list.
	ReadUpstreams(ctx context.Context) (Upstreams, error)
	// WatchUpstreams returns the changes after a version. If there are none, it
	// waits for one, at most for wait.
	WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) (Upstreams, error)
	// ReadConfig returns the configuration and all evacuated zones.
	ReadConfig(ctx context.Context) (ConfigUpdate, error)
	// WatchConfig waits for changes of the configuration or the evacuated zones after a
	// version, at most for wait.
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (ConfigUpdate, error)
	// ReadLease returns a lease; ok is false if it was never written, and then Holder and
	// Age are not set.
	ReadLease(ctx context.Context, name string) (lease Lease, ok bool, err error)
	// WriteLease writes a lease and returns its new fencing number. It fails with
	// ErrConflict if the lease was written after read, and with ErrOutcomeUnknown if the
	// outcome is unknown.
	WriteLease(ctx context.Context, name string, read Lease, holder string) (fencing uint64, err error)
	// Register adds this process to the list of entries or updates its address.
	Register(ctx context.Context, self Entry) error
	// Entries returns all processes that called Register.
	Entries(ctx context.Context) ([]Entry, error)
	// SaveDemand stores the demand for services, for processes that start when no
	// other one runs.
	SaveDemand(ctx context.Context, tallies map[directory.ServiceName]demand.Tally) error
	// LoadDemand returns the demand that was stored last.
	LoadDemand(ctx context.Context) (map[directory.ServiceName]demand.Tally, error)
	// SaveBans stores the parts of prompts that crash engines, for processes that start
	// when no other one runs.
	SaveBans(ctx context.Context, bans []quarantine.BanNote) error
	// LoadBans returns the bans that were stored last.
	LoadBans(ctx context.Context) ([]quarantine.BanNote, error)
}
