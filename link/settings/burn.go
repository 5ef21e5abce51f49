package settings

import "time"

// Burn holds the settings of the burn report. Flags of the command line override
// them.
type Burn struct {
	// Sources are URLs of entries' operators' listeners, or saved files; required.
	Sources []string `toml:"sources"`
	// KeyFile holds an operator's key; default none.
	KeyFile string `toml:"key_file"`
	// Timeout is the longest wait for all sources; default 5s.
	Timeout Duration `toml:"timeout"`
	// LatencyGoal is the share of requests that must meet a latency target;
	// default 0.95.
	LatencyGoal float64 `toml:"latency_goal"`
	// AnswerGoal is the share of requests within their rate that must be
	// answered; default 0.999.
	AnswerGoal float64 `toml:"answer_goal"`
}

// DefaultBurn returns the defaults of the burn report.
func DefaultBurn() Burn {
	return Burn{Timeout: durationOf(5 * time.Second), LatencyGoal: 0.95, AnswerGoal: 0.999}
}

func (s *Burn) check(c *checker) {
	if len(s.Sources) == 0 {
		c.add("sources", "must name at least one entry's operators' listener or saved file")
	}
	unique(c, "sources", s.Sources, func(source string) string { return source })
	c.duration("timeout", s.Timeout, 10*time.Millisecond, time.Minute)
	between(c, "latency_goal", s.LatencyGoal, 0, 0.999999)
	between(c, "answer_goal", s.AnswerGoal, 0, 0.999999)
}
