// Package comfreygroup runs groups of goroutines that stop together. It is the
// only package of the module that uses the go statement outside tests.
package comfreygroup

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Group owns a set of goroutines. The first one that returns an error cancels
// the context of all. A Group is safe for concurrent use.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
}

// New returns a group whose context is cancelled with parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	g, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, group: g}
}

// Context returns the context that is cancelled when the group stops.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f in a goroutine of the group. The name identifies the goroutine in the
// error that Wait returns.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.group.Go(func() error {
		err := f(g.ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
}

// Stop cancels the context of every goroutine of the group.
func (g *Group) Stop() {
	g.cancel()
}

// Wait blocks until every goroutine has returned, and returns the first error.
func (g *Group) Wait() error {
	err := g.group.Wait()
	g.cancel()
	return err
}
