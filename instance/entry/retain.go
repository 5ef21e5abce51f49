package entry

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// retainConfigured removes the state of names that a configuration does not have. A queue
// that is still in use is removed with a later configuration.
func (e *Entry) retainConfigured(h *table.HeldLocks, s *config.Snapshot) []pool.Effect {
	now := e.clock.Now()
	var late []fair.Item
	e.queues.With(h, func(queues *map[contract.RouteName]*routeQueue) {
		for name, q := range *queues {
			if _, ok := s.Routes[name]; ok {
				continue
			}
			// Len leaves out evicted requests, which would be lost with the queue.
			late = append(late, q.Expire(now)...)
			if q.Len() == 0 && q.reserving == 0 {
				delete(*queues, name)
			}
		}
	})
	e.recorder.Retain(s)
	return e.refuseLate(h, late)
}
