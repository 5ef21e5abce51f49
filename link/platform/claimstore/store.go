// Package claimstore stores claims in the platform's table, one row each, as
// JSON. The row key is a hash, so that the table holds no idempotency key of a
// caller. The states of a claim and the decisions on them are in contract/claim.
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

// prefix is the common prefix of the row keys of claims.
const prefix = "claim/"

// ErrUnreadable means that a row does not hold a claim.
var ErrUnreadable = errors.New("claimstore: row cannot be read")

// Store reads and writes claims. It holds no state besides the table.
type Store struct {
	table platform.Table
}

// New returns a store in the given table.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// storedClaim is the JSON value of a row.
type storedClaim struct {
	State string `json:"state"`
	// Body is the hash of the request's body; Answer is the body of the answer.
	Body    string             `json:"body"`
	Request contract.RequestID `json:"request"`
	Attempt contract.Attempt   `json:"attempt"`
	// Witness is the address of the sidecar that granted the attempt.
	Witness     string    `json:"witness"`
	At          time.Time `json:"at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Answer      []byte    `json:"answer,omitempty"`
	Dropped     bool      `json:"dropped,omitempty"`
}

// Read reads a claim. A claim without a row has version 0 and the zero Record.
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

// Write replaces a claim if its row still has the version; a record in
// claim.StateAbsent deletes the row. The transition from the state from must be
// allowed, otherwise nothing is written. The result is claim.WriteLost if the
// write may have taken effect in spite of the error.
func (s *Store) Write(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (claim.WriteResult, error) {
	if !claim.Allowed(from, record.State) {
		return claim.WriteRefused, fmt.Errorf("claimstore: a claim cannot change from %v to %v", from, record.State)
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

// resultOf maps the error of a commit to its effect on the row. After an unknown
// error the write may have taken effect, so it counts as lost.
func resultOf(err error) claim.WriteResult {
	switch {
	case err == nil:
		return claim.WriteDone
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return claim.WriteLost
	case errors.Is(err, platform.ErrConflict):
		return claim.WriteConflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		return claim.WriteRefused
	default:
		return claim.WriteLost
	}
}

// Sweep deletes claims that were written before a time. One call reads up to
// limit rows that follow the row key after, and makes at most one write. It
// returns the row key to continue after; empty means that the end was reached and
// the next sweep starts over.
func (s *Store) Sweep(ctx context.Context, after string, limit int, before time.Time) (next string, removed int, err error) {
	rows, err := s.table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return after, 0, fmt.Errorf("claimstore: scan: %w", err)
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key
	}
	tx := deletionsOf(rows, before)
	if len(tx.Writes) == 0 {
		return next, 0, nil
	}
	if err := s.table.Commit(ctx, tx); err != nil {
		return next, 0, fmt.Errorf("claimstore: sweep: %w", err)
	}
	return next, len(tx.Writes), nil
}

// deletionsOf builds the transaction that deletes the rows written before a time,
// on condition that they did not change since they were read. Rows that cannot be
// decoded stay.
func deletionsOf(rows []platform.Row, before time.Time) (tx platform.Transaction) {
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
	encoded, err := json.Marshal(storedClaim{
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
	return platform.Write{Key: key, Value: encoded}, nil
}

func decode(row platform.Row) (claim.Row, error) {
	var v storedClaim
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

// parseState is the inverse of claim.State.String for the states that are stored;
// claim.StateAbsent has no row.
func parseState(name string) (claim.State, bool) {
	for _, state := range []claim.State{claim.StateClaimed, claim.StateDone, claim.StateUnknown} {
		if state.String() == name {
			return state, true
		}
	}
	return claim.StateAbsent, false
}
