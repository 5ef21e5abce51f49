// Package load estimates how long a call would take at each of the upstreams that can run
// it, from the load reports in their answers and from the calls that this process sent
// there. It has no lock of its own: its values live in the table of the board.
package load

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// HalfLife is the age at which a report counts half.
const HalfLife = 300 * time.Millisecond

// maxSlowness bounds a reported slowness, so that one wrong report cannot exclude an
// upstream for as long as the report counts.
const maxSlowness = 20

// View is what one process knows of the load of an upstream. The zero value is an upstream
// without work and without a report.
type View struct {
	report runner.Load
	at     time.Time
	// sent counts the calls that this process sent after the report and that have not
	// ended.
	sent int
}

// Sent records that this process sent a call there.
func (v *View) Sent() {
	v.sent++
}

// Ended records that a call of this process ended there.
func (v *View) Ended() {
	v.sent = max(0, v.sent-1)
}

// Record takes a report. A report without a load is ignored.
func (v *View) Record(now time.Time, report runner.Load) {
	if !report.Known {
		return
	}
	if report.Slowness <= 0 {
		report.Slowness = 1
	}
	report.Slowness = min(report.Slowness, maxSlowness)
	v.report, v.at, v.sent = report, now, 0
}

// weight is how much the report counts at a time: 1 when it arrives, half after each
// HalfLife, 0 without one.
func (v *View) weight(now time.Time) float64 {
	if !v.report.Known {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(v.at).Seconds()) / HalfLife.Seconds())
}

// Slowness is the reported slowness, which approaches 1 as the report gets older.
func (v *View) Slowness(now time.Time) float64 {
	w := v.weight(now)
	if w == 0 {
		return 1
	}
	return 1 + w*(v.report.Slowness-1)
}

// Slow reports whether a report of the last second has a slowness of 1.25 or more.
func (v *View) Slow(now time.Time) bool {
	return v.report.Known && now.Sub(v.at) < time.Second && v.report.Slowness >= 1.25
}

// slots is the reported number of slots, 0 if it is not known.
func (v *View) slots() float64 {
	return float64(v.report.Slots)
}

// occupied is the reported number of running and waiting calls.
func (v *View) occupied() float64 {
	return float64(v.report.Running + v.report.Waiting)
}

// Mean is the mean load of a set of upstreams. An upstream whose report is old is
// taken to be as loaded as the mean, but at most maxAssumedLoad.
type Mean struct {
	upstreams, slots float64
	weights, loads   float64
}

// Add adds an upstream to the set.
func (m *Mean) Add(now time.Time, v *View) {
	if v.report.Slots <= 0 {
		return
	}
	m.upstreams++
	m.slots += v.slots()
	w := v.weight(now)
	m.weights += w
	m.loads += w * v.occupied() / v.slots()
}

// maxAssumedLoad bounds the load that is assumed without a report, in calls per slot. It is
// below 1, so that upstreams that are not known to be full are asked before those that are.
const maxAssumedLoad = 0.75

// load is the mean of the calls per slot.
func (m *Mean) load() float64 {
	if m.weights == 0 {
		return 0
	}
	return min(maxAssumedLoad, m.loads/m.weights)
}

// meanSlots is the number of slots assumed of an upstream that reported none.
func (m *Mean) meanSlots() float64 {
	if m.upstreams == 0 {
		return 1
	}
	return m.slots / m.upstreams
}

// overloadWeight is the weight of the calls beyond the slots: they wait for a place or are
// refused. Without it more calls are refused than when the fewest calls decide, because an
// upstream that works as fast as usual is preferred when it is full.
const overloadWeight = 2

// Completion is the expected time to complete one more call, relative to the time that it
// takes alone on an upstream with one slot that works as fast as usual. It is the number of
// calls divided by the slots and multiplied by the slowness, and the calls beyond the slots.
// own is the number of calls that this process has there; surcharge is added to the calls.
func (v *View) Completion(now time.Time, m Mean, own int, surcharge float64) float64 {
	slots, w := v.slots(), v.weight(now)
	if slots <= 0 {
		slots, w = m.meanSlots(), 0
	}
	calls := w*v.occupied() + (1-w)*m.load()*slots + float64(v.sent)
	perSlot := (max(calls, float64(own)) + 1 + surcharge) / slots
	return perSlot*v.Slowness(now) + overloadWeight*max(0, perSlot-1)
}

// MeanQueue is the mean number of requests that wait at each upstream of a set, such as a
// zone's.
type MeanQueue struct {
	weights, waiting float64
}

// Add adds an upstream to the set.
func (m *MeanQueue) Add(now time.Time, v *View) {
	w := v.weight(now)
	m.weights += w
	m.waiting += w * float64(v.report.Waiting)
}

// noQueueWeight is the weight, in fresh reports, of the assumption that nothing waits: it
// decides where no report is fresh, so that the set is tried again.
const noQueueWeight = 0.3

// Queue is the number of waiting requests that was reported, and the mean of the set, each
// weighted by the report's age.
func (v *View) Queue(now time.Time, m MeanQueue) (reported, assumed float64) {
	w := v.weight(now)
	return w * float64(v.report.Waiting), (1 - w) * m.waiting / (m.weights + noQueueWeight)
}
