// Package memplatform is an in-memory stand-in for the platform's services, with
// faults that tests and the development program inject. Package standin/platform
// serves it over HTTP.
package memplatform

// Platform is one set of services. The table and the object store share their
// faults and limits, as parts of one store; the others have faults of their own.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Weights   *Weights

	// Store injects faults into Table and Objects.
	Store *Faults
	// List injects faults into Instances.
	List *Faults
	// WeightStore injects faults into Weights.
	WeightStore *Faults
}

// New returns empty services without faults, limits or lag.
func New() *Platform {
	p := &Platform{Store: &Faults{}, List: &Faults{}, WeightStore: &Faults{}}
	p.Table = NewTable(p.Store)
	p.Objects = NewObjects(p.Store)
	p.Instances = NewInstances(p.List)
	p.Weights = NewWeights(p.WeightStore)
	return p
}
