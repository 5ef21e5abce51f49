package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Limits of probes.
const (
	// ProbeEvery is the interval between probes.
	ProbeEvery = 500 * time.Millisecond
	// ProbeTimeout bounds one probe.
	ProbeTimeout = 400 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which the
	// upstream counts as down.
	maxFailedProbes = 3
)

// laneProbe is the lane of the upstream's probes. Its name is watch.
const laneProbe pool.Lane = "watch"

// probeResult is the outcome of one probe.
type probeResult struct {
	up bool
	// epoch changes when the engine restarts; 0 for plain services.
	epoch int64
	// refused is set if nothing listens on the upstream's address, as opposed
	// to a probe that timed out.
	refused bool
	// load is the engine's own report; nil for plain services and if the report
	// failed.
	load *link.EngineLoad
	// events are a prefill engine's cache events since the last probe.
	events []upstream.CacheEvent
}

// probeUpstream probes the upstream and schedules the next probe.
func (s *Sidecar) probeUpstream(*table.HeldLocks) []pool.Effect {
	s.pool.After(ProbeEvery, s.probeUpstream)
	probe := func(ctx context.Context) pool.Step {
		result := s.probe(ctx)
		return func(h *table.HeldLocks) []pool.Effect {
			s.recordProbe(h, result)
			return nil
		}
	}
	return []pool.Effect{{Lane: laneProbe, Perform: probe}}
}

// probe checks whether the upstream answers, within ProbeTimeout.
func (s *Sidecar) probe(ctx context.Context) probeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	if s.engine == nil {
		return s.probeService(ctx)
	}
	// The load report lags, so the epoch is read from the state.
	state, err := s.engine.State(ctx)
	if err != nil {
		return probeResult{refused: connectionRefused(ctx, err)}
	}
	result := probeResult{up: true, epoch: state.Epoch}
	if load, err := s.engine.Load(ctx); err == nil {
		result.load = &load
	}
	if state.Role == upstream.RolePrefill {
		result.events = s.cacheEvents(ctx)
	}
	return result
}

// probeService checks a plain service's health. A sidecar without any upstream link
// counts as up.
func (s *Sidecar) probeService(ctx context.Context) probeResult {
	if s.service == nil {
		return probeResult{up: true}
	}
	err := s.service.CheckHealth(ctx)
	return probeResult{up: err == nil, refused: connectionRefused(ctx, err)}
}

// connectionRefused reports whether a probe failed because nothing listens on the
// upstream's address, as opposed to a timeout.
func connectionRefused(ctx context.Context, err error) bool {
	return errors.Is(err, link.ErrNotSent) && ctx.Err() == nil
}

// cacheEvents reads the engine's cache events after cacheSeq and advances it. It
// returns nil if the read fails; the next probe reads them again.
func (s *Sidecar) cacheEvents(ctx context.Context) []upstream.CacheEvent {
	events, err := s.engine.Events(ctx, s.cacheSeq.Load())
	if err != nil {
		return nil
	}
	converted := make([]upstream.CacheEvent, 0, len(events))
	for _, e := range events {
		converted = append(converted, upstream.CacheEvent{Seq: e.Seq, Prefix: e.Prefix, Stored: e.Stored})
		s.cacheSeq.Store(e.Seq)
	}
	return converted
}

// recordProbe updates the ledger and the crash tracker from a probe, and reports
// whether the probe shows a crash. Calls at an engine that hangs or has crashed are
// canceled so that their entries can retry them elsewhere.
func (s *Sidecar) recordProbe(h *table.HeldLocks, result probeResult) (crashed bool) {
	hung, down := false, false
	s.crashTracker.With(h, func(c *crashTracker) {
		crashed, hung = c.recordProbe(result)
		down = c.down()
	})
	s.ledger.With(h, func(l **engine.Ledger) {
		(*l).SetDown(down)
		if result.load != nil {
			(*l).SetLimits(applyReported((*l).Limits(), result.load))
		}
		(*l).AddCacheEvents(result.events)
	})
	if hung {
		s.log.Warn("upstream is unresponsive", "upstream", s.id)
		s.cancelSentCalls(h, s.sentCalls(h))
	}
	if crashed {
		s.recordCrash(h)
	}
	return crashed
}

// applyReported overrides the configured limits with those that an engine reports;
// a reported zero means unknown.
func applyReported(limits engine.Limits, load *link.EngineLoad) engine.Limits {
	setIfReported(&limits.Role, load.Role)
	setIfReported(&limits.Slots, load.Slots)
	setIfReported(&limits.Blocks, load.Blocks)
	setIfReported(&limits.PrefillPerSecond, load.PrefillPerSecond)
	setIfReported(&limits.LinkBlocksPerSecond, load.LinkBlocksPerSecond)
	return limits
}

func setIfReported[T comparable](value *T, reported T) {
	var none T
	if reported != none {
		*value = reported
	}
}
