package apsettings_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/examples"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apsettings"
)

func TestExamplesAreValidAndComplete(t *testing.T) {
	for name, data := range map[string][]byte{"cavyhaven": examples.Cavyhaven, "thibodeaux": examples.Thibodeaux} {
		tree, err := apsettings.Parse(name, data)
		assert.NilError(t, err)
		assert.Equal(t, len(tree.Services(name)), 5)
		total, spare := 0, 0
		for _, path := range tree.Pools(name) {
			resolved := tree.Resolve(path)
			total += resolved.Size
			if resolved.Spare {
				spare++
			}
		}
		assert.Equal(t, total, 50)
		assert.Equal(t, spare, 1)
	}
}

func TestExplainNamesTheNearestNode(t *testing.T) {
	tree, err := apsettings.Parse("cavyhaven", examples.Cavyhaven)
	assert.NilError(t, err)
	for _, origin := range tree.Explain("/cavyhaven/taichung-1/search/search") {
		switch origin.Key {
		case "Deadline":
			assert.Equal(t, origin.Path, apsettings.Path("/cavyhaven"))
		case "Size":
			assert.Equal(t, origin.Path, apsettings.Path("/cavyhaven/-/search"))
		case "Slots":
			assert.Equal(t, origin.Path, apsettings.Root)
		case "EjectShare":
			assert.Equal(t, origin.Path, apsettings.Path(""))
		}
	}
}

func TestSetDoesNotChangeTheOldTree(t *testing.T) {
	tree, err := apsettings.Parse("cavyhaven", examples.Cavyhaven)
	assert.NilError(t, err)
	for _, key := range apsettings.Keys() {
		before := tree.Resolve("/cavyhaven")
		changed, err := tree.Set("/cavyhaven", key, "1")
		if err != nil {
			changed, err = tree.Set("/cavyhaven", key, "1s")
		}
		assert.NilError(t, err, key)
		assert.DeepEqual(t, tree.Resolve("/cavyhaven"), before)
		assert.Equal(t, tree.Diff(tree), "")
		unset, err := changed.Unset("/cavyhaven", key)
		assert.NilError(t, err)
		_, err = unset.Unset("/nowhere", key)
		assert.Assert(t, apcode.Is(err, apcode.NoSuchNode))
	}
	_, err = tree.Set("/cavyhaven", "Nothing", "1")
	assert.Assert(t, apcode.Is(err, apcode.UnknownKey))
	_, err = tree.Set("cavyhaven", "Slots", "1")
	assert.Assert(t, apcode.Is(err, apcode.BadPath))
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Cavyhaven)
	f.Add([]byte("[Nodes.\"/a\"]\nSlots = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := apsettings.Parse("fuzz", data)
		if err != nil {
			return
		}
		text, err := tree.Format()
		assert.NilError(t, err)
		_, err = apsettings.Parse("again", text)
		assert.NilError(t, err)
	})
}
