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

// Times of looking at the upstream.
const (
	// WatchEvery is the time between two looks.
	WatchEvery = 500 * time.Millisecond
	// WatchTimeout bounds one look.
	WatchTimeout = 400 * time.Millisecond
	// maxSilent looks in a row without an answer mean that the upstream is down.
	maxSilent = 3
)

// laneWatch carries the looks at the upstream.
const laneWatch pool.Lane = "watch"

// sight is what one look at the upstream showed.
type sight struct {
	up    bool
	epoch int64
	// gone says that nobody listens for the upstream any more.
	gone bool
	// load is set for engines.
	load *link.EngineLoad
	// events are those of a prefill engine's cache since the last look.
	events []upstream.CacheNews
}

// watchUpstream looks at the upstream from time to time.
func (s *Sidecar) watchUpstream(*table.Held) []pool.Effect {
	s.pool.After(WatchEvery, s.watchUpstream)
	look := func(ctx context.Context) pool.Step {
		seen := s.look(ctx)
		return func(h *table.Held) []pool.Effect {
			s.saw(h, seen)
			return nil
		}
	}
	return []pool.Effect{{Lane: laneWatch, Perform: look}}
}

// look asks the upstream whether it is there.
func (s *Sidecar) look(ctx context.Context) sight {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	if s.engine == nil {
		return s.lookAtService(ctx)
	}
	// The load report lags, so the epoch is taken from the state.
	state, err := s.engine.State(ctx)
	if err != nil {
		return sight{gone: refused(ctx, err)}
	}
	seen := sight{up: true, epoch: state.Epoch}
	if load, err := s.engine.Load(ctx); err == nil {
		seen.load = &load
	}
	if state.Role == upstream.RolePrefill {
		seen.events = s.cacheEvents(ctx)
	}
	return seen
}

// lookAtService asks a plain service whether it is there.
func (s *Sidecar) lookAtService(ctx context.Context) sight {
	if s.service == nil {
		return sight{up: true}
	}
	err := s.service.Healthy(ctx)
	return sight{up: err == nil, gone: refused(ctx, err)}
}

// refused reports whether a look found nobody that listens, as against one that
// took too long.
func refused(ctx context.Context, err error) bool {
	return errors.Is(err, link.ErrNotSent) && ctx.Err() == nil
}

// cacheEvents reads the cache events after those that were read before.
func (s *Sidecar) cacheEvents(ctx context.Context) []upstream.CacheNews {
	events, err := s.engine.Events(ctx, s.cacheSeq.Load())
	if err != nil {
		return nil
	}
	news := make([]upstream.CacheNews, 0, len(events))
	for _, e := range events {
		news = append(news, upstream.CacheNews{Seq: e.Seq, Prefix: e.Prefix, Stored: e.Stored})
		s.cacheSeq.Store(e.Seq)
	}
	return news
}

// saw takes in what a look showed and reports whether it shows a crash.
func (s *Sidecar) saw(h *table.Held, seen sight) (crashed bool) {
	hung, down := false, false
	s.suspects.With(h, func(x *suspects) {
		crashed, hung = x.saw(seen)
		down = x.down()
	})
	s.ledger.With(h, func(l **engine.Ledger) {
		(*l).SetDown(down)
		if seen.load != nil {
			(*l).SetLimits(limitsOf((*l).Limits(), seen.load))
		}
		(*l).CacheEvents(seen.events)
	})
	if hung {
		s.log.Warn("upstream is silent", "upstream", s.id)
		s.endWaiting(h, s.sent(h))
	}
	if crashed {
		s.crashed(h)
	}
	return crashed
}

// limitsOf takes over what an engine reports of itself; a zero says nothing.
func limitsOf(limits engine.Limits, load *link.EngineLoad) engine.Limits {
	replace(&limits.Role, load.Role)
	replace(&limits.Slots, load.Slots)
	replace(&limits.Blocks, load.Blocks)
	replace(&limits.PrefillPerSecond, load.PrefillPerSecond)
	replace(&limits.LinkBlocksPerSecond, load.LinkBlocksPerSecond)
	return limits
}

func replace[T comparable](value *T, reported T) {
	var none T
	if reported != none {
		*value = reported
	}
}
