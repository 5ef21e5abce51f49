package configstore

import (
	"context"
	"fmt"
	"math"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// maxTrimmed bounds the log rows that one transaction deletes.
const maxTrimmed = 256

// trimLog stores the base snapshot and moves older changes from the log to the
// audit trail. It updates next and returns the deletions to commit with the next
// change. If the object store fails, the log stays longer and the next change
// tries again.
func (s *Store) trimLog(ctx context.Context, h head, base *config.Snapshot, next *head) []platform.Write {
	body, err := configcodec.Encode(base)
	if err != nil {
		return nil
	}
	if err := s.objects.Put(ctx, snapshotName(base.Revision), body); err != nil {
		return nil
	}
	next.Snapshot = base.Revision
	s.deleteOldSnapshots(ctx, h.Snapshot)
	// The changes between the last two snapshots stay in the table, so that a
	// node that lags a little can replay them.
	upTo := min(h.Snapshot, h.LogFrom+maxTrimmed-1)
	writes, ok := s.archive(ctx, h.LogFrom, upTo)
	if ok {
		next.LogFrom = max(h.LogFrom, upTo+1)
	}
	return writes
}

// deleteOldSnapshots deletes stored snapshots older than the one that the head
// row names. After an error the rest is left to a later change.
func (s *Store) deleteOldSnapshots(ctx context.Context, before contract.Revision) {
	names, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		return
	}
	for _, name := range names {
		if name >= snapshotName(before) {
			return
		}
		if err := s.objects.Delete(ctx, name); err != nil {
			return
		}
	}
}

// archive writes a range of changes to the audit trail and returns the deletions
// of their log rows. ok is false if the range could not be stored.
func (s *Store) archive(ctx context.Context, from, upTo contract.Revision) (writes []platform.Write, ok bool) {
	if upTo < from {
		return nil, true
	}
	changes, err := s.readLog(ctx, from-1, upTo)
	if err != nil {
		return nil, false
	}
	body, err := configcodec.Encode(changes)
	if err != nil {
		return nil, false
	}
	if err := s.objects.Put(ctx, auditName(from, upTo), body); err != nil {
		return nil, false
	}
	for revision := from; revision <= upTo; revision++ {
		writes = append(writes, platform.Write{Key: logKey(revision), Delete: true})
	}
	return writes, true
}

// Audit returns up to limit accepted changes, newest first, starting at revision
// from; 0 means the newest. It reads the log and then the audit trail.
func (s *Store) Audit(ctx context.Context, from contract.Revision, limit int) ([]config.Change, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if from == 0 || from > h.Revision {
		from = h.Revision
	}
	var changes []config.Change
	if from >= h.LogFrom {
		first := max(h.LogFrom, lowestOf(from, limit))
		changes, err = s.readLog(ctx, first-1, from)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		slices.Reverse(changes)
	}
	if len(changes) >= limit || h.LogFrom <= 1 {
		return changes, nil
	}
	return s.appendArchived(ctx, changes, min(from, h.LogFrom-1), limit)
}

// appendArchived appends archived changes, newest first, from revision from
// downwards, until there are limit changes.
func (s *Store) appendArchived(ctx context.Context, changes []config.Change, from contract.Revision, limit int) ([]config.Change, error) {
	names, err := s.objects.List(ctx, auditPrefix)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	for _, name := range slices.Backward(names) {
		if name > auditName(from, math.MaxUint64) {
			continue
		}
		if len(changes) >= limit {
			break
		}
		older, err := s.readAuditObject(ctx, name)
		if err != nil {
			return nil, err
		}
		for _, change := range slices.Backward(older) {
			if change.Revision <= from && len(changes) < limit {
				changes = append(changes, change)
				from = change.Revision - 1
			}
		}
	}
	return changes, nil
}

func (s *Store) readAuditObject(ctx context.Context, name string) ([]config.Change, error) {
	body, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var changes []config.Change
	if err := configcodec.Decode(body, &changes); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return changes, nil
}

// lowestOf returns the lowest of the count revisions that end at from, at least 1.
func lowestOf(from contract.Revision, count int) contract.Revision {
	if contract.Revision(count) >= from {
		return 1
	}
	return from - contract.Revision(count) + 1
}
