package settings

import (
	"time"

	"github.com/alecthomas/units"
)

// Duration is a time span, written with its unit, such as "250ms".
type Duration struct {
	time.Duration
	// wrong is set when the text was no duration.
	wrong bool
}

// UnmarshalText implements encoding.TextUnmarshaler. A wrong text is kept for
// the check, so that it is reported along with all other problems.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	d.wrong = err != nil
	return nil
}

// of returns a Duration.
func of(d time.Duration) Duration {
	return Duration{Duration: d}
}

// Size is a number of bytes, written with its unit, such as "10MB" or "4MiB".
type Size struct {
	Bytes int64
	// wrong is set when the text was no size.
	wrong bool
}

// UnmarshalText implements encoding.TextUnmarshaler, as that of Duration does.
func (s *Size) UnmarshalText(text []byte) error {
	parsed, err := units.ParseStrictBytes(string(text))
	s.Bytes = parsed
	s.wrong = err != nil
	return nil
}

// bytes returns a Size.
func bytes(n int64) Size {
	return Size{Bytes: n}
}
