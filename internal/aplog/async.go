package aplog

import (
	"bytes"
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
	// held is a line taken from the queue that didn't fit into the last write.
	held []byte
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

const (
	// flushInterval is how often queued lines are written.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes bounds one write, unless a single line is longer: a pipe takes a write of up to 4 KiB whole.
	maxWriteBytes = 4 << 10
	// maxFlushBytes bounds what is written in one flush. Lines beyond it stay queued.
	maxFlushBytes = 64 << 10
)

// Run writes queued lines to out until ctx ends, and then those still queued.
func (a *AsyncWriter) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		a.flush(out)
		select {
		case <-ctx.Done():
			for len(a.lines) > 0 || a.held != nil {
				a.flush(out)
			}
			return nil
		case <-ticker.C:
		}
	}
}

// flush writes queued lines, whole lines at a time, followed by the number of lines that were dropped, if any.
func (a *AsyncWriter) flush(out io.Writer) {
	for written := 0; written < maxFlushBytes; {
		batch, count := a.nextBatch()
		if count == 0 {
			break
		}
		written += len(batch)
		a.writeBatch(out, batch, count)
	}
	if n := a.dropped.Swap(0); n > 0 {
		report := fmt.Appendf(nil, "Time=%s Level=warning Event=LinesDropped Count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
		a.writeBatch(out, report, n)
	}
}

// nextBatch takes queued lines for one write, and returns them with their number.
func (a *AsyncWriter) nextBatch() (batch []byte, count uint64) {
	if a.held != nil {
		batch, count, a.held = a.held, 1, nil
	}
	for {
		select {
		case line := <-a.lines:
			if count > 0 && len(batch)+len(line) > maxWriteBytes {
				a.held = line
				return batch, count
			}
			batch, count = append(batch, line...), count+1
		default:
			return batch, count
		}
	}
}

// writeBatch writes a batch of lines. Lines that out doesn't take whole count as dropped, and a line that was cut is
// ended, so that the next one can be read.
func (a *AsyncWriter) writeBatch(out io.Writer, batch []byte, count uint64) {
	n, err := out.Write(batch)
	if err == nil && n == len(batch) {
		return
	}
	a.dropped.Add(count - uint64(bytes.Count(batch[:n], []byte("\n"))))
	if n > 0 && batch[n-1] != '\n' {
		_, _ = out.Write([]byte("\n"))
	}
}
