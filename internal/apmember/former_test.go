package apmember_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apmember"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// serviceTable returns a version of the settings with pools.
func serviceTable(version uint64, pools ...apfleet.ServiceName) *apqueue.Table {
	table := &apqueue.Table{Version: version}
	for _, pool := range pools {
		table.Services = append(table.Services, apqueue.Service{Name: pool})
	}
	return table
}

func putCounts(t *testing.T, store apstore.TransactionalStore, shard apjournal.Shard, holds bool) {
	t.Helper()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.WaitingKey(shard), Data: apfleet.Encode(apjournal.WaitingCounts{HoldsJobs: holds})}}})
	assert.NilError(t, err)
}

// An entry that starts after the service was removed must learn of the shard, too.
func TestShardOfRemovedServiceIsKeptWhileItHoldsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		putCounts(t, store, "removed", true)
		putCounts(t, store, "present", true)
		putCounts(t, store, "emptied", false)
		former := apmember.NewFormer(store, func(string, map[string]any) {})
		var table atomic.Pointer[apqueue.Table]
		group := &errgroup.Group{}
		ctx, stop := context.WithCancel(t.Context())
		group.Go(func() error { return former.Run(ctx, table.Load) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(former.Shards()), 0)
		assert.Equal(t, store.Calls().Reads, uint64(0), "nothing is read before there are settings")
		table.Store(serviceTable(3, "present"))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, former.Shards(), []apjournal.Shard{"removed"})
		putCounts(t, store, "removed", false)
		// A job that is stored by an entry with older settings comes within seconds.
		putCounts(t, store, "emptied", true)
		time.Sleep(12 * time.Second)
		assert.DeepEqual(t, former.Shards(), []apjournal.Shard{"emptied"})
		putCounts(t, store, "emptied", false)
		time.Sleep(time.Minute)
		assert.Equal(t, len(former.Shards()), 0)
		read := store.Calls().Reads
		time.Sleep(time.Hour)
		assert.Equal(t, store.Calls().Reads, read, "nothing is read once no shard of a removed service holds jobs")
		assert.Assert(t, read < 10, "%d reads", read)
		stop()
		assert.NilError(t, group.Wait())
	})
}

func TestShardOfServiceThatReturnsIsNoFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		putCounts(t, store, "a", true)
		former := apmember.NewFormer(store, func(string, map[string]any) {})
		var table atomic.Pointer[apqueue.Table]
		table.Store(serviceTable(1, "b"))
		group := &errgroup.Group{}
		ctx, stop := context.WithCancel(t.Context())
		group.Go(func() error { return former.Run(ctx, table.Load) })
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, former.Shards(), []apjournal.Shard{"a"})
		table.Store(serviceTable(2, "a", "b"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(former.Shards()), 0)
		stop()
		assert.NilError(t, group.Wait())
	})
}

// Otherwise no owner empties the workers, and a wave over their machines never ends.
func TestShardOfRemovedServiceIsKeptWhileItHasWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{
			{Key: apjournal.WaitingKey("removed"), Data: apfleet.Encode(apjournal.WaitingCounts{HasWorkers: true})},
		}})
		assert.NilError(t, err)
		former := apmember.NewFormer(store, func(string, map[string]any) {})
		table := serviceTable(1, "present")
		group := &errgroup.Group{}
		ctx, stop := context.WithCancel(t.Context())
		group.Go(func() error { return former.Run(ctx, func() *apqueue.Table { return table }) })
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, former.Shards(), []apjournal.Shard{"removed"})
		putCounts(t, store, "removed", false)
		time.Sleep(12 * time.Second)
		assert.Equal(t, len(former.Shards()), 0)
		stop()
		assert.NilError(t, group.Wait())
	})
}
