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
	// MetricInstance has the instance's name as a label and its time, in seconds
	// since 1970, as value.
	MetricInstance = "trefoil_instance_time_seconds"
	// MetricStarted is when the counts begin, in seconds since 1970.
	MetricStarted = "trefoil_started_time_seconds"
	// MetricLevels has what was counted for a route in a window.
	MetricLevels = "trefoil_level_requests"
	// MetricTokens has the same for tokens read.
	MetricTokens = "trefoil_level_prompt_tokens"
)

// counter is one field of the counts and its name in text.
type counter struct {
	metric, name string
	get          func(*burn.Counts) uint64
	set          func(*burn.Counts, uint64)
}

// small makes a counter of a field of 32 bits.
func small(name string, field func(*burn.Counts) *uint32) counter {
	return counter{
		metric: MetricLevels, name: name,
		get: func(c *burn.Counts) uint64 { return uint64(*field(c)) },
		set: func(c *burn.Counts, n uint64) { *field(c) = uint32(min(n, 1<<32-1)) },
	}
}

// large makes a counter of a field of 64 bits.
func large(name string, field func(*burn.Counts) *uint64) counter {
	return counter{
		metric: MetricTokens, name: name,
		get: func(c *burn.Counts) uint64 { return *field(c) },
		set: func(c *burn.Counts, n uint64) { *field(c) = n },
	}
}

var counters = []counter{
	small("asked", func(c *burn.Counts) *uint32 { return &c.Asked }),
	small("refused", func(c *burn.Counts) *uint32 { return &c.Refused }),
	small("rate_refused", func(c *burn.Counts) *uint32 { return &c.RateRefused }),
	small("answered", func(c *burn.Counts) *uint32 { return &c.Answered }),
	small("late_first", func(c *burn.Counts) *uint32 { return &c.LateFirst }),
	small("late_gap", func(c *burn.Counts) *uint32 { return &c.LateGap }),
	large("read", func(c *burn.Counts) *uint64 { return &c.PrefillTokens }),
	large("wasted", func(c *burn.Counts) *uint64 { return &c.WastedTokens }),
}

// seconds writes a time as a metric's value.
func seconds(t time.Time) string {
	return strconv.FormatFloat(float64(t.UnixMilli())/1000, 'f', 3, 64)
}

// WriteText writes a snapshot as metrics text; latencies are left out, since
// histograms carry them. A failed write is the writer's to notice.
func WriteText(w io.Writer, s burn.Snapshot) {
	_, _ = fmt.Fprintf(w, "%s{instance=%q} %s\n%s %s\n", MetricInstance, s.Instance, seconds(s.At), MetricStarted, seconds(s.Started))
	for _, one := range s.Series {
		for i, window := range burn.Windows {
			for _, c := range counters {
				_, _ = fmt.Fprintf(w, "%s{route=%q,window=%q,count=%q} %d\n", c.metric, one.Route, window, c.name, c.get(&one.Windows[i]))
			}
		}
	}
}

// DecodeText reads a snapshot from metrics text; lines of other metrics are left
// out.
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
			at, known := series[route]
			if !known {
				at = len(s.Series)
				series[route] = at
				s.Series = append(s.Series, burn.Series{Key: burn.Key{Route: route}})
			}
			err = setCount(&s.Series[at], labels, value)
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

// setCount takes in one count of a route.
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

// splitMetric takes a line of metrics text apart.
func splitMetric(line string) (name string, labels map[string]string, value string, ok bool) {
	space := strings.LastIndexByte(line, ' ')
	if space < 0 || strings.HasPrefix(line, "#") {
		return "", nil, "", false
	}
	head, value := line[:space], line[space+1:]
	name, rest, labelled := strings.Cut(head, "{")
	if !labelled {
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
