package configstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// loadAttempts bounds how often Load starts over because the log was trimmed while
// it was read.
const loadAttempts = 3

// scanLimit is the maximum number of rows in one scan.
const scanLimit = 256

// Load reads the newest configuration: the changes since the snapshot have if they
// are still in the log, else the newest stored snapshot and the changes after it;
// Changes is nil in that case. With nothing new it reads one row. An error wraps
// ErrUnavailable or ErrUnreadable.
func (s *Store) Load(ctx context.Context, have *config.Snapshot) (config.Loaded, error) {
	var err error
	for range loadAttempts {
		var loaded config.Loaded
		loaded, err = s.loadOnce(ctx, have)
		if err == nil || !errors.Is(err, errTrimmed) {
			return loaded, err
		}
	}
	return config.Loaded{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// errTrimmed means that the log was trimmed between two reads.
var errTrimmed = errors.New("configstore: log was trimmed while it was read")

func (s *Store) loadOnce(ctx context.Context, have *config.Snapshot) (config.Loaded, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return config.Loaded{}, err
	}
	if h.Revision <= have.Revision {
		return config.Loaded{Snapshot: have}, nil
	}
	if have.Revision+1 >= h.LogFrom {
		return s.replay(ctx, have, h)
	}
	base, err := s.readSnapshot(ctx, h.Snapshot)
	if err != nil {
		return config.Loaded{}, err
	}
	loaded, err := s.replay(ctx, base, h)
	loaded.Changes = nil
	return loaded, err
}

func (s *Store) replay(ctx context.Context, base *config.Snapshot, h head) (config.Loaded, error) {
	changes, err := s.readLog(ctx, base.Revision, h.Revision)
	if err != nil {
		return config.Loaded{}, err
	}
	next, err := config.Replay(base, changes)
	if err != nil {
		return config.Loaded{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return config.Loaded{Snapshot: next, Changes: changes}, nil
}

// readLog reads the changes after one revision up to and including another. It
// returns errTrimmed if one of them is missing.
func (s *Store) readLog(ctx context.Context, after, upTo contract.Revision) ([]config.Change, error) {
	changes := make([]config.Change, 0, upTo-after)
	for after < upTo {
		limit := min(scanLimit, int(upTo-after))
		rows, err := s.table.Scan(ctx, logPrefix, logKey(after), limit)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(rows) == 0 {
			return nil, errTrimmed
		}
		for _, row := range rows {
			logged, err := decodeEntry(row)
			if err != nil {
				return nil, err
			}
			if logged.Change.Revision != after+1 {
				return nil, errTrimmed
			}
			after = logged.Change.Revision
			changes = append(changes, logged.Change)
		}
	}
	return changes, nil
}

func decodeEntry(row platform.Row) (entry, error) {
	var e entry
	if err := configcodec.Decode(row.Value, &e); err != nil {
		return entry{}, fmt.Errorf("%w: %w", ErrUnreadable, fmt.Errorf("row %s: %w", row.Key, err))
	}
	return e, nil
}

// readSnapshot reads a stored snapshot; revision 0 is the empty snapshot. It
// returns errTrimmed if the snapshot was deleted.
func (s *Store) readSnapshot(ctx context.Context, revision contract.Revision) (*config.Snapshot, error) {
	if revision == 0 {
		return config.EmptySnapshot(), nil
	}
	body, err := s.objects.Get(ctx, snapshotName(revision))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", errTrimmed, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var stored config.Snapshot
	if err := configcodec.Decode(body, &stored); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return stored.Clone(), nil
}
