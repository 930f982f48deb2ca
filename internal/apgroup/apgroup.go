// Package apgroup runs groups of goroutines in which a panic becomes an error instead of ending the process.
package apgroup

import (
	"context"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
)

// Group is an errgroup.Group that turns a panic of a function into its error, with the code Panicked and the stack
// trace. The zero value is a group without a context.
type Group struct{ group *errgroup.Group }

// WithContext returns a group and a context that is cancelled by the first error.
func WithContext(ctx context.Context) (*Group, context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	return &Group{group: group}, groupCtx
}

// Go runs f in a goroutine.
func (g *Group) Go(f func() error) {
	if g.group == nil {
		g.group = &errgroup.Group{}
	}
	g.group.Go(func() error { return CatchPanic(f) })
}

// Wait waits for all functions and returns the first error.
func (g *Group) Wait() error {
	if g.group == nil {
		return nil
	}
	return g.group.Wait()
}

// CatchPanic calls f and returns its error. A panic in f becomes an error with the code Panicked and the stack trace.
func CatchPanic(f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = apcode.Errorf(apcode.Panicked, "%v at %s", cause, debug.Stack())
		}
	}()
	return f()
}
