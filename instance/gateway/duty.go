package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// duty is the work that one process of the fleet does for all.
type duty struct{}

func (g *Gateway) considerDuty(*table.Held) []pool.Effect { return nil }
