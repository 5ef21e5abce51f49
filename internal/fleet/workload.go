package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Names of the workloads, as FindWorkload accepts them.
const (
	// Wireworks has long prompts and short outputs, Imigongo shorter prompts and longer
	// outputs with more engines.
	Wireworks = "wireworks"
	Imigongo  = "imigongo"
)

// ErrWorkload means that a workload's name is unknown.
var ErrWorkload = errors.New("fleet: unknown workload")

// Workload describes the parts of a fleet and the load of its callers.
type Workload struct {
	Name   string
	Region zone.Region
	Zones  []zone.AvailabilityZone
	// Model is served by Prefills and Decodes engines, spread over the zones.
	Model             contract.ModelName
	Prefills, Decodes int
	// Service is the pool name of the plain service, Runners the number of its
	// instances, Fleet.Services.
	Service string
	Runners int
	Routes  []contract.Route
	// NonRepeatablePath is the path prefix of calls that may not be repeated, RepeatablePath that
	// of calls that may.
	NonRepeatablePath, RepeatablePath string
	Accounts                          []Account
	// Prompt and Output are the mean numbers of prompt and output tokens of a request,
	// MaxPrompt bounds that of the prompt.
	Prompt, MaxPrompt, Output contract.Tokens
}

// Account is a client account with its key and its fraction of the load.
type Account struct {
	contract.ClientAccount
	Key string
	// LoadFraction is the fraction of the workload's model requests; all accounts add up
	// to 1.
	LoadFraction float64
}

// FindWorkload returns the workload with a name, or ErrWorkload.
func FindWorkload(name string) (Workload, error) {
	switch name {
	case Wireworks:
		return wireworks(), nil
	case Imigongo:
		return imigongo(), nil
	default:
		return Workload{}, fmt.Errorf("%w: %q", ErrWorkload, name)
	}
}

func wireworks() Workload {
	w := Workload{
		Name:              Wireworks,
		Region:            "saurashtra",
		Zones:             []zone.AvailabilityZone{"rajkot-a", "rajkot-b", "morbi"},
		Model:             "pattern-reader",
		Prefills:          4,
		Decodes:           5,
		Service:           "order-desk",
		Runners:           3,
		NonRepeatablePath: "/dispatch/",
		RepeatablePath:    "/stock/",
		Prompt:            2400,
		MaxPrompt:         16_000,
		Output:            120,
	}
	w.Routes = []contract.Route{
		w.modelRoute(contract.Route{
			Patient: true,
			Timeout: 2 * time.Minute,
			Targets: contract.LatencyTargets{FirstToken: 4 * time.Second, BetweenTokens: 150 * time.Millisecond},
		}),
		w.serviceRoute("dispatch", w.NonRepeatablePath, false),
		w.serviceRoute("stock", w.RepeatablePath, true),
	}
	w.Accounts = accounts("export", "dispatch-office", "wages", "quotations", "archive")
	return w
}

func imigongo() Workload {
	w := Workload{
		Name:              Imigongo,
		Region:            "kigali",
		Zones:             []zone.AvailabilityZone{"kigali-a", "kigali-b", "kigali-c"},
		Model:             "report-writers",
		Prefills:          5,
		Decodes:           7,
		Service:           "appraisal-ledger",
		Runners:           3,
		NonRepeatablePath: "/fees/",
		RepeatablePath:    "/certificates/",
		Prompt:            1200,
		MaxPrompt:         8000,
		Output:            160,
	}
	w.Routes = []contract.Route{
		w.modelRoute(contract.Route{
			Timeout: time.Minute,
			Targets: contract.LatencyTargets{FirstToken: time.Second, BetweenTokens: 150 * time.Millisecond},
		}),
		w.serviceRoute("fees", w.NonRepeatablePath, false),
		w.serviceRoute("certificates", w.RepeatablePath, true),
	}
	w.Accounts = accounts("head-office", "musanze", "huye", "rubavu", "nyagatare")
	return w
}

// callTimeout bounds one call of a plain service.
const callTimeout = 10 * time.Second

func (w *Workload) modelRoute(r contract.Route) contract.Route {
	r.Name = "generate"
	r.Kind = contract.RouteModel
	r.Model = w.Model
	r.Repeatable = true
	return r
}

func (w *Workload) serviceRoute(name contract.RouteName, prefix string, repeatable bool) contract.Route {
	return contract.Route{
		Name:       name,
		Kind:       contract.RouteService,
		Service:    w.Service,
		PathPrefix: prefix,
		Repeatable: repeatable,
		Timeout:    callTimeout,
		CallCost:   1,
	}
}

// parts are the fractions of the load by account: a few accounts are large.
var parts = []float64{0.40, 0.30, 0.15, 0.10, 0.05}

func accounts(names ...string) []Account {
	list := make([]Account, len(names))
	for i, name := range names {
		list[i] = Account{
			ClientAccount: contract.ClientAccount{ID: contract.AccountID(name), Weight: 1},
			Key:           "tw-key-" + name + "-7f3a9c",
			LoadFraction:  parts[i],
		}
	}
	return list
}

// SetRates sets the rate of each account to headroom times its fraction of the
// model load, and its burst to that rate times burst, but to no less than
// 4*(MaxPrompt + 4*Output), the cost of four requests of the longest prompt with four times
// the mean output.
func (w *Workload) SetRates(requestsPerSecond, headroom float64, burst time.Duration) {
	perRequest := float64(w.Prompt + w.Output)
	for i := range w.Accounts {
		a := &w.Accounts[i]
		perSecond := max(1, a.LoadFraction*requestsPerSecond*headroom*perRequest)
		a.Rate.PerSecond = contract.Tokens(perSecond)
		a.Rate.Burst = max(contract.Tokens(perSecond*burst.Seconds()), 4*(w.MaxPrompt+4*w.Output))
	}
}
