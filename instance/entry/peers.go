package entry

import (
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// sendRates passes tokens and promises to other entries.
func (e *Entry) sendRates(_ *table.Held, out []rate.Outgoing) []pool.Effect {
	_ = out
	return nil
}
