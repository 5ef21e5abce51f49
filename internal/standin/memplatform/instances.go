package memplatform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Instances is the list of instances, which shows changes after a lag. It
// implements platform.Instances and is safe for concurrent use.
type Instances struct {
	faults *Faults

	mu      sync.Mutex
	lag     time.Duration
	current map[string]platform.ListedInstance
	// past holds the states of the list that List may still return, oldest first.
	// List returns the first one as soon as the lag has passed since its time.
	past []pastList
}

// pastList is the list from one change, at a time, to the next.
type pastList struct {
	at   time.Time
	list []platform.ListedInstance
}

// NewInstances returns an empty list without lag, whose calls are subject to
// faults.
func NewInstances(faults *Faults) *Instances {
	return &Instances{faults: faults, current: make(map[string]platform.ListedInstance)}
}

// SetLag sets the delay after which List shows a change.
func (i *Instances) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// Put adds or replaces an instance.
func (i *Instances) Put(listed platform.ListedInstance) {
	i.change(func() { i.current[listed.Name] = listed })
}

// Remove removes an instance; one that is not listed is ignored.
func (i *Instances) Remove(name string) {
	i.change(func() { delete(i.current, name) })
}

// List implements platform.Instances.
func (i *Instances) List(ctx context.Context) (list []platform.ListedInstance, err error) {
	err = i.faults.read(ctx, func() error {
		list = i.visible(time.Now())
		return nil
	})
	return list, err
}

// change applies a change and adds the resulting list, sorted by name, to past.
func (i *Instances) change(apply func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply()
	list := make([]platform.ListedInstance, 0, len(i.current))
	for _, listed := range i.current {
		list = append(list, listed)
	}
	slices.SortFunc(list, func(a, b platform.ListedInstance) int { return strings.Compare(a.Name, b.Name) })
	i.past = append(i.past, pastList{at: time.Now(), list: list})
}

// visible returns the newest list that is at least as old as the lag, and drops
// the older ones.
func (i *Instances) visible(now time.Time) []platform.ListedInstance {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.past) > 1 && now.Sub(i.past[1].at) >= i.lag {
		i.past = i.past[1:]
	}
	if len(i.past) == 0 || now.Sub(i.past[0].at) < i.lag {
		return []platform.ListedInstance{}
	}
	return slices.Clone(i.past[0].list)
}
