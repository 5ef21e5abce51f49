package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Store holds accepted configurations for good.
type Store interface {
	// Load reads the newest configuration.
	Load(ctx context.Context, have *Snapshot) (Loaded, error)
	// Accept asks the store to take a change that follows the base snapshot.
	// The error wraps ConflictError, ErrNotAccepted or ErrUndecided.
	Accept(ctx context.Context, base *Snapshot, change Change) error
	// Audit reads up to limit accepted changes, newest first, from a revision
	// downwards; 0 means the newest.
	Audit(ctx context.Context, from contract.Revision, limit int) ([]Change, error)
}

// Loaded is what a store found.
type Loaded struct {
	// Snapshot has the highest revision that was found. It is the one that
	// the caller had if the store has no higher one.
	Snapshot *Snapshot
	// Changes lead from the caller's snapshot to this one; nil if a whole
	// snapshot was read in place of them.
	Changes []Change
}

// Errors of Store.Accept.
var (
	// ErrNotAccepted means that the store took nothing: the configuration is
	// as it was.
	ErrNotAccepted = errors.New("not accepted, the store took nothing")
	// ErrUndecided means that the store may have taken the change and could
	// not be asked. The audit trail will show it.
	ErrUndecided = errors.New("undecided, the change may have been accepted; look it up under revisions before repeating it")
)

// ConflictError means that another change was accepted first.
type ConflictError struct {
	Expected contract.Revision
	// Winner is the highest accepted revision, made by By at At.
	Winner contract.Revision
	By     string
	At     time.Time
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was expected, but revision %d by %s was accepted at %s",
		e.Expected, e.Winner, e.By, e.At.Format(time.RFC3339))
}
