package apsoak

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// jobIDPattern matches the job IDs in the text of a violation.
var jobIDPattern = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// maxHistories limits how many jobs' histories are kept for one run.
const maxHistories = 5

// histories returns the histories of the first jobs that violations name.
func (s *Soak) histories(violations []apemulator.Violation) map[apjob.ID][]string {
	histories := make(map[apjob.ID][]string)
	for _, violation := range violations {
		for _, text := range jobIDPattern.FindAllString(violation.String(), -1) {
			if id := apjob.ID(text); histories[id] == nil && len(histories) < maxHistories {
				histories[id] = s.history(id)
			}
		}
	}
	return histories
}

// ViolationGroup is the violations of one invariant that name the same job, or that name none.
type ViolationGroup struct {
	First apemulator.Violation
	Count int
}

// ViolationGroups returns the violations by invariant and job, in the order of the first of each.
func (r *Report) ViolationGroups() []ViolationGroup {
	var groups []ViolationGroup
	positions := make(map[string]int)
	for _, violation := range r.Violations {
		key := string(violation.Invariant) + jobIDPattern.FindString(violation.String())
		i, known := positions[key]
		if !known {
			i = len(groups)
			positions[key] = i
			groups = append(groups, ViolationGroup{First: violation})
		}
		groups[i].Count++
	}
	return groups
}

// history returns the lines about a job from callers, workers and the platform, and those from the entries' logs, in the
// order of time.
func (s *Soak) history(id apjob.ID) []string {
	lines := s.emulator.Record.History(id)
	for _, p := range s.entries {
		lines = append(lines, s.logLines(p, id)...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(lineTime(a), lineTime(b)) })
	return collapse(lines)
}

// collapse replaces lines that repeat the one before them, but for the time, by one that tells their number.
func collapse(lines []string) []string {
	var collapsed []string
	last, repeated := "", 0
	for _, line := range append(lines, "") {
		_, text, _ := strings.Cut(line, " s ")
		if text == last && line != "" {
			repeated++
			continue
		}
		if repeated > 0 {
			collapsed = append(collapsed, fmt.Sprintf("            and %d more of this line", repeated))
		}
		last, repeated = text, 0
		if line != "" {
			collapsed = append(collapsed, line)
		}
	}
	return collapsed
}

// lineTime returns the time with which a line of a history begins, in seconds.
func lineTime(line string) float64 {
	var seconds float64
	_, _ = fmt.Sscanf(line, "%f s", &seconds)
	return seconds
}

// logLines returns the lines about a job from an entry's log, in the form of the emulator's history.
func (s *Soak) logLines(p *entryProcess, id apjob.ID) []string {
	file, err := os.Open(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		stamp, text, _ := strings.Cut(strings.TrimPrefix(scanner.Text(), "Time="), " ")
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil || !strings.Contains(text, string(id)) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%9.3f s %s: %s", at.Sub(s.createdAt).Seconds(), p.name, text))
	}
	return lines
}
