package fleet

import "github.com/trefoilwalk/trefoilwalk/internal/standin/record"

// received returns the request recorders of all upstreams.
func (f *Fleet) received() (all []*record.Recorder) {
	for _, e := range f.Engines {
		all = append(all, &e.Engine.Received)
	}
	for _, s := range f.Services {
		all = append(all, &s.Service.Received)
	}
	return all
}

// WatchKeys makes KeysSeen count the later requests that contain an account's key.
func (f *Fleet) WatchKeys() {
	for _, r := range f.received() {
		for _, a := range f.Workload.Accounts {
			r.Watch(a.Key)
		}
	}
}

// KeysSeen returns the number of requests at upstreams that contained a caller's
// key since WatchKeys; a request with two keys counts twice.
func (f *Fleet) KeysSeen() (n int) {
	for _, r := range f.received() {
		for _, hits := range r.Hits() {
			n += hits
		}
	}
	return n
}
