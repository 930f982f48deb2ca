package apsoak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"auburnport/pkg/apcode"
)

// Coverage counts, for each pair, the seeds whose runs have met it. A seed counts once, however often it is run. The
// zero value has no seeds.
type Coverage struct {
	// seeds are in ascending order.
	seeds  []uint64
	counts map[Pair]int
}

// Add counts the pairs that the run of a seed has met.
func (c *Coverage) Add(seed uint64, met map[Pair]bool) {
	i, known := slices.BinarySearch(c.seeds, seed)
	if known {
		return
	}
	c.seeds = slices.Insert(c.seeds, i, seed)
	if c.counts == nil {
		c.counts = make(map[Pair]int)
	}
	for pair := range met {
		c.counts[pair]++
	}
}

// Count returns the number of seeds that have met a pair.
func (c *Coverage) Count(pair Pair) int { return c.counts[pair] }

// Empty returns the pairs that no seed has met.
func (c *Coverage) Empty() []Pair {
	var empty []Pair
	for f := range featureCount {
		for k := range kindCount {
			if pair := (Pair{Feature: f, Kind: k}); c.counts[pair] == 0 {
				empty = append(empty, pair)
			}
		}
	}
	return empty
}

const (
	coverageTitle = "# Features met by faults"
	seedsPrefix   = "Seeds: "
)

// WriteTo writes a Markdown page that ReadCoverage can read.
func (c *Coverage) WriteTo(w io.Writer) (int64, error) {
	var page strings.Builder
	fmt.Fprintf(&page, "%s\n\nWritten by `auburnport soak --coverage FILE`: the number of seeds in whose runs a job with the feature (column) was\n", coverageTitle)
	fmt.Fprintf(&page, "unfinished while the step (row) was active. %d of %d pairs are empty. A seed counts once.\n\n", len(c.Empty()), int(featureCount)*int(kindCount))
	fmt.Fprintf(&page, "%s%s\n\n|", seedsPrefix, formatSeeds(c.seeds))
	for f := range featureCount {
		fmt.Fprintf(&page, " | %s", f)
	}
	fmt.Fprintf(&page, " |\n| ---%s |\n", strings.Repeat(" | ---", int(featureCount)))
	for k := range kindCount {
		fmt.Fprintf(&page, "| %s", k)
		for f := range featureCount {
			fmt.Fprintf(&page, " | %d", c.counts[Pair{Feature: f, Kind: k}])
		}
		page.WriteString(" |\n")
	}
	n, err := io.WriteString(w, page.String())
	return int64(n), err
}

// formatSeeds formats seeds as a list of ranges.
func formatSeeds(seeds []uint64) string {
	var ranges []string
	for i := 0; i < len(seeds); {
		end := i + 1
		for end < len(seeds) && seeds[end] == seeds[end-1]+1 {
			end++
		}
		text := fmt.Sprint(seeds[i])
		if end > i+1 {
			text += fmt.Sprintf("-%d", seeds[end-1])
		}
		ranges = append(ranges, text)
		i = end
	}
	return strings.Join(ranges, ", ")
}

// ReadCoverage reads a page that WriteTo has written. Errors: BadValue.
func ReadCoverage(r io.Reader) (Coverage, error) {
	c := Coverage{counts: make(map[Pair]int)}
	features := make(map[string]Feature)
	for f := range featureCount {
		features[f.String()] = f
	}
	kinds := make(map[string]Kind)
	for k := range kindCount {
		kinds[k.String()] = k
	}
	var header []string
	titled := false
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := lines.Text()
		titled = titled || line == coverageTitle
		if text, ok := strings.CutPrefix(line, seedsPrefix); ok {
			seeds, err := parseSeeds(text)
			if err != nil {
				return Coverage{}, err
			}
			c.seeds = seeds
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		if header == nil {
			header = cells
			continue
		}
		if err := c.readRow(header, cells, features, kinds); err != nil {
			return Coverage{}, err
		}
	}
	if !titled {
		return Coverage{}, apcode.Errorf(apcode.BadValue, "the file is no table of coverage; its title should be %q", coverageTitle)
	}
	return c, nil
}

// readRow adds the counts of one row of the table.
func (c *Coverage) readRow(header, cells []string, features map[string]Feature, kinds map[string]Kind) error {
	kind, known := kinds[strings.TrimSpace(cells[0])]
	if !known || len(cells) != len(header) {
		return apcode.Errorf(apcode.BadValue, "the row %q of the table of coverage has an unknown name or another length than the header", cells[0])
	}
	for i, cell := range cells[1:] {
		f, known := features[strings.TrimSpace(header[i+1])]
		count, err := strconv.Atoi(strings.TrimSpace(cell))
		if !known || err != nil || count < 0 {
			return apcode.Errorf(apcode.BadValue, "the table of coverage has an unknown feature %q or a bad count %q", header[i+1], cell)
		}
		c.counts[Pair{Feature: f, Kind: kind}] = count
	}
	return nil
}

// maxSeedRange bounds the seeds of one range in a file.
const maxSeedRange = 1_000_000

func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ", ") {
		if part == "" {
			continue
		}
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		to, errTo := strconv.ParseUint(last, 10, 64)
		if err != nil || errTo != nil || to < from || to-from >= maxSeedRange {
			return nil, apcode.Errorf(apcode.BadValue, "the table of coverage has the bad range of seeds %q", part)
		}
		for i := range to - from + 1 {
			seeds = append(seeds, from+i)
		}
	}
	slices.Sort(seeds)
	return slices.Compact(seeds), nil
}

// AddToCoverageFile counts the pairs that the run of a seed has met in the table of a file, which is created if it isn't
// there. Several commands may use the file at the same time. Errors: BadValue.
func AddToCoverageFile(name string, seed uint64, met map[Pair]bool) error {
	dir, err := os.Open(filepath.Dir(name))
	if err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "open the directory of the table of coverage")
	}
	// Closing the directory ends the lock.
	defer func() { _ = dir.Close() }()
	if err := syscall.Flock(int(dir.Fd()), syscall.LOCK_EX); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "lock the directory of the table of coverage")
	}
	coverage, err := ReadCoverageFile(name)
	if err != nil {
		return err
	}
	coverage.Add(seed, met)
	return coverage.writeFile(name)
}

// ReadCoverageFile reads the file of an earlier run, and returns an empty Coverage if there is none. Errors: BadValue.
func ReadCoverageFile(name string) (Coverage, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return Coverage{}, nil
	}
	if err != nil {
		return Coverage{}, apcode.Wrapf(apcode.BadValue, err, "open the table of coverage")
	}
	defer func() { _ = file.Close() }()
	return ReadCoverage(file)
}

// writeFile writes the page to a file, in one step so that an interrupted soak leaves the earlier page. Errors: BadValue.
func (c *Coverage) writeFile(name string) error {
	var page strings.Builder
	if _, err := c.WriteTo(&page); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "format the table of coverage")
	}
	draft := name + ".new"
	if err := os.WriteFile(draft, []byte(page.String()), 0o600); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "write the table of coverage")
	}
	if err := os.Rename(draft, name); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "replace the table of coverage")
	}
	return nil
}
