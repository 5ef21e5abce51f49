package experiment

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

func testOptions(fault Fault) Options {
	return Options{
		Workload: fleet.Wireworks,
		Policy:   placement.PolicyReserve,
		Baseline: placement.PolicyLeastLoaded,
		Fault:    fault,
		Seed:     3,
		Duration: MinDuration,
		Load:     0.3,
	}
}

func testWorkload(t *testing.T, o Options) fleet.Workload {
	t.Helper()
	w, err := fleet.FindWorkload(o.Workload)
	if err != nil {
		t.Fatal(err)
	}
	w.SetRates(requestsPerSecond(&w, o.Load), headroom, rateBurst)
	return w
}

func TestOptions(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *Options)
	}{
		{"policy", func(o *Options) { o.Policy = "guess" }},
		{"baseline", func(o *Options) { o.Baseline = "" }},
		{"fault", func(o *Options) { o.Fault = "flat-tyre" }},
		{"duration", func(o *Options) { o.Duration = time.Second }},
		{"load", func(o *Options) { o.Load = 0 }},
	}
	for _, c := range cases {
		o := testOptions(FaultNone)
		c.change(&o)
		if _, err := Run(t.Context(), o); !errors.Is(err, ErrOptions) {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

func TestPlans(t *testing.T) {
	for _, fault := range Faults {
		o := testOptions(fault)
		o.Duration = 12 * time.Second
		w := testWorkload(t, o)
		plan := newPlan(o, &w)
		if again := newPlan(o, &w); !reflect.DeepEqual(plan, again) {
			t.Errorf("%s: the same seed gives different plans", fault)
		}
		prompts := make(map[string]bool)
		leaving, poison, over := 0, 0, 0
		for _, p := range plan {
			if p.kind == kindModel && !p.poison && prompts[p.prompt] {
				t.Errorf("%s: a prompt is sent twice", fault)
			}
			prompts[p.prompt] = true
			leaving += boolToInt(p.leaveAfter > 0)
			poison += boolToInt(p.poison)
			over += boolToInt(!p.within)
		}
		if (leaving > 0) != (fault == FaultCallersLeave) || (poison > 0) != (fault == FaultPoison) || (over > 0) != (fault == FaultFlood) {
			t.Errorf("%s: %d callers leave, %d prompts crash engines, %d requests are over their rate", fault, leaving, poison, over)
		}
	}
}

func TestExcess(t *testing.T) {
	limit := contract.Rate{PerSecond: 100, Burst: 1000}
	at := func(seconds float64) time.Time { return time.Unix(0, int64(seconds*1e9)) }
	cases := []struct {
		name   string
		grants []grant
		want   contract.Tokens
	}{
		{"none", nil, 0},
		{"burst at once", []grant{{at(0), at(0), 1000}}, 0},
		{"one token over", []grant{{at(0), at(0), 1000}, {at(0), at(0), 1}}, 1},
		{"accrued in between", []grant{{at(0), at(0), 1000}, {at(5), at(5), 500}}, 0},
		{"accrued too little", []grant{{at(0), at(0), 1000}, {at(4), at(4), 500}}, 100},
		{"waited for tokens", []grant{{at(0), at(0), 1000}, {at(0), at(5), 500}}, 0},
		{"first grant waits, second does not", []grant{{at(0), at(9), 1000}, {at(9), at(9), 1000}}, 100},
	}
	for _, c := range cases {
		if got := excess(c.grants, limit); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestCountViolations checks that each violated guarantee is counted once, by its own counter.
func TestCountViolations(t *testing.T) {
	model := &plannedRequest{kind: kindModel, prompt: "a", output: 2, seed: 1}
	once := &plannedRequest{kind: kindOnce, body: "dispatch 7"}
	no := &load.Refusal{Ran: "no"}
	whole := load.Answer{Whole: true, EndMarkers: 1, Text: model.expected()}
	short, twice, longer := whole, whole, whole
	short.Text = short.Text[:2]
	twice.EndMarkers = 2
	longer.Text += " more"
	cases := []struct {
		name  string
		plan  *plannedRequest
		tries []try
		runs  int
		// want holds AnsweredTwice, RanTwice, FalseNotRun and Incomplete.
		want [4]int
	}{
		{"whole answer", model, []try{{answer: whole}}, 0, [4]int{}},
		{"short answer", model, []try{{answer: short}}, 0, [4]int{0, 0, 0, 1}},
		{"answered twice", model, []try{{answer: twice}}, 0, [4]int{1, 0, 0, 0}},
		{"more after the end", model, []try{{answer: longer}}, 0, [4]int{1, 0, 0, 1}},
		{"correctly refused as not run", model, []try{{answer: load.Answer{Refusal: no, Request: "other"}}}, 0, [4]int{}},
		{"refused as not run although it ran", model, []try{{answer: load.Answer{Refusal: no, Request: "r"}}}, 0, [4]int{0, 0, 1, 0}},
		{"call ran twice", once, []try{{answer: load.Answer{}}}, 2, [4]int{0, 1, 0, 0}},
		{"call not run, and ran later", once, []try{{answer: load.Answer{Refusal: no}}}, 1, [4]int{0, 0, 1, 0}},
		{"call not run, then sent again", once, []try{{answer: load.Answer{Refusal: no}}, {answer: load.Answer{}, runs: 1}}, 1, [4]int{}},
		{"call not run while it ran", once, []try{{answer: load.Answer{Refusal: no}, runs: 1}, {runs: 1}}, 1, [4]int{0, 0, 1, 0}},
		{"call not run after it ran", once, []try{{runs: 1}, {answer: load.Answer{Refusal: no}, runs: 1}}, 1, [4]int{0, 0, 1, 0}},
	}
	for _, c := range cases {
		r := &run{observer: newObserver(), outcomes: []*outcome{{plan: c.plan, tries: c.tries}}}
		r.observer.engineStart(contract.CallID{Request: "r"}, "a")
		for range c.runs {
			r.observer.serviceRun("", once.body)
		}
		var m Measures
		r.countViolations(&m)
		if got := [4]int{*m.AnsweredTwice, *m.RanTwice, *m.FalseNotRun, *m.Incomplete}; got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestCallersLeave runs one policy on a whole fleet while half of the callers leave early,
// and checks that every figure is measured and no guarantee is violated.
func TestCallersLeave(t *testing.T) {
	o := testOptions(FaultCallersLeave)
	o.Load = 0.05
	w := testWorkload(t, o)
	w.Output = 20
	plan := newPlan(o, &w)
	for _, p := range plan[:len(plan)/2] {
		if p.kind == kindModel {
			p.output, p.leaveAfter = 200, 500*time.Millisecond
		}
	}
	m, err := runPolicy(t.Context(), o, w, o.Policy, plan)
	if err != nil {
		t.Fatal(err)
	}
	if m.Goodput == nil || m.OrphanMSMax == nil || m.TTFTP95MS == nil || m.ConfigSMax == nil {
		t.Errorf("figures are missing: %+v", m)
	}
	if m.WithdrawnSMax != nil {
		t.Errorf("withdrawal is measured without a withdrawn key: %+v", m)
	}
	if *m.RanTwice+*m.FalseNotRun+*m.AnsweredTwice+*m.Incomplete+*m.KeysSeen != 0 || *m.OverRate != 0 {
		t.Errorf("a guarantee was violated: %+v", m)
	}
}
