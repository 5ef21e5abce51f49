package settings

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
)

// checker collects the problems of one settings file.
type checker struct {
	problems []Problem
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// maxNameBytes bounds names of instances, regions and zones.
const maxNameBytes = 64

// name checks that a value is safe in logs and identifiers.
func (c *checker) name(key, value string) {
	if value == "" || len(value) > maxNameBytes {
		c.add(key, "must have 1 to %d characters", maxNameBytes)
		return
	}
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '_' {
			c.add(key, "may hold letters, digits, - and _ only")
			return
		}
	}
}

// addr checks an IP address and port. Host names are refused, so that no DNS
// lookup is needed.
func (c *checker) addr(key, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.add(key, "%q is not an IP number and a port, such as 10.0.0.7:7100", value)
	}
}

// addrs checks each address of a list, with its index in the key.
func (c *checker) addrs(key string, values []string) {
	for i, value := range values {
		c.addr(fmt.Sprintf("%s[%d]", key, i), value)
	}
}

// baseURL checks the base URL of a service.
func (c *checker) baseURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.add(key, "must be an http or https URL, such as http://10.0.0.9:8000")
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.add(key, "must have no user, query or fragment")
	}
}

// oneOf checks that a value is one of the accepted words.
func (c *checker) oneOf(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.add(key, "%q is not one of %s", value, strings.Join(words, ", "))
	}
}

// duration checks that a duration was parsed and is within a range, inclusive.
func (c *checker) duration(key string, value Duration, lowest, highest time.Duration) {
	if value.invalid {
		c.add(key, "must be a time span with its unit, such as \"250ms\"")
		return
	}
	between(c, key, value.Duration, lowest, highest)
}

// size checks that a size was parsed and is within a range in bytes, inclusive.
func (c *checker) size(key string, value Size, lowest, highest int64) {
	if value.invalid {
		c.add(key, "must be a size with its unit, such as \"10MB\"")
		return
	}
	between(c, key, value.Bytes, lowest, highest)
}

// sha256 checks a SHA-256 hash in hex.
func (c *checker) sha256(key, value string) {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != sha256.Size {
		c.add(key, "must be a SHA-256 in %d hex digits", 2*sha256.Size)
	}
}

// between checks that a value is within a range, inclusive.
func between[N cmp.Ordered](c *checker, key string, value, lowest, highest N) {
	if value < lowest || value > highest {
		c.add(key, "%v is not between %v and %v", value, lowest, highest)
	}
}

// unique checks that no two items of a list have the same name.
func unique[T any](c *checker, key string, list []T, name func(T) string) {
	seen := make(map[string]bool, len(list))
	for _, item := range list {
		if seen[name(item)] {
			c.add(key, "%q is listed twice", name(item))
		}
		seen[name(item)] = true
	}
}
