package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apowner"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

const shard apjournal.Shard = "pool"

// cut is a store that an owner reaches until it is cut off.
type cut struct {
	apstore.Ledger
	off *atomic.Bool
}

func (c cut) Commit(ctx context.Context, t apstore.Transaction) (apstore.Result, error) {
	if c.off.Load() {
		return apstore.Result{}, apcode.Errorf(apcode.StoreUnavailable, "cut off")
	}
	return c.Ledger.Commit(ctx, t)
}

func own(ctx context.Context, t *testing.T, ledger apstore.Ledger, w *world, holder apfleet.EntryName) error {
	t.Helper()
	lease, err := ledger.Grant(ctx, 1500*time.Millisecond)
	assert.NilError(t, err)
	journal, err := apjournal.Claim(ctx, ledger, shard, holder, lease)
	assert.NilError(t, err)
	table := &apqueue.Table{Queues: []apqueue.Queue{{Name: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}}
	return apowner.New(apowner.Config{
		Shard: shard, Ledger: ledger, Workers: w, Registry: registry{}, Journal: journal,
		Queues: func() *apqueue.Table { return table }, Log: func(string, map[string]any) {}, Observe: func(string, time.Duration) {},
	}).Run(ctx)
}

func submit(t *testing.T, ledger apstore.Ledger, n int) apjob.ID {
	t.Helper()
	job := apjob.Job{ID: apjob.ID(fmt.Sprintf("%016x", n)), Queue: "q", Submitted: time.Now(), Steps: []apjob.Step{
		{Count: 3, Need: apjob.Resources{CPU: taskNeed}, Estimate: taskTime},
		{Count: 2, Need: apjob.Resources{CPU: taskNeed}, Estimate: taskTime, After: []int{0}},
	}}
	_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.JobKey(shard, job.ID), Data: apfleet.Encode(job)}}})
	assert.NilError(t, err)
	return job.ID
}

func unfinished(t *testing.T, ledger apstore.Ledger, ids []apjob.ID) int {
	t.Helper()
	n := 0
	for _, id := range ids {
		value, err := ledger.Read(t.Context(), apjournal.ProgressKey(shard, id))
		assert.NilError(t, err)
		var p apjob.Progress
		if value.Revision == 0 || apfleet.Decode(value.Data, &p) != nil || p.State != apjob.Completed {
			n++
		}
	}
	return n
}

// Owners are cut from the store, and leave; workers fall silent; answers to orders are lost and orders
// are carried out late. No task runs twice at once or again after it was done, no worker is filled
// beyond its capacity, and every job is completed.
func TestNothingRunsTwice(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

func play(t *testing.T, seed uint64) {
	ledger := memory.Ledger{Store: memory.New()}
	w := newWorld(t, seed, 5)
	// The script has a source of its own: that of the world belongs to the workers.
	script := rand.New(rand.NewPCG(seed, 2))
	w.loseAnswers, w.late = 0.05, 0.05
	w.register(t, ledger)
	var ids []apjob.ID
	for n := range 40 {
		ids = append(ids, submit(t, ledger, n))
	}
	group := &errgroup.Group{}
	for turn := range 3 {
		off := &atomic.Bool{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error {
			return own(ctx, t, cut{Ledger: ledger, off: off}, w, apfleet.EntryName(fmt.Sprint(turn)))
		})
		time.Sleep(time.Duration(1+script.IntN(3)) * time.Second)
		silent := w.workers[apjob.WorkerID(fmt.Sprintf("i-%d", script.IntN(5)))]
		w.mu.Lock()
		silent.silent = true
		w.mu.Unlock()
		time.Sleep(time.Second)
		if (seed+uint64(turn))%2 == 0 {
			// The owner goes on without the store, until its successor's fence stops it.
			off.Store(true)
			time.Sleep(2 * time.Second)
			cancelLater := cancel
			time.AfterFunc(3*time.Second, cancelLater)
		} else {
			cancel()
			time.Sleep(2 * time.Second)
		}
		time.AfterFunc(6*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			silent.silent = false
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() error { return own(ctx, t, ledger, w, "last") })
	for waited := 0; unfinished(t, ledger, ids) > 0 && waited < 120; waited++ {
		time.Sleep(time.Second)
	}
	assert.Equal(t, unfinished(t, ledger, ids), 0, "jobs are left")
	cancel()
	_ = group.Wait()
	// Orders that are still on their way arrive.
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, w.starts >= 200, "%d starts", w.starts)
}
