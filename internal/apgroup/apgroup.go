// Package apgroup runs goroutines in groups in which a panic ends the group and not the process.
package apgroup

import (
	"context"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
)

// Group is an errgroup.Group whose functions may panic: the panic becomes the function's error, with the code
// Panicked and the stack. The zero value is a group without a context.
type Group struct{ group *errgroup.Group }

// WithContext returns a group and a context that ends with the first error.
func WithContext(ctx context.Context) (*Group, context.Context) {
	group, inner := errgroup.WithContext(ctx)
	return &Group{group: group}, inner
}

// Go runs f in a goroutine.
func (g *Group) Go(f func() error) {
	if g.group == nil {
		g.group = &errgroup.Group{}
	}
	g.group.Go(func() error { return Guard(f) })
}

// Wait waits for all functions and returns the first error.
func (g *Group) Wait() error {
	if g.group == nil {
		return nil
	}
	return g.group.Wait()
}

// Guard calls f and returns a panic of it as an error.
func Guard(f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = apcode.Errorf(apcode.Panicked, "%v at %s", cause, debug.Stack())
		}
	}()
	return f()
}
