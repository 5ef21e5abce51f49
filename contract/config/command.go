package config

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Command is one change of the configuration. Commands are deterministic: applied
// to the same snapshot a command has the same result on every instance, so one can
// be sent the command instead of the whole configuration.
type Command interface {
	// String returns the command in the syntax of the operators' shell, without
	// secrets.
	String() string
	// apply validates the command and modifies s, which must be a private copy:
	// after an error it may be partly modified.
	apply(s *Snapshot) error
}

// Change is an accepted command with the revision it created, its author and
// time.
type Change struct {
	Revision contract.Revision
	By       string
	At       time.Time
	Command  Command
}

// Apply returns a new snapshot with the command applied and the next revision. It
// never modifies old.
func Apply(old *Snapshot, cmd Command, by string, at time.Time) (*Snapshot, error) {
	next := old.Clone()
	if err := cmd.apply(next); err != nil {
		return nil, err
	}
	next.Revision = old.Revision + 1
	next.ChangedBy = by
	next.ChangedAt = at
	return next, nil
}

// Replay applies accepted changes in order and returns the resulting snapshot. It
// never modifies old. Revisions must be consecutive, starting at old.Revision+1;
// otherwise Replay returns an error.
func Replay(old *Snapshot, changes []Change) (*Snapshot, error) {
	if len(changes) == 0 {
		return old, nil
	}
	next := old.Clone()
	for _, change := range changes {
		if change.Revision != next.Revision+1 {
			return nil, fmt.Errorf("config: change of revision %d does not follow %d", change.Revision, next.Revision)
		}
		if err := change.Command.apply(next); err != nil {
			return nil, fmt.Errorf("config: replaying revision %d: %w", change.Revision, err)
		}
		next.Revision = change.Revision
		next.ChangedBy = change.By
		next.ChangedAt = change.At
	}
	return next, nil
}

// Clone returns a copy whose maps can be modified without affecting s.
func (s *Snapshot) Clone() *Snapshot {
	next := EmptySnapshot()
	next.Revision = s.Revision
	next.ChangedBy = s.ChangedBy
	next.ChangedAt = s.ChangedAt
	maps.Copy(next.Accounts, s.Accounts)
	maps.Copy(next.Keys, s.Keys)
	maps.Copy(next.Routes, s.Routes)
	maps.Copy(next.Upstreams, s.Upstreams)
	return next
}

// Batch applies several commands atomically, as one revision.
type Batch struct {
	Commands []Command
}

// String implements Command.
func (b Batch) String() string {
	words := make([]string, 0, len(b.Commands))
	for _, cmd := range b.Commands {
		words = append(words, cmd.String())
	}
	return strings.Join(words, "; ")
}

func (b Batch) apply(s *Snapshot) error {
	for i, cmd := range b.Commands {
		if err := cmd.apply(s); err != nil {
			return fmt.Errorf("command %d of the batch: %w", i+1, err)
		}
	}
	return nil
}
