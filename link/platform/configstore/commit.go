package configstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// commitAttempts bounds the attempts to learn the outcome of a write;
// commitBackoff is the wait after the first and doubles each time.
const (
	commitAttempts = 6
	commitBackoff  = 100 * time.Millisecond
)

// Commit stores a change that follows the base snapshot. After a nil error the
// change is accepted and durable. Otherwise the error wraps config.ConflictError,
// config.ErrNotAccepted or config.ErrOutcomeUnknown.
func (s *Store) Commit(ctx context.Context, base *config.Snapshot, change config.Change) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", config.ErrNotAccepted, err)
	}
	if h.Revision != base.Revision {
		return &config.ConflictError{Expected: base.Revision, Winner: h.Revision, By: h.By, At: h.At}
	}
	writeID := newWriteID()
	tx, err := s.transaction(ctx, h, base, change, writeID)
	if err != nil {
		return fmt.Errorf("%w: %w", config.ErrNotAccepted, err)
	}
	return s.commitUntilKnown(ctx, tx, change, writeID)
}

// transaction builds the write of the head row and the log row of the change, and
// adds the trimming of the log when a snapshot is due.
func (s *Store) transaction(ctx context.Context, h head, base *config.Snapshot, change config.Change, writeID string) (platform.Transaction, error) {
	next := head{Revision: change.Revision, By: change.By, At: change.At, Snapshot: h.Snapshot, LogFrom: h.LogFrom}
	var deletions []platform.Write
	if base.Revision >= h.Snapshot+SnapshotEvery {
		deletions = s.trimLog(ctx, h, base, &next)
	}
	headValue, err := configcodec.Encode(next)
	if err != nil {
		return platform.Transaction{}, err
	}
	row, err := configcodec.Encode(entry{Change: change, WriteID: writeID})
	if err != nil {
		return platform.Transaction{}, err
	}
	writes := []platform.Write{
		{Key: headKey, Value: headValue},
		{Key: logKey(change.Revision), Value: row},
	}
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: headKey, Version: h.version}},
		Writes:     append(writes, deletions...),
	}, nil
}

// commitUntilKnown repeats the transaction until its outcome is known, at most
// commitAttempts times. The transaction is conditional on the version of the head
// row, so repeating it cannot apply it twice, and after a conflict no earlier copy
// of it can still be applied.
func (s *Store) commitUntilKnown(ctx context.Context, tx platform.Transaction, change config.Change, writeID string) error {
	maybeWritten := false
	for attempt := range commitAttempts {
		err := s.table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return s.afterConflict(ctx, change, writeID, maybeWritten)
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
			if !maybeWritten {
				return fmt.Errorf("%w: %w", config.ErrNotAccepted, err)
			}
		default:
			maybeWritten = true
		}
		if done, err := s.readBack(ctx, change, writeID); done {
			return err
		}
		if !clock.Wait(ctx, commitBackoff<<attempt) {
			break
		}
	}
	return config.ErrOutcomeUnknown
}

// readBack looks for the outcome of a write whose response was lost. done is
// false if there is no row, since the write may still be in flight.
func (s *Store) readBack(ctx context.Context, change config.Change, writeID string) (done bool, err error) {
	rows, err := s.table.Get(ctx, logKey(change.Revision))
	if err != nil || len(rows) == 0 {
		return false, nil
	}
	found, err := decodeEntry(rows[0])
	if err != nil {
		return true, fmt.Errorf("%w: %w", config.ErrOutcomeUnknown, err)
	}
	if found.WriteID == writeID {
		return true, nil
	}
	return true, s.conflict(ctx, change.Revision-1, found.Change)
}

// afterConflict distinguishes a change that lost against another one from a change
// whose own earlier write changed the head row.
func (s *Store) afterConflict(ctx context.Context, change config.Change, writeID string, maybeWritten bool) error {
	for attempt := range commitAttempts {
		done, err := s.readBack(ctx, change, writeID)
		if done {
			return err
		}
		h, err := s.readHead(ctx)
		if err == nil && h.Revision >= change.Revision && !maybeWritten {
			return &config.ConflictError{Expected: change.Revision - 1, Winner: h.Revision, By: h.By, At: h.At}
		}
		if !clock.Wait(ctx, commitBackoff<<attempt) {
			break
		}
	}
	if !maybeWritten {
		return fmt.Errorf("%w: %w", config.ErrNotAccepted, platform.ErrConflict)
	}
	return config.ErrOutcomeUnknown
}

// conflict returns a ConflictError that names the highest revision if it can be
// read, else the change that was accepted in place of this one.
func (s *Store) conflict(ctx context.Context, expected contract.Revision, winner config.Change) error {
	conflict := &config.ConflictError{Expected: expected, Winner: winner.Revision, By: winner.By, At: winner.At}
	if h, err := s.readHead(ctx); err == nil && h.Revision > winner.Revision {
		conflict.Winner = h.Revision
		conflict.By = h.By
		conflict.At = h.At
	}
	return conflict
}
