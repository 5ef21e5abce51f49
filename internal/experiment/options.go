// Package experiment compares a placement policy with a baseline. It sends the same
// seeded open-loop load to a fleet of real entries and sidecars under each of them, with
// a fault in the middle third of the time. All figures come from the stand-ins and the
// callers, not from statistics of the entries. The command trefoil-dev experiment calls
// it.
package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// Fault names the fault in the middle third of an experiment.
type Fault string

// Faults, by the names that the command line accepts. FaultZoneQuiet cuts one zone off.
// FaultStoreDown and FaultLostAnswers concern the platform's store: it fails, or its answers
// are lost after the writes take effect.
const (
	FaultNone            Fault = "none"
	FaultFlood           Fault = "flood"
	FaultCallersLeave    Fault = "callers-leave"
	FaultEngineCrash     Fault = "engine-crash"
	FaultPoison          Fault = "poison"
	FaultStalledTransfer Fault = "stalled-transfer"
	FaultZoneQuiet       Fault = "zone-quiet"
	FaultStoreDown       Fault = "store-down"
	FaultEntryKilled     Fault = "entry-killed"
	FaultLostAnswers     Fault = "lost-answers"
	FaultKeyWithdrawn    Fault = "key-withdrawn"
	FaultDrain           Fault = "drain"
)

// Faults lists all faults.
var Faults = []Fault{
	FaultNone, FaultFlood, FaultCallersLeave, FaultEngineCrash, FaultPoison, FaultStalledTransfer,
	FaultZoneQuiet, FaultStoreDown, FaultEntryKilled, FaultLostAnswers, FaultKeyWithdrawn, FaultDrain,
}

// policies are the policies that can be compared. The baselines serve waiters in order
// of arrival.
var policies = map[string]fleet.Policy{
	placement.PolicyReserve:     {Placement: placement.PolicyReserve, Queue: fair.QueueWeighted},
	placement.PolicyLeastLoaded: {Placement: placement.PolicyLeastLoaded, Queue: fair.QueueFIFO},
	placement.PolicyRandomOfTwo: {Placement: placement.PolicyRandomOfTwo, Queue: fair.QueueFIFO},
}

// Policies returns the names of the policies, sorted.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Defaults of Options.
const (
	// DefaultLoad is the offered load as a share of the decode capacity.
	DefaultLoad     = 0.95
	DefaultDuration = 30 * time.Second
	// MinDuration leaves time for the fault and the recovery from it.
	MinDuration = 3 * time.Second
)

// Options configure an experiment.
type Options struct {
	// Workload is the name of a fleet's workload.
	Workload string
	// Policy and Baseline are names of Policies.
	Policy, Baseline string
	// Rates is the name of a rate policy of package rate for both runs; rate.DefaultPolicy if empty.
	Rates string
	Fault Fault
	Seed  uint64
	// Duration is the time in which requests arrive, at least MinDuration.
	Duration time.Duration
	// Load is the offered load as a share of the decode capacity, above 0.
	Load float64
}

// ErrOptions is returned, wrapped, for invalid options.
var ErrOptions = errors.New("experiment: invalid options")

// check validates the options and sets the default of Rates.
func (o *Options) check() error {
	for _, name := range []string{o.Policy, o.Baseline} {
		if _, ok := policies[name]; !ok {
			return fmt.Errorf("%w: unknown policy %q", ErrOptions, name)
		}
	}
	if !slices.Contains(Faults, o.Fault) {
		return fmt.Errorf("%w: unknown fault %q", ErrOptions, o.Fault)
	}
	if o.Duration < MinDuration {
		return fmt.Errorf("%w: duration must be at least %s", ErrOptions, MinDuration)
	}
	if o.Load <= 0 {
		return fmt.Errorf("%w: load must be above 0", ErrOptions)
	}
	if o.Rates == "" {
		o.Rates = rate.DefaultPolicy
	}
	return nil
}

// faultStart and faultEnd are offsets from the start of the load.
func (o *Options) faultStart() time.Duration { return o.Duration / 3 }
func (o *Options) faultEnd() time.Duration   { return o.Duration * 2 / 3 }

// inFault reports whether an offset from the start of the load is during the fault.
func (o *Options) inFault(at time.Duration) bool {
	return at >= o.faultStart() && at < o.faultEnd()
}
