package aplog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written; further ones are counted and dropped.
const maxQueuedLines = 4096

// Async is a writer that never blocks its caller.
type Async struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsync returns a writer whose lines are written by Run.
func NewAsync() *Async { return &Async{lines: make(chan []byte, maxQueuedLines)} }

// Write implements io.Writer. It always succeeds.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// flushTime is how long lines may wait for others to share a write.
const flushTime = 50 * time.Millisecond

// Run writes lines to out until ctx ends and all lines are written.
func (a *Async) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(flushTime)
	defer ticker.Stop()
	for {
		a.flush(out)
		select {
		case <-ctx.Done():
			a.flush(out)
			return nil
		case <-ticker.C:
		}
	}
}

// flush writes all waiting lines at once.
func (a *Async) flush(out io.Writer) {
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := a.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "Time=%s Level=warning Event=LinesDropped Count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	if len(batch) > 0 {
		_, _ = out.Write(batch)
	}
}
