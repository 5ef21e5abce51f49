package userplatform

import "maps"

// StoreCopy is what a store held at one moment.
type StoreCopy struct {
	version uint64
	rows    map[string]Row
}

// LostRows are the rows of the operator and of the upstreams that a store lacks since it was
// put back to a copy.
type LostRows struct {
	rows []Row
	copy StoreCopy
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{s.version, maps.Clone(s.rows)}
}

// Restore puts the store back to a copy: what was written since is lost, and its versions are
// given out again. Feeds that wait lose their connections.
func (s *Store) Restore(to StoreCopy) LostRows {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := LostRows{copy: to}
	for key, r := range s.rows {
		if (r.Table == "op" || r.Table == "servers") && r.Version != to.rows[key].Version {
			lost.rows = append(lost.rows, r)
		}
	}
	s.version, s.rows = to.version, maps.Clone(to.rows)
	s.forgotten = min(s.forgotten, s.version)
	s.era++
	s.wakeFeeds()
	return lost
}

// WriteAgain writes the lost rows, but for those that have been written since the store was
// put back.
func (s *Store) WriteAgain(lost LostRows) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost.rows {
		key := r.Table + "/" + r.Key
		if s.rows[key].Version != lost.copy.rows[key].Version {
			continue
		}
		s.version++
		r.Version = s.version
		s.rows[key] = r
	}
	s.wakeFeeds()
}

// Has reports whether the store holds a row.
func (s *Store) Has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"/"+key]
	return ok && !r.Removed
}
