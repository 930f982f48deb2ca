package apjournal_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
)

func TestLocationNamesAShardOrACancelledJob(t *testing.T) {
	for _, l := range []apjournal.Location{{Shard: "pool", Queue: "q", Host: "h", Prefix: "/p/"}, {Cancelled: true}} {
		var decoded apjournal.Location
		assert.NilError(t, apfleet.Decode(apfleet.Encode(l), &decoded))
		assert.DeepEqual(t, decoded, l)
	}
	var decoded apjournal.Location
	assert.Equal(t, apcode.Of(apfleet.Decode(apfleet.Encode(apjournal.Location{Queue: "q"}), &decoded)), apcode.BadMessage)
}
