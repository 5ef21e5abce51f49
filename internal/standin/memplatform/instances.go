package memplatform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Instances is the lagging list of instances. It implements platform.Instances.
type Instances struct {
	faults *Faults

	mu      sync.Mutex
	lag     time.Duration
	current map[string]platform.Listed
	// past holds what List may still show, oldest first; its first element is
	// what List shows now, once the lag has passed since at.
	past []pastList
}

type pastList struct {
	at   time.Time
	list []platform.Listed
}

// NewInstances returns an empty list behind faults.
func NewInstances(faults *Faults) *Instances {
	return &Instances{faults: faults, current: make(map[string]platform.Listed)}
}

// SetLag sets how long a change stays out of List.
func (i *Instances) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// Put adds or replaces an instance.
func (i *Instances) Put(listed platform.Listed) {
	i.change(func() { i.current[listed.Name] = listed })
}

// Remove takes an instance off the list.
func (i *Instances) Remove(name string) {
	i.change(func() { delete(i.current, name) })
}

// List implements platform.Instances.
func (i *Instances) List(ctx context.Context) (list []platform.Listed, err error) {
	err = i.faults.read(ctx, func() error {
		list = i.visible(time.Now())
		return nil
	})
	return list, err
}

func (i *Instances) change(apply func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply()
	list := make([]platform.Listed, 0, len(i.current))
	for _, listed := range i.current {
		list = append(list, listed)
	}
	slices.SortFunc(list, func(a, b platform.Listed) int { return strings.Compare(a.Name, b.Name) })
	i.past = append(i.past, pastList{at: time.Now(), list: list})
}

// visible drops what newer lists have replaced and gives the oldest left.
func (i *Instances) visible(now time.Time) []platform.Listed {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.past) > 1 && now.Sub(i.past[1].at) >= i.lag {
		i.past = i.past[1:]
	}
	if len(i.past) == 0 || now.Sub(i.past[0].at) < i.lag {
		return []platform.Listed{}
	}
	return slices.Clone(i.past[0].list)
}
