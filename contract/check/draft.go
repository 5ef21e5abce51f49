package check

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
)

// Draft is a configuration of package directory as it was written: in the order of the
// file and with repeated names and keys, which directory.Snapshot does not keep.
type Draft struct {
	Version  uint64
	Routes   []RouteDraft
	Services []ServiceDraft
	Accounts []AccountDraft
	Limits   directory.Limits
	// Places has the place of the version.
	Places Places
}

// Field names a field in the terms of this module.
type Field string

// Fields that have a place of their own.
const (
	FieldVersion     Field = "version"
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldKind        Field = "kind"
	FieldTimeout     Field = "timeout"
	FieldObjective   Field = "objective"
	FieldMaxGap      Field = "max gap"
	FieldMaxAttempts Field = "max attempts"
	FieldShares      Field = "shares"
	FieldService     Field = "service"
	FieldBurst       Field = "burst"
	FieldKeys        Field = "keys"
	FieldWarmup      Field = "warm-up"
	FieldWarmupRate  Field = "warm-up rate"
)

// Places holds the place of an object and of its fields.
type Places struct {
	Object Place
	Fields map[Field]Place
}

// of returns the place of the first field that was given, else of the object.
func (p Places) of(fields ...Field) Place {
	for _, f := range fields {
		if place, ok := p.Fields[f]; ok {
			return place
		}
	}
	return p.Object
}

// RouteDraft is a route as it was written.
type RouteDraft struct {
	Places Places
	Route  *directory.Route
	// KnownKind is false if the kind was not known and Once is assumed.
	KnownKind bool
	// SharesIgnored is set if the route has both a service and shares; the service counts.
	SharesIgnored bool
	// ShareFields has the place of each share; empty if the route has no list of shares.
	ShareFields []Place
}

// ServiceDraft is a service as it was written.
type ServiceDraft struct {
	Places  Places
	Service *directory.Service
	// Warmup is how long an upstream is cold after its start; meanwhile it may get
	// WarmupPerSecond requests a second.
	Warmup          time.Duration
	WarmupPerSecond float64
}

// AccountDraft is a client account as it was written.
type AccountDraft struct {
	Places  Places
	Account *directory.Account
	Keys    []KeyDraft
}

// KeyDraft is a key of an account.
type KeyDraft struct {
	Place Place
	Hash  contract.KeyHash
	// Empty is set if the key has no characters.
	Empty bool
}
