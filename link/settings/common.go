package settings

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Where holds the name and location of a process.
type Where struct {
	// Name is the instance's name, unique in the fleet; required.
	Name string `toml:"name"`
	// Region and Zone are the instance's region and availability zone;
	// required.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
}

// Place returns the region and availability zone.
func (w *Where) Place() zone.Place {
	return zone.Place{Region: zone.Region(w.Region), Zone: zone.AvailabilityZone(w.Zone)}
}

func (w *Where) check(c *checker) {
	c.name("name", w.Name)
	c.name("region", w.Region)
	c.name("zone", w.Zone)
}

// Platform holds the address of the platform's services.
type Platform struct {
	// URL is the base URL of the platform's services; required.
	URL string `toml:"url"`
}

func (p *Platform) check(c *checker) {
	c.baseURL("platform.url", p.URL)
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Notice is how long a process is unready, but takes requests, so that the
	// balancer and the entries learn of it; default 2s.
	Notice Duration `toml:"notice"`
	// Limit is how long running requests may take to finish; default 10m.
	Limit Duration `toml:"limit"`
}

func defaultDrain() Drain {
	return Drain{Notice: durationOf(2 * time.Second), Limit: durationOf(10 * time.Minute)}
}

func (d *Drain) check(c *checker) {
	c.duration("drain.notice", d.Notice, 0, time.Minute)
	c.duration("drain.limit", d.Limit, 0, 24*time.Hour)
}

// Operator is a user of the operators' listener.
type Operator struct {
	// Name stands in the audit trail; required.
	Name string `toml:"name"`
	// Role is "read" or "write"; required.
	Role string `toml:"role"`
	// KeySHA256 is the hash of the operator's key in hex; required.
	KeySHA256 string `toml:"key_sha256"`
}

// Roles of operators.
const (
	RoleRead  = "read"
	RoleWrite = "write"
)

func checkOperators(c *checker, operators []Operator) {
	for _, o := range operators {
		c.name("operators.name", o.Name)
		c.oneOf("operators.role", o.Role, RoleRead, RoleWrite)
		c.sha256("operators.key_sha256", o.KeySHA256)
	}
	unique(c, "operators.name", operators, func(o Operator) string { return o.Name })
	unique(c, "operators.key_sha256", operators, func(o Operator) string { return o.KeySHA256 })
}

// Default and maximum size of the worker pool.
const (
	defaultWorkers = 4
	maxWorkers     = 256
)
