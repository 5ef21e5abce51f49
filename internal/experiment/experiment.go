package experiment

import (
	"context"
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
)

// Report holds the result of an experiment.
type Report struct {
	Workload  string  `json:"workload"`
	Fault     Fault   `json:"fault"`
	Seed      uint64  `json:"seed"`
	DurationS float64 `json:"duration_s"`
	Load      float64 `json:"load"`
	Rates     string  `json:"rates"`
	// Results holds the measures of the policy, then those of the baseline.
	Results []Measures `json:"results"`
}

// Run runs the same load on a new fleet under the policy and then under the baseline.
// Invalid options give an error that wraps ErrOptions.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	w, err := fleet.FindWorkload(o.Workload)
	if err != nil {
		return nil, err
	}
	w.SetRates(requestsPerSecond(&w, o.Load), headroom, rateBurst)
	plan := newPlan(o, &w)
	report := &Report{
		Workload:  o.Workload,
		Fault:     o.Fault,
		Seed:      o.Seed,
		DurationS: o.Duration.Seconds(),
		Load:      o.Load,
		Rates:     o.Rates,
	}
	for _, policy := range []string{o.Policy, o.Baseline} {
		m, err := runPolicy(ctx, o, w, policy, plan)
		if err != nil {
			return nil, fmt.Errorf("policy %s: %w", policy, err)
		}
		report.Results = append(report.Results, m)
	}
	return report, nil
}
