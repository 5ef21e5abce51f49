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

// order carries an order out; ok is false when the engine or the caller is gone.
func (e *Engine) order(ctx, life context.Context, o engineapi.Order) (fail *engineapi.Error, ok bool) {
	if fail := e.checkFence(o.Fence); fail != nil {
		return fail, true
	}
	switch o.Kind {
	case link.OrderChangeRole:
		return e.changeRole(o.Role), true
	case link.OrderLoadModel, link.OrderLoadAdapter:
		return nil, e.loadModel(ctx, life, o.Model, o.Version)
	default:
		return reject("no such order"), true
	}
}

// checkFence refuses an old fencing number, if the engine looks at it at all.
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

// changeRole takes effect for new calls; those that run go on.
func (e *Engine) changeRole(word string) *engineapi.Error {
	role, ok := upstream.ParseRole(word)
	if !ok || role == upstream.RoleService {
		return reject("no such role of an engine")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = role
	return nil
}

// loadModel takes LoadTime; the engine serves on meanwhile.
func (e *Engine) loadModel(ctx, life context.Context, model contract.ModelName, version string) bool {
	e.mu.Lock()
	timer := time.NewTimer(e.options.LoadTime)
	e.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	case <-life.Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
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
