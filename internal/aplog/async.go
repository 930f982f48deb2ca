package aplog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines limits the lines waiting to be written. Further lines are dropped and counted.
const maxQueuedLines = 4096

// AsyncWriter is an io.Writer that queues lines for Run and never blocks. It drops lines when the queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns an AsyncWriter. Its lines are written only while Run runs.
func NewAsyncWriter() *AsyncWriter { return &AsyncWriter{lines: make(chan []byte, maxQueuedLines)} }

// Write implements io.Writer. It always returns success, also for a dropped line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// flushInterval is how often queued lines are written, all in one write.
const flushInterval = 50 * time.Millisecond

// Run writes queued lines to out until ctx ends, and then those still queued.
func (a *AsyncWriter) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(flushInterval)
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

// flush writes all queued lines in one write, followed by the number of dropped lines, if any.
func (a *AsyncWriter) flush(out io.Writer) {
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
