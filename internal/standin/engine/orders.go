package engine

import (
	"context"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// order executes an order. ok is false if the engine crashed or the caller
// disconnected before it took effect.
func (e *Engine) order(ctx, lifetime context.Context, o engineapi.Order) (apiErr *engineapi.Error, ok bool) {
	if apiErr := e.checkFence(o.Fence); apiErr != nil {
		return apiErr, true
	}
	switch o.Kind {
	case link.OrderChangeRole:
		return e.changeRole(o.Role), true
	case link.OrderLoadModel, link.OrderLoadAdapter:
		return nil, e.loadModel(ctx, lifetime, o.Model, o.Version)
	default:
		return rejectedError("unknown kind of order"), true
	}
}

// checkFence refuses a fencing number below the highest one seen. Without
// Options.CheckFence it accepts all.
func (e *Engine) checkFence(fence uint64) *engineapi.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.options.CheckFence {
		return nil
	}
	if fence < e.fence {
		return &engineapi.Error{Code: engineapi.CodeStaleFence, Message: "a higher fencing number was seen"}
	}
	e.fence = fence
	return nil
}

// changeRole sets the role for new calls; running ones continue.
func (e *Engine) changeRole(name string) *engineapi.Error {
	role, ok := upstream.ParseRole(name)
	if !ok || role == upstream.RoleService {
		return rejectedError("the role is not one of an engine")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = role
	return nil
}

// loadModel loads a model after Options.LoadTime, during which the engine serves
// requests. It reports false if the engine crashed or ctx ended first.
func (e *Engine) loadModel(ctx, lifetime context.Context, model contract.ModelName, version string) bool {
	e.mu.Lock()
	timer := time.NewTimer(e.options.LoadTime)
	e.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	case <-lifetime.Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return false
	}
	if !slices.Contains(e.models, model) {
		e.models = append(e.models, model)
	}
	e.version = version
	return true
}

func (e *Engine) state() engineapi.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineapi.State{
		Role:    e.role.String(),
		Models:  slices.Clone(e.models),
		Version: e.version,
		Fence:   e.fence,
		Epoch:   e.epoch,
	}
}
