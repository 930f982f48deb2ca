package aplog_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/aplog"
)

// shortWriter takes at most limit bytes of a write and reports the rest as not written. Every failEvery-th write takes
// nothing.
type shortWriter struct {
	bytes.Buffer
	limit, failEvery, writes int
}

func (s *shortWriter) Write(data []byte) (int, error) {
	s.writes++
	if s.failEvery > 0 && s.writes%s.failEvery == 0 {
		return 0, io.ErrClosedPipe
	}
	if len(data) <= s.limit {
		return s.Buffer.Write(data)
	}
	n, _ := s.Buffer.Write(data[:s.limit])
	return n, io.ErrShortWrite
}

var (
	linesDropped = regexp.MustCompile(`Event=LinesDropped Count=(\d+)`)
	wholeLine    = regexp.MustCompile(`^Line=\d+ Filler=0{200}$`)
)

// Guards against lines that are lost or cut without a word: a burst of lines is read by a pipe that takes a few KB at
// once. Each line must come out whole or be counted as dropped.
func TestEveryLineIsWrittenWholeOrCounted(t *testing.T) {
	const lines = 6000
	for _, out := range []*shortWriter{{limit: 8 << 10}, {limit: 8 << 10, failEvery: 5}, {limit: 3000}} {
		writer := aplog.NewAsyncWriter()
		for i := range lines {
			_, err := fmt.Fprintf(writer, "Line=%d Filler=%0200d\n", i, 0)
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, writer.Run(ctx, out))
		whole, dropped := 0, 0
		for _, line := range bytes.Split(out.Bytes(), []byte("\n")) {
			if match := linesDropped.FindSubmatch(line); match != nil {
				n, err := strconv.Atoi(string(match[1]))
				assert.NilError(t, err)
				dropped += n
			} else if wholeLine.Match(line) {
				whole++
			}
		}
		assert.Equal(t, whole+dropped, lines, "%d whole, %d dropped with a limit of %d", whole, dropped, out.limit)
		if out.limit > 4<<10 && out.failEvery == 0 {
			assert.Equal(t, whole, 4096, "all lines that were queued are written")
		}
	}
}
