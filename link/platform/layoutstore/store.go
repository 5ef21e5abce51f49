// Package layoutstore stores the layout of rate shares in one row of the
// platform's table, as JSON. Writers use the row's version so that one of several
// concurrent writers wins; package contract/rate decides what a layout holds.
package layoutstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// key is the key of the row.
const key = "rates/layout"

// ErrUnreadable means that the row does not hold a layout.
var ErrUnreadable = errors.New("layoutstore: row cannot be read")

// Store reads and writes the layout. It holds no state besides the table.
type Store struct {
	table platform.Table
}

// New returns a store in the given table.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// Load reads the layout and the version of its row. Without a row it returns nil
// and version 0.
func (s *Store) Load(ctx context.Context) (layout *rate.Layout, version uint64, err error) {
	rows, err := s.table.Get(ctx, key)
	if err != nil {
		return nil, 0, fmt.Errorf("layoutstore: read: %w", err)
	}
	if len(rows) == 0 {
		return nil, 0, nil
	}
	layout = new(rate.Layout)
	if err := json.Unmarshal(rows[0].Value, layout); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return layout, rows[0].Version, nil
}

// Save writes the next layout if the row still has the version. After an error
// other than platform.ErrConflict the layout may have been written.
func (s *Store) Save(ctx context.Context, next *rate.Layout, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("layoutstore: encode: %w", err)
	}
	err = s.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("layoutstore: write epoch %d: %w", next.Epoch, err)
	}
	return nil
}
