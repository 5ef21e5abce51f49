package soak

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// injectFaults applies a random one of some faults in each interval until a duration is
// over. Most effects last until another entry ends them, so they overlap.
func (s *soak) injectFaults(ctx context.Context, from []fault, duration time.Duration) {
	step := 0
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; step++ {
		f := from[s.random.IntN(len(from))]
		s.report.Faults = append(s.report.Faults, f.name)
		f.do(s)
		s.returnFromCopy(step)
		select {
		case <-time.After(faultInterval):
		case <-ctx.Done():
		}
	}
}

// fault is a disturbance, or the end of one.
type fault struct {
	name string
	do   func(s *soak)
}

// faults are the disturbances that a run chooses from. A runner that "loses answers" also fails
// requests after it has run them. Report.Faults holds the names:
// "hang up" sends SIGHUP, which reloads the settings; "store away" and "store back" make the
// store unavailable and available; "store heard" and "runner heard" end all faults of the
// link; "runner is sound" ends the faults of the runner.
var faults = []fault{
	{"kill", func(s *soak) { s.randomGateway().signalEnd(true) }},
	{"stop", func(s *soak) { s.randomGateway().signalEnd(false) }},
	{"pause", func(s *soak) { s.randomGateway().pause(time.Duration(100+s.random.IntN(1500)) * time.Millisecond) }},
	{"hang up", func(s *soak) { s.randomGateway().reload() }},
	{"store away", func(s *soak) { s.store.SetUnavailable(true) }},
	{"store back", func(s *soak) { s.store.SetUnavailable(false) }},
	{"store reset", func(s *soak) { s.storeProxy.resetAll() }},
	{"store silent", func(s *soak) { s.storeProxy.setSilent(true, toTarget, fromTarget) }},
	{"store cut one way", func(s *soak) { s.storeProxy.setSilent(true, s.random.IntN(directions)) }},
	{"store slow", func(s *soak) { s.storeProxy.setDelay(s.randomDelay()) }},
	{"store heard", func(s *soak) { s.storeProxy.heal() }},
	{"store loses answers", func(s *soak) { s.store.SetLoseAnswers(true) }},
	{"store keeps answers", func(s *soak) { s.store.SetLoseAnswers(false) }},
	{"store forgets", func(s *soak) { s.store.CompactHistory() }},
	{"configuration", func(s *soak) { s.reconfigure() }},
	{"runner reset", func(s *soak) { s.randomRunner().resetLink() }},
	{"runner silent", func(s *soak) { s.randomRunner().disturbLink().setSilent(true, toTarget, fromTarget) }},
	{"runner cut one way", func(s *soak) { s.randomRunner().disturbLink().setSilent(true, s.random.IntN(directions)) }},
	{"runner slow", func(s *soak) { s.randomRunner().disturbLink().setDelay(s.randomDelay()) }},
	{"runner heard", func(s *soak) { s.randomRunner().healLink() }},
	{"runner rejects", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{Reject: 0.5}) }},
	{"runner loses answers", func(s *soak) {
		s.randomRunner().runner.SetFaults(userplatform.Faults{Lose: 0.3, FailAfterRun: 0.3})
	}},
	{"runner breaks off", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{Break: 0.5}) }},
	{"runner sends without end", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{Endless: 0.3}) }},
	{"peer sends without end", func(s *soak) { go floodPeer(s.randomGateway().peerAddr) }},
	{"runner asks for a pause", func(s *soak) { s.pause(s.randomRunner()) }},
	{"runner leaves", func(s *soak) { s.leave(s.randomRunner()) }},
	{"runner takes back that it leaves", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{}) }},
	{"prefills are slow", func(s *soak) { s.slowPrefills() }},
	{"runner leaves in a prefill", func(s *soak) { s.slowPrefills(); s.drain(s.randomRunner()) }},
	{"runner starts again", func(s *soak) { s.restart(s.randomRunner()) }},
	{"names come and go", func(s *soak) { s.reconfigureNames(context.Background()) }},
	{"runner is replaced", func(s *soak) { s.replaceRunner() }},
	{"callers keep connections", func(s *soak) { s.crowd(s.randomGateway()) }},
	{"runner reads slowly", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{ReadDelay: slowRead}) }},
	{"callers read slowly", func(s *soak) { s.readSlowly(s.randomGateway()) }},
	{"runners start cold", func(s *soak) { s.startCold(s.randomRunner().phase) }},
	{"runner is sound", func(s *soak) { s.randomRunner().runner.SetFaults(userplatform.Faults{}) }},
}
