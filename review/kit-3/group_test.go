package main

import (
	"context"
	"errors"
	"sync"
)

// group runs goroutines that stop together.
type group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu  sync.Mutex
	err error
}

func newGroup(parent context.Context) *group {
	ctx, cancel := context.WithCancel(parent)
	return &group{ctx: ctx, cancel: cancel}
}

// Go runs f in a goroutine of the group. The first error stops the group.
func (g *group) Go(_ string, f func(ctx context.Context) error) {
	g.wait.Go(func() {
		if err := f(g.ctx); err != nil {
			g.mu.Lock()
			g.err = errors.Join(g.err, err)
			g.mu.Unlock()
			g.cancel()
		}
	})
}

// Stop ends the context of all goroutines.
func (g *group) Stop() {
	g.cancel()
}

// Wait waits for all goroutines and returns their errors.
func (g *group) Wait() error {
	g.wait.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
