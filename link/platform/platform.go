// Package platform defines the interfaces to the platform's services, which hold
// all durable state: the transactional table, the object store, the list of
// instances, which lags behind, and the rate-limited weight store. Package rest
// implements them over HTTP; the store packages below this one keep typed records
// in them; platformtest tests implementations.
package platform

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Errors of the services. Implementations return errors that wrap one of them.
var (
	// ErrUnavailable means that the service did not accept the call: nothing
	// was read or written.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrOutcomeUnknown means that a write was sent and no response received: it
	// may have taken effect. The caller must read back to learn the outcome.
	ErrOutcomeUnknown = errors.New("platform: answer lost, the write may have taken effect")
	// ErrConflict means that a condition of a transaction did not hold, so
	// nothing was written.
	ErrConflict = errors.New("platform: condition did not hold")
	// ErrThrottled means that the rate limit of the service was reached:
	// nothing was read or written.
	ErrThrottled = errors.New("platform: rate limit reached")
	// ErrNotFound means that no such object exists.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table. Version rises with each write of the row, and a
// row that is deleted and created again never gets an old version.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition is a requirement of a transaction: the row has this version, or does
// not exist if Version is 0.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied as a whole if all conditions hold, otherwise not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service.
type Table interface {
	// Get reads rows in the order of keys; absent rows are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows in order of key: those with the prefix whose
	// key is greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. An error wraps ErrConflict, ErrOutcomeUnknown,
	// ErrUnavailable or ErrThrottled.
	Commit(ctx context.Context, tx Transaction) error
}

// Objects is the object store.
type Objects interface {
	// Put stores an object and replaces one of the same name. After
	// ErrOutcomeUnknown it may be stored.
	Put(ctx context.Context, name string, body []byte) error
	// Get reads an object. The error of an absent one wraps ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. It succeeds if the object is absent.
	Delete(ctx context.Context, name string) error
	// List returns the names with a prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// ListedInstance is one instance in the list of instances.
type ListedInstance struct {
	// Name is the instance's name.
	Name string
	// Kind is "entry" or "sidecar".
	Kind    string
	Addr    string
	Place   zone.Place
	Leaving bool
}

// Instances is the list of live and leaving instances. It lags behind their
// actual state.
type Instances interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// Weights is the rate-limited store of model weights.
type Weights interface {
	// Fetch opens the weights of a model; the caller closes the reader. The
	// error of an unknown model wraps ErrNotFound.
	Fetch(ctx context.Context, model string) (io.ReadCloser, error)
}

// CallTimeout bounds one call of a platform service until its answer begins, and pauses in the
// answer; LongestAnswer bounds all of that. Neither applies to Weights.Fetch.
const (
	CallTimeout   = 2 * time.Second
	LongestAnswer = 20 * time.Second
)

// CallLimits are the limits of one call, or of several that belong together.
var CallLimits = progress.Limits{First: CallTimeout, Quiet: CallTimeout, Total: LongestAnswer}
