package settings

import (
	"time"

	"github.com/alecthomas/units"
)

// Duration is a duration that is written with its unit, such as "250ms".
type Duration struct {
	time.Duration
	// invalid is set when the text is not a duration.
	invalid bool
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: an invalid
// text is marked, so that the check reports it along with all other problems.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	d.invalid = err != nil
	return nil
}

// durationOf converts a time.Duration.
func durationOf(d time.Duration) Duration {
	return Duration{Duration: d}
}

// Size is a number of bytes that is written with its unit, such as "10MB" or
// "4MiB".
type Size struct {
	Bytes int64
	// invalid is set when the text is not a size.
	invalid bool
}

// UnmarshalText implements encoding.TextUnmarshaler. Like that of Duration, it
// never fails.
func (s *Size) UnmarshalText(text []byte) error {
	parsed, err := units.ParseStrictBytes(string(text))
	s.Bytes = parsed
	s.invalid = err != nil
	return nil
}

// sizeOf converts a number of bytes.
func sizeOf(n int64) Size {
	return Size{Bytes: n}
}
