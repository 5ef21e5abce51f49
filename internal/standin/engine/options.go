package engine

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Options describe an engine. A zero value takes the default named beside it.
type Options struct {
	// URL is where others reach the engine; it goes into the handles.
	URL string
	// Role is RolePrefill or RoleDecode.
	Role upstream.Role
	// Models are loaded from the start.
	Models []contract.ModelName
	// Slots is the number of requests in decode at a time: DefaultSlots.
	Slots int
	// Blocks is the memory in KV blocks: DefaultBlocks.
	Blocks int
	// CacheBlocks is the memory for prompt prefixes: DefaultCacheBlocks.
	CacheBlocks int
	// Step is the time between tokens of a batch of one: DefaultStep.
	Step time.Duration
	// PrefillPerSecond is the prompt tokens a second: DefaultPrefillPerSecond.
	PrefillPerSecond contract.Tokens
	// QueueLimit is the number of prompts that wait: DefaultQueueLimit.
	QueueLimit int
	// EvictAfter is how long a prefill's result is kept: DefaultEvictAfter.
	EvictAfter time.Duration
	// LinkBlocksPerSecond is the rate of the import link: DefaultLinkRate.
	LinkBlocksPerSecond float64
	// LoadLag is the age that a load report reaches: DefaultLoadLag.
	LoadLag time.Duration
	// EventLag is how late cache events are told: DefaultEventLag.
	EventLag time.Duration
	// EventGap loses every EventGap-th cache event: DefaultEventGap.
	EventGap uint64
	// LoadTime is how long it takes to load a model: DefaultLoadTime.
	LoadTime time.Duration
	// Retain is how long a finished stream can be resumed: DefaultRetain.
	Retain time.Duration
	// MaxOutput ends each answer after so many tokens; 0 means that only the
	// request's own limit counts.
	MaxOutput contract.Tokens
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// RestartAfter restarts the engine after a crash; 0 means never.
	RestartAfter time.Duration
	// OnStart and OnFree, if set, are told when a call starts to use the engine
	// and when its memory is free. They must not call the engine. The prompt is
	// given for prefills only.
	OnStart func(call contract.CallID, prompt string)
	OnFree  func(call contract.CallID)
}

// Defaults of Options.
const (
	DefaultSlots            = 20
	DefaultBlocks           = 400
	DefaultCacheBlocks      = 100
	DefaultStep             = 30 * time.Millisecond
	DefaultPrefillPerSecond = contract.Tokens(20_000)
	DefaultQueueLimit       = 64
	DefaultEvictAfter       = 800 * time.Millisecond
	DefaultLinkRate         = 200.0
	DefaultLoadLag          = 250 * time.Millisecond
	DefaultEventLag         = 500 * time.Millisecond
	DefaultEventGap         = 7
	DefaultLoadTime         = time.Second
	DefaultRetain           = 5 * time.Second
)

// StepGrowth is the part by which each further request lengthens a step.
const StepGrowth = 0.005

func (o Options) withDefaults() Options {
	orDefault(&o.Role, upstream.RolePrefill)
	orDefault(&o.Slots, DefaultSlots)
	orDefault(&o.Blocks, DefaultBlocks)
	orDefault(&o.CacheBlocks, DefaultCacheBlocks)
	orDefault(&o.Step, DefaultStep)
	orDefault(&o.PrefillPerSecond, DefaultPrefillPerSecond)
	orDefault(&o.QueueLimit, DefaultQueueLimit)
	orDefault(&o.EvictAfter, DefaultEvictAfter)
	orDefault(&o.LinkBlocksPerSecond, DefaultLinkRate)
	orDefault(&o.LoadLag, DefaultLoadLag)
	orDefault(&o.EventLag, DefaultEventLag)
	orDefault(&o.EventGap, DefaultEventGap)
	orDefault(&o.LoadTime, DefaultLoadTime)
	orDefault(&o.Retain, DefaultRetain)
	return o
}

func orDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}
