package entry

import (
	"fmt"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// TestNextWatched checks that no refresh polls more than MaxWatchPolls upstreams,
// and that each is polled within as few refreshes as that allows.
func TestNextWatched(t *testing.T) {
	for _, count := range []int{0, 1, MaxWatchPolls, MaxWatchPolls + 1, 3 * MaxWatchPolls, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var watched []placement.Choice
			for i := range count {
				watched = append(watched, placement.Choice{ID: upstream.ID(fmt.Sprint(i))})
			}
			e := &Entry{}
			seen := make(map[upstream.ID]bool)
			for range (count + MaxWatchPolls - 1) / MaxWatchPolls {
				batch := e.nextWatched(watched)
				if len(batch) > MaxWatchPolls {
					t.Errorf("%d polled at once", len(batch))
				}
				for _, choice := range batch {
					seen[choice.ID] = true
				}
			}
			if len(seen) != count {
				t.Errorf("%d of %d polled", len(seen), count)
			}
		})
	}
}
