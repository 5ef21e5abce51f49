package memplatform

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Table is a transactional table in memory. It implements platform.Table and is
// safe for concurrent use.
type Table struct {
	faults *Faults

	mu   sync.Mutex
	rows map[string]platform.Row
	// keys holds the keys of rows in order, for scans.
	keys []string
	// lastVersion is shared by all rows, so that a row that is deleted and created
	// again never reuses an old version.
	lastVersion uint64
}

// NewTable returns an empty table whose calls are subject to faults.
func NewTable(faults *Faults) *Table {
	return &Table{faults: faults, rows: make(map[string]platform.Row)}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, keys ...string) (rows []platform.Row, err error) {
	err = t.faults.read(ctx, func() error {
		rows = t.get(keys)
		return nil
	})
	return rows, err
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = t.faults.read(ctx, func() error {
		rows = t.scan(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) error {
	return t.faults.write(ctx, func() error { return t.commit(tx) })
}

func (t *Table) get(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, copyRow(row))
		}
	}
	return rows
}

func (t *Table) scan(prefix, after string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	first := sort.SearchStrings(t.keys, max(prefix, after))
	for _, key := range t.keys[first:] {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after || after == "" {
			rows = append(rows, copyRow(t.rows[key]))
		}
	}
	return rows
}

func (t *Table) commit(tx platform.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		// An absent row has version 0.
		if got := t.rows[c.Key].Version; got != c.Version {
			return fmt.Errorf("%w: row %q has version %d, not %d", platform.ErrConflict, c.Key, got, c.Version)
		}
	}
	for _, w := range tx.Writes {
		t.apply(w)
	}
	return nil
}

// apply applies one write; the caller holds mu.
func (t *Table) apply(w platform.Write) {
	i := sort.SearchStrings(t.keys, w.Key)
	_, exists := t.rows[w.Key]
	if w.Delete {
		if exists {
			t.keys = append(t.keys[:i], t.keys[i+1:]...)
			delete(t.rows, w.Key)
		}
		return
	}
	if !exists {
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = w.Key
	}
	t.lastVersion++
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: t.lastVersion}
}

// copyRow returns a row whose value the caller may change.
func copyRow(row platform.Row) platform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
