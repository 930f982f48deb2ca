//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event, with the seconds since the start.
type record struct {
	mu       sync.Mutex
	file     *os.File
	started  time.Time
	breaches []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breachf notes that a rule was broken.
func (r *record) breachf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, text)
}

// broken returns the breaches of one rule so far.
func (r *record) broken(rule string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, text := range r.breaches {
		if strings.HasPrefix(text, rule+": ") {
			broken = append(broken, text)
		}
	}
	return broken
}
