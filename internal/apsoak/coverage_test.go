package apsoak_test

import (
	"iter"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
	"auburnport/pkg/apcode"
)

var (
	labelPaused  = apsoak.Pair{Feature: apsoak.FeatureLabel, Kind: apsoak.KindPause}
	gangSilenced = apsoak.Pair{Feature: apsoak.FeatureGang, Kind: apsoak.KindLinkSilenced}
)

// The counts of several commands add up in one file, and a seed that is run again counts once.
func TestCoverageAddsUpOverCommands(t *testing.T) {
	name := filepath.Join(t.TempDir(), "coverage.md")
	for _, seeds := range [][]uint64{{2, 3}, {9}, {3, 1}} {
		for _, seed := range seeds {
			met := map[apsoak.Pair]bool{labelPaused: true}
			if seed == 9 {
				met[gangSilenced] = true
			}
			assert.NilError(t, apsoak.AddToCoverageFile(name, seed, met))
		}
	}
	coverage, err := apsoak.ReadCoverageFile(name)
	assert.NilError(t, err)
	assert.Equal(t, coverage.Count(labelPaused), 4)
	assert.Equal(t, coverage.Count(gangSilenced), 1)
	var first, again strings.Builder
	_, err = coverage.WriteTo(&first)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(first.String(), "Seeds: 1-3, 9\n"), "%s", first.String())
	reread, err := apsoak.ReadCoverage(strings.NewReader(first.String()))
	assert.NilError(t, err)
	_, err = reread.WriteTo(&again)
	assert.NilError(t, err)
	assert.Equal(t, again.String(), first.String())
}

// A file that is no table of coverage, or a damaged one, is refused with a numbered error and not overwritten as empty.
func TestCoverageRefusesDamagedFiles(t *testing.T) {
	var page strings.Builder
	coverage := apsoak.Coverage{}
	coverage.Add(1, map[apsoak.Pair]bool{labelPaused: true})
	_, err := coverage.WriteTo(&page)
	assert.NilError(t, err)
	good := page.String()
	for name, text := range map[string]string{
		"empty": "", "other page": "# Another page\n", "unknown kind": strings.Replace(good, "| Pause ", "| Nap ", 1),
		"unknown feature": strings.Replace(good, "| Label ", "| Sticker ", 1), "no number": strings.Replace(good, "| Pause | 1 ", "| Pause | x ", 1),
		"short row": strings.Replace(good, "| Pause | 1 ", "| Pause ", 1), "bad seeds": strings.Replace(good, "Seeds: 1", "Seeds: 9-1", 1),
	} {
		_, err := apsoak.ReadCoverage(strings.NewReader(text))
		assert.Equal(t, apcode.Of(err), apcode.BadValue, "%s", name)
	}
}

// drawnPairs returns the pairs that a seed's script and load put together, if jobs stay unfinished for two seconds after
// their arrival, and long-running ones throughout.
func drawnPairs(options apsoak.Options) map[apsoak.Pair]bool {
	script := apsoak.GenerateScript(options, rand.New(rand.NewPCG(options.Seed, 0)))
	drawn := make(map[apsoak.Pair]bool)
	for _, a := range apsoak.GenerateLoad(options, script) {
		for _, step := range script {
			met := step.At+step.Duration >= a.At && (step.At-a.At <= 2*time.Second || a.Submission.Job.Steps[0].LongRunning)
			for pair := range everyPair() {
				if met && pair.Kind == step.Kind && a.Features.Has(pair.Feature) {
					drawn[pair] = true
				}
			}
		}
	}
	return drawn
}

// everyPair yields all pairs of features and kinds.
func everyPair() iter.Seq[apsoak.Pair] {
	return slices.Values((&apsoak.Coverage{}).Empty())
}

// No pair of the table is left to chance over 200 seeds.
func TestDrawsPutEachPairTogether(t *testing.T) {
	options := apsoak.Options{Duration: 10 * time.Second, Rate: 6}
	counts := make(map[apsoak.Pair]int)
	for options.Seed = range uint64(200) {
		for pair := range drawnPairs(options) {
			counts[pair]++
		}
	}
	for pair := range everyPair() {
		assert.Assert(t, counts[pair] >= 4, "%s with %s: %d", pair.Feature, pair.Kind, counts[pair])
	}
}
