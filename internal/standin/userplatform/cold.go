package userplatform

import (
	"net/http"
	"strconv"
	"time"
)

// Cold describes a runner that has just started: until a time it crashes if more than Most
// requests arrive within a second.
type Cold struct {
	Until time.Time
	Most  int
}

// crashFor is how long a runner that crashed breaks off all requests.
const crashFor = 500 * time.Millisecond

// coldState is the state of a cold runner.
type coldState struct {
	Cold
	// arrivals are those of the last second.
	arrivals []time.Time
	// crashes are the times of its crashes, since the process began.
	crashes []time.Time
}

// StartCold makes the runner cold.
func (r *Runner) StartCold(c Cold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold.Cold, r.cold.arrivals = c, nil
}

// Crashes returns when the runner crashed because too many requests arrived while it was
// cold.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.cold.crashes...)
}

// arrive records the arrival of a caller's request at a cold runner and reports whether the
// runner has crashed. The answer says how long the runner stays cold.
func (r *Runner) arrive(now time.Time, answer http.Header) (crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.cold
	if n := len(c.crashes); n > 0 && now.Sub(c.crashes[n-1]) < crashFor {
		return true
	}
	if !now.Before(c.Until) {
		return false
	}
	answer.Set("Warmup-Ms", strconv.FormatInt(c.Until.Sub(now).Milliseconds(), 10))
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) >= time.Second {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, now)
	if len(c.arrivals) <= c.Most {
		return false
	}
	c.crashes = append(c.crashes, now)
	return true
}
