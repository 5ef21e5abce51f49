package caller

import "time"

// Limits bound the resources of an entry that one caller and all callers together
// can use. Zero fields take the defaults.
type Limits struct {
	// HeaderBytes bounds the headers of a request; default 16 KiB.
	HeaderBytes int
	// HeaderTimeout bounds the time to send the headers; default 5 s.
	HeaderTimeout time.Duration
	// BodyBytes bounds the body of a request; default 4 MiB.
	BodyBytes int64
	// BodyTimeout bounds the time to send the body; default 10 s.
	BodyTimeout time.Duration
	// HeldBytes bounds the bodies of all running requests; default 128 MiB.
	HeldBytes int64
	// Connections bounds the open connections; default 4096. Further ones are
	// closed before anything is read from them.
	Connections int
	// IdleTimeout closes connections with no request; default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller; default 10 s.
	WriteTimeout time.Duration
	// MaxTokens is the largest max_tokens accepted; default 8192.
	MaxTokens int64
	// DefaultMaxTokens applies to a request without max_tokens; default 256. It is
	// capped at MaxTokens.
	DefaultMaxTokens int64
}

// DefaultLimits returns the limits that replace zero fields.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:      16 << 10,
		HeaderTimeout:    5 * time.Second,
		BodyBytes:        4 << 20,
		BodyTimeout:      10 * time.Second,
		HeldBytes:        128 << 20,
		Connections:      4096,
		IdleTimeout:      time.Minute,
		WriteTimeout:     10 * time.Second,
		MaxTokens:        8192,
		DefaultMaxTokens: 256,
	}
}

// withDefaults replaces fields that are zero or negative.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.HeaderBytes = orDefault(l.HeaderBytes, d.HeaderBytes)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, d.HeaderTimeout)
	l.BodyBytes = orDefault(l.BodyBytes, d.BodyBytes)
	l.BodyTimeout = orDefault(l.BodyTimeout, d.BodyTimeout)
	l.HeldBytes = orDefault(l.HeldBytes, d.HeldBytes)
	l.Connections = orDefault(l.Connections, d.Connections)
	l.IdleTimeout = orDefault(l.IdleTimeout, d.IdleTimeout)
	l.WriteTimeout = orDefault(l.WriteTimeout, d.WriteTimeout)
	l.MaxTokens = orDefault(l.MaxTokens, d.MaxTokens)
	l.DefaultMaxTokens = min(orDefault(l.DefaultMaxTokens, d.DefaultMaxTokens), l.MaxTokens)
	return l
}

func orDefault[N int | int64 | time.Duration](value, fallback N) N {
	if value > 0 {
		return value
	}
	return fallback
}
