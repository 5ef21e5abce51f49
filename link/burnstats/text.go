package burnstats

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
)

// Names of the metrics that carry a snapshot as text.
const (
	// MetricInstance is the time of the snapshot, in seconds since 1970, with the
	// instance's name as a label.
	MetricInstance = "trefoil_instance_time_seconds"
	// MetricStarted is the time at which counting began, in seconds since 1970.
	MetricStarted = "trefoil_started_time_seconds"
	// MetricLevels counts requests for the service levels, with route, window and kind of count as labels.
	MetricLevels = "trefoil_level_requests"
	// MetricTokens counts prefill tokens, with the same labels.
	MetricTokens = "trefoil_level_prompt_tokens"
)

// counter maps a field of burn.Counts to its metric and its count label.
type counter struct {
	metric, name string
	get          func(*burn.Counts) uint64
	set          func(*burn.Counts, uint64)
}

// counter32 makes a counter for a 32-bit field. Larger values are capped.
func counter32(name string, field func(*burn.Counts) *uint32) counter {
	return counter{
		metric: MetricLevels, name: name,
		get: func(c *burn.Counts) uint64 { return uint64(*field(c)) },
		set: func(c *burn.Counts, n uint64) { *field(c) = uint32(min(n, 1<<32-1)) },
	}
}

// counter64 makes a counter for a 64-bit field.
func counter64(name string, field func(*burn.Counts) *uint64) counter {
	return counter{
		metric: MetricTokens, name: name,
		get: func(c *burn.Counts) uint64 { return *field(c) },
		set: func(c *burn.Counts, n uint64) { *field(c) = n },
	}
}

// counters lists the exported counts. The label "read" counts prefilled prompt
// tokens.
var counters = []counter{
	counter32("asked", func(c *burn.Counts) *uint32 { return &c.Asked }),
	counter32("refused", func(c *burn.Counts) *uint32 { return &c.Refused }),
	counter32("rate_refused", func(c *burn.Counts) *uint32 { return &c.RateRefused }),
	counter32("answered", func(c *burn.Counts) *uint32 { return &c.Answered }),
	counter32("late_first", func(c *burn.Counts) *uint32 { return &c.LateFirst }),
	counter32("late_gap", func(c *burn.Counts) *uint32 { return &c.LateGap }),
	counter64("read", func(c *burn.Counts) *uint64 { return &c.PrefillTokens }),
	counter64("wasted", func(c *burn.Counts) *uint64 { return &c.WastedTokens }),
}

// formatSeconds formats a time as the value of a metric.
func formatSeconds(t time.Time) string {
	return strconv.FormatFloat(float64(t.UnixMilli())/1000, 'f', 3, 64)
}

// WriteText writes a snapshot as metrics text, without latencies, which are
// exported as histograms. Write errors are ignored: w must detect them itself.
func WriteText(w io.Writer, s burn.Snapshot) {
	_, _ = fmt.Fprintf(w, "%s{instance=%q} %s\n%s %s\n", MetricInstance, s.Instance, formatSeconds(s.At), MetricStarted, formatSeconds(s.Started))
	for _, series := range s.Series {
		for i, window := range burn.Windows {
			for _, c := range counters {
				_, _ = fmt.Fprintf(w, "%s{route=%q,window=%q,count=%q} %d\n", c.metric, series.Route, window, c.name, c.get(&series.Windows[i]))
			}
		}
	}
}

// DecodeText reads a snapshot from metrics text and skips all other metrics. The
// error wraps ErrMalformed.
func DecodeText(r io.Reader) (burn.Snapshot, error) {
	var s burn.Snapshot
	series := make(map[contract.RouteName]int)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, labels, value, ok := splitMetric(lines.Text())
		if !ok {
			continue
		}
		var err error
		switch name {
		case MetricInstance:
			s.Instance = labels["instance"]
			s.At, err = parseTime(value)
		case MetricStarted:
			s.Started, err = parseTime(value)
		case MetricLevels, MetricTokens:
			route := contract.RouteName(labels["route"])
			index, known := series[route]
			if !known {
				index = len(s.Series)
				series[route] = index
				s.Series = append(s.Series, burn.Series{Key: burn.Key{Route: route}})
			}
			err = setCount(&s.Series[index], labels, value)
		}
		if err != nil {
			return burn.Snapshot{}, fmt.Errorf("%w: %s: %w", ErrMalformed, name, err)
		}
	}
	if err := lines.Err(); err != nil {
		return burn.Snapshot{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.At.IsZero() || s.Started.IsZero() {
		return burn.Snapshot{}, fmt.Errorf("%w: no %s or %s", ErrMalformed, MetricInstance, MetricStarted)
	}
	return s, nil
}

// setCount stores one count in the window that the labels name.
func setCount(s *burn.Series, labels map[string]string, value string) error {
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return err
	}
	window, err := time.ParseDuration(labels["window"])
	if err != nil {
		return err
	}
	for i, known := range burn.Windows {
		if known != window {
			continue
		}
		for _, c := range counters {
			if c.name == labels["count"] {
				c.set(&s.Windows[i], n)
				return nil
			}
		}
	}
	return fmt.Errorf("window %v or count %q is not known", window, labels["count"])
}

func parseTime(value string) (time.Time, error) {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(int64(s * 1000)), nil
}

// splitMetric splits a line of metrics text; ok is false for comments and
// malformed lines.
func splitMetric(line string) (name string, labels map[string]string, value string, ok bool) {
	space := strings.LastIndexByte(line, ' ')
	if space < 0 || strings.HasPrefix(line, "#") {
		return "", nil, "", false
	}
	head, value := line[:space], line[space+1:]
	name, rest, hasLabels := strings.Cut(head, "{")
	if !hasLabels {
		return name, nil, value, true
	}
	labels = make(map[string]string)
	for rest != "" && rest != "}" {
		key, quoted, found := strings.Cut(rest, "=")
		if !found {
			return "", nil, "", false
		}
		prefix, err := strconv.QuotedPrefix(quoted)
		if err != nil {
			return "", nil, "", false
		}
		text, err := strconv.Unquote(prefix)
		if err != nil {
			return "", nil, "", false
		}
		labels[key] = text
		rest = strings.TrimPrefix(quoted[len(prefix):], ",")
	}
	return name, labels, value, true
}
