// Package claimstore keeps claims in the platform's table, one row each, as
// JSON. A row's key is a hash, so the table holds no caller's idempotency key.
package claimstore

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// prefix starts the keys of all claims.
const prefix = "claim/"

// ErrUnreadable means that a row does not hold a claim.
var ErrUnreadable = errors.New("claimstore: row cannot be read")

// Store reads and writes claims.
type Store struct {
	table platform.Table
}

// New returns a store in the given table.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// value is a row's value.
type value struct {
	State       string             `json:"state"`
	Body        string             `json:"body"`
	Request     contract.RequestID `json:"request"`
	Attempt     contract.Attempt   `json:"attempt"`
	Witness     string             `json:"witness"`
	At          time.Time          `json:"at"`
	Status      int                `json:"status,omitempty"`
	ContentType string             `json:"content_type,omitempty"`
	Answer      []byte             `json:"answer,omitempty"`
	Dropped     bool               `json:"dropped,omitempty"`
}

// Read reads a claim. An absent one has version 0.
func (s *Store) Read(ctx context.Context, key claim.Key) (claim.Row, error) {
	rows, err := s.table.Get(ctx, rowKey(key))
	if err != nil {
		return claim.Row{}, fmt.Errorf("claimstore: read: %w", err)
	}
	if len(rows) == 0 {
		return claim.Row{}, nil
	}
	return decode(rows[0])
}

// Write writes a claim, or removes it if its state is absent, if the row still
// has the version.
func (s *Store) Write(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (claim.WriteResult, error) {
	if !claim.Allowed(from, record.State) {
		return claim.WriteRefused, fmt.Errorf("claimstore: no move from %v to %v", from, record.State)
	}
	write, err := encode(rowKey(key), record)
	if err != nil {
		return claim.WriteRefused, err
	}
	err = s.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: write.Key, Version: version}},
		Writes:     []platform.Write{write},
	})
	return resultOf(err), err
}

// resultOf says what an error of a commit means for the row. An error of an
// unknown kind may hide a write that took effect.
func resultOf(err error) claim.WriteResult {
	switch {
	case err == nil:
		return claim.WriteDone
	case errors.Is(err, platform.ErrLostAnswer):
		return claim.WriteLost
	case errors.Is(err, platform.ErrConflict):
		return claim.WriteConflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		return claim.WriteRefused
	default:
		return claim.WriteLost
	}
}

// Sweep removes claims that were written before a time, from those that come
// after a row in the order of keys: it reads up to limit rows and makes one
// write. It returns where to go on; empty means from the start.
func (s *Store) Sweep(ctx context.Context, after string, limit int, before time.Time) (next string, removed int, err error) {
	rows, err := s.table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return after, 0, fmt.Errorf("claimstore: scan: %w", err)
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key
	}
	tx := oldRows(rows, before)
	if len(tx.Writes) == 0 {
		return next, 0, nil
	}
	if err := s.table.Commit(ctx, tx); err != nil {
		return next, 0, fmt.Errorf("claimstore: sweep: %w", err)
	}
	return next, len(tx.Writes), nil
}

// oldRows deletes rows that were written before a time and did not change since
// they were read. Rows that cannot be read stay.
func oldRows(rows []platform.Row, before time.Time) (tx platform.Transaction) {
	for _, row := range rows {
		c, err := decode(row)
		if err != nil || !c.At.Before(before) {
			continue
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	return tx
}

func rowKey(key claim.Key) string {
	hash := key.Hash()
	return prefix + hex.EncodeToString(hash[:])
}

func encode(key string, r claim.Record) (platform.Write, error) {
	if r.State == claim.StateAbsent {
		return platform.Write{Key: key, Delete: true}, nil
	}
	text, err := json.Marshal(value{
		State:       r.State.String(),
		Body:        hex.EncodeToString(r.Body[:]),
		Request:     r.Call.Request,
		Attempt:     r.Call.Attempt,
		Witness:     r.Witness,
		At:          r.At.UTC(),
		Status:      r.Answer.Status,
		ContentType: r.Answer.ContentType,
		Answer:      r.Answer.Body,
		Dropped:     r.Dropped,
	})
	if err != nil {
		return platform.Write{}, fmt.Errorf("claimstore: encode: %w", err)
	}
	return platform.Write{Key: key, Value: text}, nil
}

func decode(row platform.Row) (claim.Row, error) {
	var v value
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return claim.Row{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	state, ok := parseState(v.State)
	body, err := hex.DecodeString(v.Body)
	if !ok || err != nil || len(body) != len(claim.BodyHash{}) || !strings.HasPrefix(row.Key, prefix) {
		return claim.Row{}, ErrUnreadable
	}
	return claim.Row{Version: row.Version, Record: claim.Record{
		State:   state,
		Body:    claim.BodyHash(body),
		Call:    contract.CallID{Request: v.Request, Attempt: v.Attempt},
		Witness: v.Witness,
		At:      v.At,
		Answer:  contract.ServiceAnswer{Status: v.Status, ContentType: v.ContentType, Body: v.Answer},
		Dropped: v.Dropped,
	}}, nil
}

// parseState is the inverse of State.String for states that have a row.
func parseState(word string) (claim.State, bool) {
	for _, state := range []claim.State{claim.StateClaimed, claim.StateDone, claim.StateUnknown} {
		if state.String() == word {
			return state, true
		}
	}
	return claim.StateAbsent, false
}
