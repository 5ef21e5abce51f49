// Package configstore keeps the configuration in the platform's services. The
// table has one head row, which names the highest revision, and one row for
// each accepted change; both are written in one transaction that is conditional
// on the head row, so a change is accepted exactly if its row exists. Whole
// snapshots go to the object store now and then, so that the log stays short;
// older changes are moved to the object store as the audit trail.
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

// Names of rows and objects.
const (
	headKey        = "config/head"
	logPrefix      = "config/log/"
	snapshotPrefix = "config/snapshot/"
	auditPrefix    = "config/audit/"
)

// SnapshotEvery is the number of changes between two stored snapshots.
const SnapshotEvery = 64

// Errors of this layer. Commit returns those of contract/config.
var (
	// ErrUnreadable means that what the store holds cannot be read.
	ErrUnreadable = errors.New("configstore: stored configuration cannot be read")
	// ErrUnavailable means that the store could not be read.
	ErrUnavailable = errors.New("configstore: store unavailable")
)

// head is the head row.
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

// entry is one row of the log.
type entry struct {
	Change config.Change
	// WriteID tells this attempt's row from that of a racing one.
	WriteID string
}

// Store reads and changes the configuration. It implements config.Store.
type Store struct {
	table   platform.Table
	objects platform.Objects
}

// New returns a store over the platform's services.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// readHead reads the head row; a store without one has revision 0.
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

// Head gives the highest accepted revision.
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

// auditName holds both ends of the range, so that a late writer of a shorter
// range replaces nothing.
func auditName(from, upTo contract.Revision) string {
	return fmt.Sprintf("%s%020d-%020d", auditPrefix, from, upTo)
}

// newWriteID is unique to one attempt.
func newWriteID() string {
	return rand.Text()
}
