package quarantine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// brokenFor is how long a call that broke off is held against a crash that
// shows later.
const brokenFor = 3 * time.Second

// Witness tells from what a sidecar sees of its upstream when that crashed, and
// what ran then. Calls may break off before the crash shows.
type Witness struct {
	epoch  int64
	known  bool
	down   bool
	broken map[contract.Fingerprint]time.Time
}

// Broke notes that the upstream broke off a call.
func (w *Witness) Broke(now time.Time, fp contract.Fingerprint) {
	if w.broken == nil {
		w.broken = make(map[contract.Fingerprint]time.Time)
	}
	w.broken[fp] = now
}

// Up notes that the upstream answered in the given epoch, and reports whether
// it crashed since it did so last. A crash shows once: either as a new epoch or
// as silence before.
func (w *Witness) Up(epoch int64) (crashed bool) {
	crashed = w.known && !w.down && epoch != w.epoch
	w.epoch = epoch
	w.known = true
	w.down = false
	return crashed
}

// Silent notes that the upstream does not answer, and reports whether that is
// new.
func (w *Witness) Silent() (crashed bool) {
	crashed = !w.down
	w.down = true
	return crashed
}

// Down reports whether the upstream did not answer when it was last asked.
func (w *Witness) Down() bool {
	return w.down
}

// Suspects gives the fingerprints present at a crash: those that the upstream
// had, and those that broke off shortly before.
func (w *Witness) Suspects(now time.Time, sent []contract.Fingerprint) []contract.Fingerprint {
	suspects := slices.Clone(sent)
	for fp, at := range w.broken {
		if now.Sub(at) < brokenFor {
			suspects = append(suspects, fp)
		}
	}
	w.broken = nil
	slices.Sort(suspects)
	return slices.Compact(suspects)
}
