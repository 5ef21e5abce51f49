package soak

import (
	"context"
	"slices"
	"time"
)

// evacuationBound is the users' bound: so long after the store acknowledged an evacuation no
// caller's request may reach a runner of the zone, until the evacuation is revoked.
const evacuationBound = 5 * time.Second

// Times before and after the evacuation of a run.
const (
	beforeEvacuation = time.Second
	afterEvacuation  = 2 * time.Second
)

// evacuatedZone has one runner of each phase; homeZone has the others.
const (
	evacuatedZone = "y"
	homeZone      = "z"
)

// evacuation holds when a zone was evacuated and when that was revoked; zero in a run without.
type evacuation struct {
	writtenAt, deletedAt time.Time
}

// evacuationFaults are the disturbances beside an evacuation.
var evacuationFaults = []fault{
	{"kill", func(s *soak) { s.randomGateway().signalEnd(true) }},
	{"stop", func(s *soak) { s.randomGateway().signalEnd(false) }},
	{"runner starts again", func(s *soak) { s.restart(s.randomRunner()) }},
	{"configuration", func(s *soak) { s.reconfigure() }},
}

// zoneOf returns the zone of a runner by its number.
func (s *soak) zoneOf(number int) string {
	if s.options.Evacuation && slices.Contains([]int{1, 3, 6}, number) {
		return evacuatedZone
	}
	return homeZone
}

// storeFor returns the store's address for a gateway. In a run with an evacuation the first
// gateway has a link of its own.
func (s *soak) storeFor(gateway int) (string, error) {
	if !s.options.Evacuation || gateway > 0 {
		return s.storeProxy.addr(), nil
	}
	var err error
	if s.cutOff, err = newProxy(s.storeProxy.addr()); err != nil {
		return "", err
	}
	return s.cutOff.addr(), nil
}

// runEvacuation evacuates a zone while gateways and runners restart and the store is silent to
// one gateway.
func (s *soak) runEvacuation(ctx context.Context) {
	set := func(evacuated bool) time.Time {
		if err := s.store.SetEvacuated(evacuatedZone, evacuated); err != nil {
			s.failCheck("the evacuation was not written: %v", err)
		}
		return time.Now()
	}
	s.injectFaults(ctx, evacuationFaults, beforeEvacuation)
	s.cutOff.setSilent(true, toTarget, fromTarget)
	s.evacuation.writtenAt = set(true)
	s.injectFaults(ctx, evacuationFaults, s.options.Duration)
	s.evacuation.deletedAt = set(false)
	s.cutOff.heal()
	s.injectFaults(ctx, evacuationFaults, afterEvacuation)
}

// checkEvacuation checks that no caller's request reached the evacuated zone after the bound,
// and that some did before and after the evacuation.
func (s *soak) checkEvacuation() {
	if !s.options.Evacuation {
		return
	}
	s.cutOff.close()
	var inZone []string
	for _, r := range s.runners {
		if r.zone == evacuatedZone {
			inZone = append(inZone, r.ids...)
		}
	}
	before, after := 0, 0
	for _, v := range s.ledger.Visits() {
		if !slices.Contains(inZone, v.Runner) {
			continue
		}
		since := v.At.Sub(s.evacuation.writtenAt)
		switch {
		case since < 0:
			before++
		case v.At.After(s.evacuation.deletedAt):
			after++
		default:
			s.report.LastVisit = max(s.report.LastVisit, since)
			if since > evacuationBound {
				s.failCheck("request %s reached runner %s %v after its zone was evacuated", v.Request, v.Runner, since)
			}
		}
	}
	if before == 0 || after == 0 {
		s.failCheck("%d requests reached the zone before its evacuation and %d after it, want some", before, after)
	}
}
