package ratesim

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
)

// Scenarios returns every policy under every fault, with 3 and 12 entries, with calls
// spread evenly and with 70 in 100 at one entry, for the seeds 1 to seeds.
func Scenarios(seeds int) (all []Scenario) {
	for _, entries := range []int{3, 12} {
		for _, skew := range []float64{0, 0.7} {
			for _, fault := range Faults() {
				for _, policy := range []string{rate.PolicyEscrow, rate.PolicyFixedSplit, rate.PolicySingleOwner} {
					for seed := range seeds {
						all = append(all, Scenario{Policy: policy, Entries: entries, Skew: skew, Fault: fault, Seed: uint64(seed) + 1})
					}
				}
			}
		}
	}
	return all
}

// RunAll runs scenarios, up to parallel of them concurrently, and returns the reports in
// the same order. On an error it returns no reports.
func RunAll(all []Scenario, parallel int) ([]Report, error) {
	reports := make([]Report, len(all))
	errs := make([]error, len(all))
	slots := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for i := range all {
		slots <- struct{}{}
		running.Go(func() {
			reports[i], errs[i] = Run(all[i])
			<-slots
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// WriteTable writes a table with one row per report. Its last columns are OverTokens,
// Wrongful, WrongfulShare, WorstServed, MessagesPerRequest, RenewalsPerSecond and
// MicrosecondsToAdmit.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "entries\tskew\tfault\tpolicy\tseed\tover\twrongful\tshare\tworst\tmessages\trenewals/s\tµs")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%d\t%.1f\t%s\t%s\t%d\t%.1f\t%d\t%.4f\t%.3f\t%.1f\t%.1f\t%.1f\n",
			r.Entries, r.Skew, r.Fault, r.Policy, r.Seed, r.OverTokens, r.Wrongful, r.WrongfulShare,
			r.WorstServed, r.MessagesPerRequest, r.RenewalsPerSecond, r.MicrosecondsToAdmit)
	}
	return t.Flush()
}
