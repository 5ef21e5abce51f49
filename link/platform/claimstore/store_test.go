package claimstore

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

func claimed(at time.Time) claim.Record {
	return claim.Record{
		State:   claim.StateClaimed,
		Body:    claim.HashCall(&contract.ServiceCall{Method: "POST", Path: "/x"}),
		Call:    contract.CallID{Request: "entry-1.5.7", Attempt: 2},
		Witness: "127.0.0.1:7201",
		At:      at.UTC(),
	}
}

// TestWrite checks the result of a write under each fault of the store, and
// whether the claim is stored afterwards.
func TestWrite(t *testing.T) {
	key := claim.Key{Account: "a", Route: "fees", Idempotency: "fee-7"}
	record := claimed(time.Unix(1000, 0))
	cases := []struct {
		name    string
		fault   func(p *memplatform.Platform)
		version uint64
		from    claim.State
		want    claim.WriteResult
		stored  bool
	}{
		{"success", func(*memplatform.Platform) {}, 0, claim.StateAbsent, claim.WriteDone, true},
		{"another version", func(*memplatform.Platform) {}, 9, claim.StateClaimed, claim.WriteConflict, false},
		{"response lost", func(p *memplatform.Platform) { p.Store.LoseAnswers(1) }, 0, claim.StateAbsent, claim.WriteLost, true},
		{"request lost", func(p *memplatform.Platform) { p.Store.LoseRequests(1) }, 0, claim.StateAbsent, claim.WriteLost, false},
		{"down", func(p *memplatform.Platform) { p.Store.SetDown(true) }, 0, claim.StateAbsent, claim.WriteRefused, false},
		{"transition that is not allowed", func(*memplatform.Platform) {}, 0, claim.StateDone, claim.WriteRefused, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := memplatform.New()
			c.fault(p)
			s := New(p.Table)
			if got, err := s.Write(t.Context(), key, c.version, c.from, record); got != c.want || (err == nil) != (got == claim.WriteDone) {
				t.Errorf("got %v and %v, want %v", got, err, c.want)
			}
			p.Store.SetDown(false)
			row, err := s.Read(t.Context(), key)
			if err != nil || (row.Version > 0) != c.stored {
				t.Fatalf("read %+v, %v", row, err)
			}
			if c.stored && !reflect.DeepEqual(row.Record, record) {
				t.Errorf("read %+v, want %+v", row.Record, record)
			}
		})
	}
}

// TestSweep checks that sweeps delete old claims in batches and keep the others.
func TestSweep(t *testing.T) {
	const rows, batch = 25, 10
	p := memplatform.New()
	s := New(p.Table)
	limit := time.Unix(1000, 0)
	for i := range rows {
		at := limit.Add(time.Duration(i%2*2-1) * time.Second)
		key := claim.Key{Idempotency: fmt.Sprint(i)}
		if _, err := s.Write(t.Context(), key, 0, claim.StateAbsent, claimed(at)); err != nil {
			t.Fatal(err)
		}
	}
	before, after, removed, rounds := p.Store.Counts().Writes, "", 0, 0
	for rounds == 0 || after != "" {
		next, n, err := s.Sweep(t.Context(), after, batch, limit)
		if err != nil {
			t.Fatal(err)
		}
		after, removed, rounds = next, removed+n, rounds+1
	}
	if writes := p.Store.Counts().Writes - before; removed != 13 || writes > int64(rounds) {
		t.Errorf("removed %d of %d old rows with %d writes in %d rounds", removed, 13, writes, rounds)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"state":"claimed","body":"00","request":"a","attempt":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := decode(rowOf(value))
		if err == nil && (row.State == claim.StateAbsent || row.Version != 3) {
			t.Errorf("accepted %+v", row)
		}
	})
}

func rowOf(value []byte) platform.Row {
	return platform.Row{Key: prefix + "00", Value: value, Version: 3}
}
