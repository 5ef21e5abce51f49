package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/experiment"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

func addExperiment(app *kingpin.Application, commands map[string]func(context.Context) error) {
	var o experiment.Options
	var fault, plotFile string
	var asJSON bool
	faults := make([]string, len(experiment.Faults))
	for i, f := range experiment.Faults {
		faults[i] = string(f)
	}
	policies := experiment.Policies()
	c := app.Command("experiment", "Measure a policy against a baseline under the same load and fault.")
	c.Flag("workload", "Fleet and load to simulate.").Default(fleet.Wireworks).EnumVar(&o.Workload, fleet.Wireworks, fleet.Imigongo)
	c.Flag("policy", "Placement policy to measure.").Default(placement.PolicyReserve).EnumVar(&o.Policy, policies...)
	c.Flag("baseline", "Placement policy to compare with.").Default(placement.PolicyLeastLoaded).EnumVar(&o.Baseline, policies...)
	c.Flag("rates", "Policy by which entries share the rates of client accounts; empty for the default.").StringVar(&o.Rates)
	c.Flag("fault", "Fault that is injected in the middle third of the duration.").Default(string(experiment.FaultNone)).EnumVar(&fault, faults...)
	c.Flag("seed", "Random seed of the load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("duration", "Length of the period in which requests arrive.").Default(experiment.DefaultDuration.String()).DurationVar(&o.Duration)
	c.Flag("load", "Offered load as a share of decode capacity.").
		Default(strconv.FormatFloat(experiment.DefaultLoad, 'f', -1, 64)).Float64Var(&o.Load)
	c.Flag("json", "Print one JSON object and nothing else.").BoolVar(&asJSON)
	c.Flag("plot", "Draw goodput over time into this .png, .svg or .pdf file.").StringVar(&plotFile)
	commands[c.FullCommand()] = func(ctx context.Context) error {
		o.Fault = experiment.Fault(fault)
		report, err := experiment.Run(ctx, o)
		if err != nil {
			return err
		}
		return printReport(os.Stdout, report, asJSON, plotFile)
	}
}

// printReport writes the report to w and, if plotFile is set, a plot to that file.
func printReport(w io.Writer, report *experiment.Report, asJSON bool, plotFile string) error {
	if plotFile != "" {
		if err := report.Plot(plotFile); err != nil {
			return err
		}
	}
	if asJSON {
		return json.NewEncoder(w).Encode(report)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range report.Results {
		fmt.Fprintf(table, "policy\t%s\n", m.Policy)
		fmt.Fprintf(table, "requests\t%d, of these %d within rate and %d disrupted by the fault\n", m.Offered, m.WithinRate, m.Inside)
		row(table, "goodput", m.Goodput)
		row(table, "wasted prefill", m.WastedPrefill)
		row(table, "worst account", m.WorstAccount)
		row(table, "wrongful refusals", m.WrongfulRefusals)
		row(table, "tokens over rate", m.OverRate)
		row(table, "answered twice", m.AnsweredTwice)
		row(table, "ran twice", m.RanTwice)
		row(table, "refused as \"not run\" but ran", m.FalseNotRun)
		row(table, "incomplete", m.Incomplete)
		row(table, "caller keys seen upstream", m.KeysSeen)
		row(table, "engine memory held after the caller left, ms", m.OrphanMSMax)
		row(table, "output after key withdrawal, s", m.WithdrawnSMax)
		row(table, "configuration propagation, s", m.ConfigSMax)
		row(table, "first token p95, ms", m.TTFTP95MS)
		row(table, "between tokens p95, ms", m.ITLP95MS)
		fmt.Fprintf(table, "missed targets\tfirst token %d, between tokens %d\n", m.Missed.FirstToken, m.Missed.BetweenTokens)
		fmt.Fprintf(table, "refusals\t%v\n\n", m.Refusals)
	}
	return table.Flush()
}

// row prints one figure, or "not measured" if value is nil.
func row[T any](w io.Writer, name string, value *T) {
	if value == nil {
		fmt.Fprintf(w, "%s\tnot measured\n", name)
		return
	}
	if number, ok := any(*value).(float64); ok {
		fmt.Fprintf(w, "%s\t%.4g\n", name, number)
		return
	}
	fmt.Fprintf(w, "%s\t%v\n", name, *value)
}
