package apmember_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/apmember"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
)

// assignShards gives each shard in turn to the entry that ranks first for it.
func assignShards(weights map[apfleet.EntryName]int, shards int) map[apjournal.Shard]apfleet.EntryName {
	owners := make(map[apjournal.Shard]apfleet.EntryName)
	for n := range shards {
		shard := apjournal.Shard(fmt.Sprintf("pool-%d", n))
		for name := range weights {
			if apmember.Rank(name, shard, weights, owners) == 0 {
				owners[shard] = name
				break
			}
		}
	}
	return owners
}

func TestShardsSpreadOverEqualEntries(t *testing.T) {
	weights := map[apfleet.EntryName]int{"a": 400, "b": 400, "c": 400, "d": 400, "e": 400}
	held := make(map[apfleet.EntryName]int)
	for _, name := range assignShards(weights, 5) {
		held[name]++
	}
	assert.Equal(t, len(held), 5)
}

func TestStrongEntriesOwnBeforeWeakOnes(t *testing.T) {
	weights := map[apfleet.EntryName]int{"weak-1": 192, "weak-2": 192, "weak-3": 192, "strong-1": 800, "strong-2": 800}
	for shard, name := range assignShards(weights, 6) {
		assert.Assert(t, name == "strong-1" || name == "strong-2", "%s is owned by %s", shard, name)
	}
}

func TestRanksAreDistinct(t *testing.T) {
	weights := map[apfleet.EntryName]int{"a": 400, "b": 400, "c": 192}
	seen := make(map[int]bool)
	for name := range weights {
		seen[apmember.Rank(name, "pool", weights, nil)] = true
	}
	assert.Equal(t, len(seen), 3)
}
