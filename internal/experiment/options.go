// Package experiment measures a policy against a baseline: the same seeded
// open-loop load goes to a fleet of real entries and sidecars under each of
// them, with a fault in the middle third of the time. Promises are counted at
// the stand-ins and at the callers, never from what the entries say.
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

// Fault names what goes wrong in the middle third of an experiment.
type Fault string

// Faults.
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

// policies are the ways to place work; the baselines take requests in the order
// in which they came.
var policies = map[string]fleet.Policy{
	placement.PolicyReserve:     {Placement: placement.PolicyReserve, Queue: fair.QueueWeighted},
	placement.PolicyLeastLoaded: {Placement: placement.PolicyLeastLoaded, Queue: fair.QueueFIFO},
	placement.PolicyRandomOfTwo: {Placement: placement.PolicyRandomOfTwo, Queue: fair.QueueFIFO},
}

// Policies lists the names of the policies.
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
	// MinDuration leaves time for a fault and its end.
	MinDuration = 3 * time.Second
)

// Options describe an experiment.
type Options struct {
	Workload string
	// Policy and Baseline are names of Policies.
	Policy, Baseline string
	// Rates is a policy of package rate, the same for both.
	Rates    string
	Fault    Fault
	Seed     uint64
	Duration time.Duration
	Load     float64
}

// ErrOptions means that the options make no experiment.
var ErrOptions = errors.New("experiment: invalid options")

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
		return fmt.Errorf("%w: duration under %s", ErrOptions, MinDuration)
	}
	if o.Load <= 0 {
		return fmt.Errorf("%w: load must be above 0", ErrOptions)
	}
	if o.Rates == "" {
		o.Rates = rate.DefaultPolicy
	}
	return nil
}

// faultStart and faultEnd bound the fault.
func (o *Options) faultStart() time.Duration { return o.Duration / 3 }
func (o *Options) faultEnd() time.Duration   { return o.Duration * 2 / 3 }

// inFault reports whether an offset is in the time of the fault.
func (o *Options) inFault(at time.Duration) bool {
	return at >= o.faultStart() && at < o.faultEnd()
}
