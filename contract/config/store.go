package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Store is the durable store of configuration changes.
type Store interface {
	// Load reads the newest configuration. have is the caller's snapshot, so
	// that only later changes have to be read.
	Load(ctx context.Context, have *Snapshot) (Loaded, error)
	// Commit commits a change to the base snapshot. Its errors wrap
	// ConflictError, ErrNotAccepted or ErrOutcomeUnknown.
	Commit(ctx context.Context, base *Snapshot, change Change) error
	// Audit returns up to limit accepted changes in descending order of
	// revision, starting at from; 0 starts at the newest.
	Audit(ctx context.Context, from contract.Revision, limit int) ([]Change, error)
}

// Loaded is the result of Store.Load.
type Loaded struct {
	// Snapshot has the highest revision found. It is the caller's snapshot if
	// the store has no higher revision.
	Snapshot *Snapshot
	// Changes lead from the caller's snapshot to this one; nil if the whole
	// snapshot was read instead.
	Changes []Change
}

// Errors of Store.Commit.
var (
	// ErrNotAccepted means that the change was not stored: the configuration
	// is unchanged.
	ErrNotAccepted = errors.New("change not accepted: the store is unchanged")
	// ErrOutcomeUnknown means that the change may have been stored and the store
	// could not be queried. The audit trail shows the outcome.
	ErrOutcomeUnknown = errors.New("outcome undecided: the change may have been accepted; check the revisions before repeating it")
)

// ConflictError means that another change was accepted first.
type ConflictError struct {
	Expected contract.Revision
	// Winner is the highest accepted revision, By its author, At its time.
	Winner contract.Revision
	By     string
	At     time.Time
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was expected, but revision %d by %s was accepted at %s",
		e.Expected, e.Winner, e.By, e.At.Format(time.RFC3339))
}
