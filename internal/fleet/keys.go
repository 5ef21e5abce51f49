package fleet

import "github.com/trefoilwalk/trefoilwalk/internal/standin/record"

// received lists what all upstreams got.
func (f *Fleet) received() (all []*record.Recorder) {
	for _, e := range f.Engines {
		all = append(all, &e.Engine.Received)
	}
	for _, s := range f.Services {
		all = append(all, &s.Service.Received)
	}
	return all
}

// WatchKeys makes KeysSeen count from now on.
func (f *Fleet) WatchKeys() {
	for _, r := range f.received() {
		for _, a := range f.Workload.Accounts {
			r.Watch(a.Key)
		}
	}
}

// KeysSeen counts the requests at upstreams that contained a caller's key.
func (f *Fleet) KeysSeen() (n int) {
	for _, r := range f.received() {
		for _, hits := range r.Hits() {
			n += hits
		}
	}
	return n
}
