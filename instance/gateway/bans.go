package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// logBans logs parts of prompts that are refused from now on. from is what showed it:
// crashes, the name of a peer or the registry.
func (g *Gateway) logBans(banned [][]contract.PartID, from string) {
	for _, parts := range banned {
		g.log.Warn(string(eventPartsBanned), "parts", parts, "from", from)
	}
}

// applyPartNotes takes a peer's notes on the parts of prompts.
func (g *Gateway) applyPartNotes(h *table.HeldLocks, notes quarantine.PartNotes, from string) {
	if notes.Empty() {
		return
	}
	now := g.clock.Now()
	var banned [][]contract.PartID
	g.promptParts.With(h, func(t **quarantine.PartTable) { banned = (*t).Merge(now, notes) })
	g.logBans(banned, from)
}

// decideBans bans the parts of prompts that crashes give reason for.
func (g *Gateway) decideBans(h *table.HeldLocks) []pool.Effect {
	now := g.clock.Now()
	mayProbe := g.nameRank(h, now) == 0
	var banned [][]contract.PartID
	g.promptParts.With(h, func(t **quarantine.PartTable) {
		(*t).SetMayProbe(mayProbe)
		banned = (*t).Decide(now)
	})
	g.logBans(banned, "crashes")
	if len(banned) == 0 {
		return nil
	}
	return g.saveBans(h)
}

// BansSaveEvery is the interval at which one gateway stores the bans while there are any.
const BansSaveEvery = 10 * time.Second

// saveBans stores the bans for a restart of the whole fleet.
func (g *Gateway) saveBans(h *table.HeldLocks) []pool.Effect {
	now := g.clock.Now()
	var bans []quarantine.BanNote
	g.promptParts.With(h, func(t **quarantine.PartTable) { bans = (*t).Bans(now) })
	g.bansSaved.Store(len(bans) > 0)
	return registryCall(ReadTimeout, func(ctx context.Context) pool.Step {
		if err := g.registry.SaveBans(ctx, bans); err != nil {
			g.log.Info(string(eventBansNotStored), "error", err)
		}
		return nil
	})
}

// saveBansPeriodically stores the bans if this gateway is the first one by name and there
// are any, or were at the last time. It schedules itself again.
func (g *Gateway) saveBansPeriodically(h *table.HeldLocks) []pool.Effect {
	g.pool.After(BansSaveEvery, g.saveBansPeriodically)
	now := g.clock.Now()
	if g.life.State() != instance.Serving || g.nameRank(h, now) > 0 {
		return nil
	}
	banned := 0
	g.promptParts.With(h, func(t **quarantine.PartTable) { banned = (*t).Len() })
	if banned == 0 && !g.bansSaved.Load() {
		return nil
	}
	return g.saveBans(h)
}
