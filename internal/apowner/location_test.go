package apowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// An ID would stay taken for ever.
func TestLocationIsRemovedWithTheProgressOfExpiredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 5)
		pool.register(t, store)
		id := submit(t, store, 1)
		location := apjournal.LocationKey(id)
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: location, Data: apfleet.Encode(apjournal.Location{Shard: shard, Queue: "q"})}}})
		assert.NilError(t, err)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, pool, "owner") })
		waitUntilDone(t, store, id)
		value, err := store.Read(ctx, location)
		assert.NilError(t, err)
		assert.Assert(t, value.Revision != 0, "the location must stay as long as the progress")
		time.Sleep(160 * time.Second)
		for _, key := range []apfleet.Key{location, apjournal.ProgressKey(shard, id)} {
			value, err := store.Read(ctx, key)
			assert.NilError(t, err)
			assert.Equal(t, value.Revision, apstore.Revision(0), key)
		}
		cancel()
		assert.NilError(t, group.Wait())
	})
}
