package memplatform

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Objects is an object store in memory. It implements platform.Objects and is safe
// for concurrent use.
type Objects struct {
	faults *Faults

	mu     sync.Mutex
	bodies map[string][]byte
}

// NewObjects returns an empty object store whose calls are subject to faults.
func NewObjects(faults *Faults) *Objects {
	return &Objects{faults: faults, bodies: make(map[string][]byte)}
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	body = bytes.Clone(body)
	return o.faults.write(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.bodies[name] = body
		return nil
	})
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) (body []byte, err error) {
	err = o.faults.read(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		found, ok := o.bodies[name]
		if !ok {
			return fmt.Errorf("%w: object %q", platform.ErrNotFound, name)
		}
		body = bytes.Clone(found)
		return nil
	})
	return body, err
}

// Delete implements platform.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.faults.write(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.bodies, name)
		return nil
	})
}

// List implements platform.Objects.
func (o *Objects) List(ctx context.Context, prefix string) (names []string, err error) {
	err = o.faults.read(ctx, func() error {
		names = o.list(prefix)
		return nil
	})
	return names, err
}

func (o *Objects) list(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := []string{}
	for name := range o.bodies {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
