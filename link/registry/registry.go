// Package registry is the interface to the store of a platform on which
// upstreams register themselves and operators leave their configuration. An
// implementation carries and decodes; it decides nothing.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Errors of the calls.
var (
	// ErrHistoryGone means that changes since a version are no longer known:
	// the whole has to be read.
	ErrHistoryGone = errors.New("registry: history is gone")
	// ErrConflict means that a row is not at the version that was expected.
	ErrConflict = errors.New("registry: conflict")
	// ErrUnclear means that a write may have been done.
	ErrUnclear = errors.New("registry: no answer to a write")
)

// Record is one upstream as it registered itself.
type Record struct {
	ID      upstream.ID
	Service directory.ServiceName
	Addr    string
	Zone    zone.AvailabilityZone
	// Role is RoleService for upstreams that run no model.
	Role  upstream.Role
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// Warmup is how much longer the upstream stays slow after its start.
	Warmup time.Duration
	// Born tells two runs of one upstream apart.
	Born int64
}

// Upstreams is a change of the list of upstreams, or the whole list.
type Upstreams struct {
	// Version is the store's, up to which the list is known.
	Version uint64
	// Whole means that upstreams not among Present are gone.
	Whole   bool
	Present []Record
	Gone    []upstream.ID
}

// Configs is a change of the configuration.
type Configs struct {
	// Version is the store's, up to which the configuration is known.
	Version uint64
	// Newest is nil if nothing changed.
	Newest *directory.Snapshot
}

// Lease is one row that one holder has at a time. Its fencing number rises with
// each renewal.
type Lease struct {
	Holder  string
	Fencing uint64
	// ReadAt is the registry's clock when it was read.
	ReadAt time.Duration
	// Age is the time since it was written, by the registry's clock.
	Age time.Duration
}

// Entry is another process of the system.
type Entry struct {
	Name string
	Addr string
}

// Registry is the platform's store.
type Registry interface {
	// ReadUpstreams gives the whole list.
	ReadUpstreams(ctx context.Context) (Upstreams, error)
	// WatchUpstreams waits for changes after a version, at most for wait.
	WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) (Upstreams, error)
	// ReadConfig gives the configuration.
	ReadConfig(ctx context.Context) (Configs, error)
	// WatchConfig waits for a configuration after a version, at most for wait.
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (Configs, error)
	// ReadLease gives a lease; ok is false if nobody ever held it.
	ReadLease(ctx context.Context, name string) (lease Lease, ok bool, err error)
	// WriteLease writes a lease that is still as it was read and gives the new
	// fencing number.
	WriteLease(ctx context.Context, name string, read Lease, holder string) (fencing uint64, err error)
	// Enter adds this process to the list of entries.
	Enter(ctx context.Context, self Entry) error
	// Entries gives all processes that entered.
	Entries(ctx context.Context) ([]Entry, error)
}
