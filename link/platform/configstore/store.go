// Package configstore stores the configuration in the platform's services. The
// table has one head row, which names the highest revision, and a log with one row
// for each accepted change; both are written in one transaction that is
// conditional on the head row, so a change is accepted if and only if its row
// exists. Every SnapshotEvery changes a whole snapshot is written to the object
// store, so that the log stays short, and older changes are moved to the object
// store as the audit trail.
package configstore

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Keys of rows and names of objects.
const (
	headKey        = "config/head"
	logPrefix      = "config/log/"
	snapshotPrefix = "config/snapshot/"
	auditPrefix    = "config/audit/"
)

// SnapshotEvery is the number of changes between two stored snapshots.
const SnapshotEvery = 64

// Errors of reads. Commit returns errors of contract/config instead.
var (
	// ErrUnreadable means that stored data cannot be decoded or replayed.
	ErrUnreadable = errors.New("configstore: stored configuration cannot be decoded")
	// ErrUnavailable means that the store could not be read.
	ErrUnavailable = errors.New("configstore: store unavailable")
)

// head is the value of the head row.
type head struct {
	Revision contract.Revision
	By       string
	At       time.Time
	// Snapshot is the revision of the newest stored snapshot, 0 for none.
	Snapshot contract.Revision
	// LogFrom is the lowest revision whose change is still in the table.
	LogFrom contract.Revision
	// version is the row's version in the table, 0 when there is no row.
	version uint64
}

// entry is the value of one row of the log. The encoding stores the type's name.
type entry struct {
	Change config.Change
	// WriteID identifies the call of Commit that wrote the row, so that the
	// call recognizes its own row.
	WriteID string
}

// Store reads and changes the configuration. It implements config.Store and holds
// no state besides the services.
type Store struct {
	table   platform.Table
	objects platform.Objects
}

// New returns a store over the platform's services.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// readHead reads the head row. A store without one is at revision 0.
func (s *Store) readHead(ctx context.Context) (head, error) {
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return head{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(rows) == 0 {
		return head{LogFrom: 1}, nil
	}
	var h head
	if err := configcodec.Decode(rows[0].Value, &h); err != nil {
		return head{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	h.version = rows[0].Version
	return h, nil
}

// Head returns the highest accepted revision.
func (s *Store) Head(ctx context.Context) (contract.Revision, error) {
	h, err := s.readHead(ctx)
	return h.Revision, err
}

func logKey(revision contract.Revision) string {
	return fmt.Sprintf("%s%020d", logPrefix, revision)
}

func snapshotName(revision contract.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// auditName contains both ends of the range, so that a delayed write of a shorter
// range cannot replace another object.
func auditName(from, upTo contract.Revision) string {
	return fmt.Sprintf("%s%020d-%020d", auditPrefix, from, upTo)
}

// newWriteID returns a random identifier, unique to one call of Commit.
func newWriteID() string {
	return rand.Text()
}
