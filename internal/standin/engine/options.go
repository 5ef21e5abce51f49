package engine

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Options configure an engine. A zero value takes the default that its comment
// names.
type Options struct {
	// URL is the engine's base URL; handles carry it to the importing engine.
	URL string
	// Role is RolePrefill or RoleDecode.
	Role upstream.Role
	// Models are loaded from the start.
	Models []contract.ModelName
	// Slots bounds the concurrent requests in decode: DefaultSlots.
	Slots int
	// Blocks is the memory for KV caches, in blocks: DefaultBlocks.
	Blocks int
	// CacheBlocks is the memory for prompt prefixes, in blocks:
	// DefaultCacheBlocks.
	CacheBlocks int
	// Step is the time per token in a batch of one: DefaultStep.
	Step time.Duration
	// PrefillPerSecond is the prefill rate in prompt tokens per second:
	// DefaultPrefillPerSecond.
	PrefillPerSecond contract.Tokens
	// QueueLimit bounds the queued prompts: DefaultQueueLimit.
	QueueLimit int
	// EvictAfter is how long a prefill's result waits for its import:
	// DefaultEvictAfter.
	EvictAfter time.Duration
	// LinkBlocksPerSecond is the rate of the import link, in KV blocks per
	// second: DefaultLinkRate.
	LinkBlocksPerSecond float64
	// LoadLag is the age at which a load report is renewed: DefaultLoadLag.
	LoadLag time.Duration
	// EventLag is the delay of cache events: DefaultEventLag.
	EventLag time.Duration
	// EventGap makes the engine drop each EventGap-th cache event:
	// DefaultEventGap.
	EventGap uint64
	// LoadTime is how long it takes to load a model: DefaultLoadTime.
	LoadTime time.Duration
	// Retain is how long a finished stream can be resumed: DefaultRetain.
	Retain time.Duration
	// MaxOutput bounds the output tokens of each request; 0 means that only the
	// request's own limit applies.
	MaxOutput contract.Tokens
	// CheckFence makes the engine refuse orders whose fencing number is lower
	// than one that it has seen.
	CheckFence bool
	// RestartAfter restarts the engine after a crash; 0 means never.
	RestartAfter time.Duration
	// OnStart and OnFree, if set, are called when a call takes KV blocks and when
	// its blocks are freed. The engine holds its lock meanwhile, so they must not
	// call the engine. prompt is empty for decodes.
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

// StepGrowth is the fraction of Step by which each further request in the batch
// lengthens a step.
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
