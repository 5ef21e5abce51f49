package settings

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Gateway holds the settings of a gateway: the process that serves callers in a
// fleet whose upstreams register themselves.
type Gateway struct {
	Where
	// Callers is the address for callers, as IP number and port; required.
	Callers string `toml:"callers"`
	// Readiness is the address that the balancer asks; required.
	Readiness string `toml:"readiness"`
	// Peer is the address for other gateways; required.
	Peer string `toml:"peer"`
	// Metrics is the address that serves counters as text; required.
	Metrics string `toml:"metrics"`
	// Registry is the address of the platform's store; required.
	Registry string `toml:"registry"`
	// Peers are the peer addresses of some other gateways, to start from;
	// default none.
	Peers []string `toml:"peers"`
	// Memory is what the process may take in all; required.
	Memory Size `toml:"memory"`
	// Descriptors is the files and connections that the process may open, 200 files
	// among them; default 0, which sets no limit.
	Descriptors int `toml:"descriptors"`
	// Workers is the size of the worker pool; default 4.
	Workers int `toml:"workers"`
	// Running bounds the requests that are admitted at a time; default 1024.
	Running int `toml:"running"`
	// Quota configures the enforcement of quotas.
	Quota GatewayQuota `toml:"quota"`
	// Lease is how long a duty is held without renewal; default 3s.
	Lease Duration `toml:"lease"`
	// Zones are the regions by availability zone, for routes and accounts with home
	// regions: upstreams in zones that are not listed are outside of them; default none.
	Zones map[string]string `toml:"zones"`
	// Cold bounds the requests to upstreams that are cold, in services that state for
	// how long they are and at what rate.
	Cold    GatewayCold    `toml:"cold"`
	Retries GatewayRetries `toml:"retries"`
	// Changes bounds the time until changes in the registry are in force.
	Changes GatewayChanges `toml:"changes"`
	// ReturnAfter is the wait that a refusal for want of room asks for; default
	// 2s.
	ReturnAfter Duration `toml:"return_after"`
	// ShutdownLimit is the time from SIGTERM to SIGKILL; default 8s.
	ShutdownLimit Duration `toml:"shutdown_limit"`
}

// minDescriptors is what a gateway without callers takes, with some upstreams and peers.
const minDescriptors = 64

// GatewayQuota configures the enforcement of the quotas of accounts.
type GatewayQuota struct {
	// Window is the span over which quotas are judged; default 8s.
	Window Duration `toml:"window"`
	// Slack is the tokens that an account may use beyond its quota in a window
	// in the whole fleet; default 0.
	Slack float64 `toml:"slack"`
}

// GatewayRetries is the retry budget: it bounds attempts after the first one, in
// the whole fleet.
type GatewayRetries struct {
	// Share is the retries allowed for each request; default 0.2.
	Share float64 `toml:"share"`
	// Slack is the retries allowed in a window at any load; default 50.
	Slack float64 `toml:"slack"`
	// Window is the span over which both are judged; default 10s.
	Window Duration `toml:"window"`
}

// GatewayChanges bounds the time until changes in the registry are in force, from the
// registry's acknowledgement on.
type GatewayChanges struct {
	// Config is the bound for a configuration; default 2s.
	Config Duration `toml:"config"`
	// Upstreams is the bound for the list of upstreams; default 2s.
	Upstreams Duration `toml:"upstreams"`
	// Settle is how long after an outage of the registry the bounds hold again; default
	// 3s.
	Settle Duration `toml:"settle"`
}

// GatewayCold is the bound on the requests to one cold upstream in any second, in the whole
// fleet.
type GatewayCold struct {
	// Over is the factor to the rate that the service states for cold upstreams; default
	// 0, no bound.
	Over float64 `toml:"over"`
	// Slack is the requests a second beyond Over; default 0.
	Slack float64 `toml:"slack"`
}

// DefaultGateway returns the defaults of a gateway. Required settings are empty.
func DefaultGateway() Gateway {
	return Gateway{
		Workers:       defaultWorkers,
		Running:       1024,
		Quota:         GatewayQuota{Window: durationOf(8 * time.Second)},
		Lease:         durationOf(3 * time.Second),
		Retries:       GatewayRetries{Share: 0.2, Slack: 50, Window: durationOf(10 * time.Second)},
		Changes:       GatewayChanges{durationOf(2 * time.Second), durationOf(2 * time.Second), durationOf(3 * time.Second)},
		ReturnAfter:   durationOf(2 * time.Second),
		ShutdownLimit: durationOf(8 * time.Second),
	}
}

// LoadGateway reads and checks the settings file of a gateway. An error is an
// *Error, or wraps the error of reading the file.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("settings: %w", err)
	}
	return DecodeGateway(path, string(text))
}

// DecodeGateway parses and checks the settings of a gateway. file is the name used
// in errors; an error is an *Error.
func DecodeGateway(file, text string) (Gateway, error) {
	s := DefaultGateway()
	err := decode(file, text, &s, s.check)
	return s, err
}

// Regions returns the regions by availability zone.
func (s *Gateway) Regions() map[zone.AvailabilityZone]zone.Region {
	regions := make(map[zone.AvailabilityZone]zone.Region, len(s.Zones))
	for name, region := range s.Zones {
		regions[zone.AvailabilityZone(name)] = zone.Region(region)
	}
	return regions
}

func (s *Gateway) check(c *checker) {
	s.Where.check(c)
	c.addr("callers", s.Callers)
	c.addr("readiness", s.Readiness)
	c.addr("peer", s.Peer)
	c.addr("metrics", s.Metrics)
	c.addr("registry", s.Registry)
	c.addrs("peers", s.Peers)
	c.size("memory", s.Memory, 16<<20, 1<<40)
	if s.Descriptors != 0 {
		between(c, "descriptors", s.Descriptors, minDescriptors, 1<<30)
	}
	between(c, "workers", s.Workers, 1, maxWorkers)
	between(c, "running", s.Running, 1, 100_000)
	c.duration("quota.window", s.Quota.Window, time.Second, time.Hour)
	between(c, "quota.slack", s.Quota.Slack, 0, 1e12)
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		c.name("zones."+name, name)
		c.name("zones."+name, s.Zones[name])
	}
	c.duration("changes.config", s.Changes.Config, 100*time.Millisecond, time.Hour)
	c.duration("changes.upstreams", s.Changes.Upstreams, 100*time.Millisecond, time.Hour)
	c.duration("changes.settle", s.Changes.Settle, 0, time.Hour)
	c.duration("lease", s.Lease, 100*time.Millisecond, time.Minute)
	between(c, "cold.over", s.Cold.Over, 0, 1000)
	between(c, "cold.slack", s.Cold.Slack, 0, 1e6)
	between(c, "retries.share", s.Retries.Share, 0, 1)
	between(c, "retries.slack", s.Retries.Slack, 0, 100_000)
	c.duration("retries.window", s.Retries.Window, time.Second, time.Hour)
	c.duration("return_after", s.ReturnAfter, 100*time.Millisecond, time.Minute)
	c.duration("shutdown_limit", s.ShutdownLimit, time.Second, time.Hour)
}
