package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// brokenCallWindow is how long after a call broke off it still counts as running at a
// crash that is detected later.
const brokenCallWindow = 3 * time.Second

// maxBrokenCalls bounds the broken calls that are remembered. Requests have fingerprints that
// callers choose, and an upstream that breaks off calls without a crash takes none back.
const maxBrokenCalls = 1024

// CrashDetector detects crashes of the upstream of a sidecar and the requests that were
// running at them. Calls may break off before the crash is detected. The zero value
// has seen no answer of the upstream yet. A CrashDetector has no lock of its own.
type CrashDetector struct {
	// engineEpoch is EngineState.Epoch of the last answer, which changes when the
	// engine restarts.
	engineEpoch      int64
	engineEpochKnown bool
	down             bool
	brokenAt         map[contract.Fingerprint]time.Time
}

// RecordBrokenCall records that the upstream broke off a call.
func (w *CrashDetector) RecordBrokenCall(now time.Time, fp contract.Fingerprint) {
	if w.brokenAt == nil {
		w.brokenAt = make(map[contract.Fingerprint]time.Time)
	}
	if len(w.brokenAt) >= maxBrokenCalls {
		maps.DeleteFunc(w.brokenAt, func(_ contract.Fingerprint, at time.Time) bool { return now.Sub(at) >= brokenCallWindow })
	}
	if len(w.brokenAt) >= maxBrokenCalls {
		return
	}
	w.brokenAt[fp] = now
}

// RecordResponse records that the upstream answered, and reports whether it crashed
// since its last answer. engineEpoch is the Epoch of the engine's state, which changes
// when the engine restarts; 0 for plain services. Each crash is reported once: here by
// another engineEpoch, or by RecordNoResponse before.
func (w *CrashDetector) RecordResponse(engineEpoch int64) (crashed bool) {
	crashed = w.engineEpochKnown && !w.down && engineEpoch != w.engineEpoch
	w.engineEpoch = engineEpoch
	w.engineEpochKnown = true
	w.down = false
	return crashed
}

// RecordNoResponse records that the upstream does not answer. It reports a crash if the
// upstream was not down before.
func (w *CrashDetector) RecordNoResponse() (crashed bool) {
	crashed = !w.down
	w.down = true
	return crashed
}

// Down reports whether RecordNoResponse was called after the last RecordResponse.
func (w *CrashDetector) Down() bool {
	return w.down
}

// TakeSuspects returns the fingerprints running at a crash that was just detected: those
// sent to the upstream, and those of calls that broke off shortly before. It clears
// the broken calls.
func (w *CrashDetector) TakeSuspects(now time.Time, sent []contract.Fingerprint) []contract.Fingerprint {
	suspects := slices.Clone(sent)
	for fp, at := range w.brokenAt {
		if now.Sub(at) < brokenCallWindow {
			suspects = append(suspects, fp)
		}
	}
	w.brokenAt = nil
	slices.Sort(suspects)
	return slices.Compact(suspects)
}
