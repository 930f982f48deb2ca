// Package apgroup runs groups of goroutines in which a panic becomes an error instead of ending the process.
package apgroup

import (
	"context"
	"runtime/debug"
	"sync"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
)

// Group is an errgroup.Group that turns a panic of a function into its error, with the code Panicked and the stack
// trace. The zero value is a group without a context. It must not be copied after first use.
type Group struct {
	// group is nil in a group without a context until first creates it.
	group *errgroup.Group
	first sync.Once
}

// inner returns the group that runs the functions.
func (g *Group) inner() *errgroup.Group {
	g.first.Do(func() {
		if g.group == nil {
			g.group = &errgroup.Group{}
		}
	})
	return g.group
}

// WithContext returns a group and a context that is cancelled by the first error.
func WithContext(ctx context.Context) (*Group, context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	return &Group{group: group}, groupCtx
}

// Go runs f in a goroutine.
func (g *Group) Go(f func() error) {
	g.inner().Go(func() error { return CatchPanic(f) })
}

// Wait waits for all functions and returns the first error.
func (g *Group) Wait() error { return g.inner().Wait() }

// CatchPanic calls f and returns its error. A panic in f becomes an error with the code Panicked and the stack trace.
func CatchPanic(f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = apcode.Errorf(apcode.Panicked, "%v at %s", cause, debug.Stack())
		}
	}()
	return f()
}
