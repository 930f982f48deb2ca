package apowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apowner"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore/memory"
	"auburnport/pkg/apworker"
)

// fakeAdvisor allows every worker, or doesn't answer.
type fakeAdvisor struct {
	silent bool
}

func (f *fakeAdvisor) Advise(_ context.Context, _ apjob.StepID, workers []apjob.WorkerID) (apworker.Advice, error) {
	if f.silent {
		time.Sleep(3 * time.Second)
		return apworker.Advice{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
	}
	advice := apworker.Advice{Tickets: make(map[apjob.WorkerID]string), ValidFor: time.Minute}
	for _, id := range workers {
		advice.Tickets[id] = "ticket"
	}
	return advice, nil
}

func TestRunningShardAsksTheAdvisorOfNewerSettings(t *testing.T) {
	for name, first := range map[string]*fakeAdvisor{"silent before": {silent: true}, "none before": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.TransactionalStore{Store: memory.New()}
				pool := newFakePool(t, 1, 2)
				pool.register(t, store)
				lease, err := store.Grant(t.Context(), time.Hour)
				assert.NilError(t, err)
				journal, err := apjournal.Claim(t.Context(), store, shard, "owner", lease)
				assert.NilError(t, err)
				table := &apqueue.Table{Queues: []apqueue.Queue{{Name: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second, Advice: &apqueue.AdvisorTiming{}}}}
				var advisor atomic.Pointer[fakeAdvisor]
				advisor.Store(first)
				owner := apowner.New(apowner.Config{
					Shard: shard, Store: store, Workers: pool, Registry: fakeRegistry{}, Journal: journal,
					Queues: func() *apqueue.Table { return table }, Log: func(string, map[string]any) {}, ObserveDuration: func(string, time.Duration) {},
					Advisor: func() apworker.Advisor {
						if current := advisor.Load(); current != nil {
							return current
						}
						return nil
					},
					Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
				})
				ctx, stop := context.WithCancel(t.Context())
				group := &errgroup.Group{}
				group.Go(func() error { return owner.Run(ctx) })
				id := submit(t, store, 1)
				time.Sleep(10 * time.Second)
				assert.Equal(t, pool.startCount(), 0)
				advisor.Store(&fakeAdvisor{})
				waitUntilDone(t, store, id)
				stop()
				assert.NilError(t, group.Wait())
			})
		})
	}
}

// refusingAdvisor refuses each question at once and counts them.
type refusingAdvisor struct {
	asked     atomic.Int64
	lastAsked time.Time
	// shortest is the shortest time between two questions, which come one after the other.
	shortest time.Duration
}

func (r *refusingAdvisor) Advise(context.Context, apjob.StepID, []apjob.WorkerID) (apworker.Advice, error) {
	now := time.Now()
	if gap := now.Sub(r.lastAsked); r.asked.Add(1) == 2 || gap < r.shortest {
		r.shortest = gap
	}
	r.lastAsked = now
	return apworker.Advice{}, apcode.Errorf(apcode.WorkerGone, "connection refused")
}

func TestAdvisorThatRefusesIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		lease, err := store.Grant(t.Context(), time.Hour)
		assert.NilError(t, err)
		journal, err := apjournal.Claim(t.Context(), store, shard, "owner", lease)
		assert.NilError(t, err)
		table := &apqueue.Table{Queues: []apqueue.Queue{{Name: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second, Advice: &apqueue.AdvisorTiming{}}}}
		advisor := &refusingAdvisor{}
		owner := apowner.New(apowner.Config{
			Shard: shard, Store: store, Workers: pool, Registry: fakeRegistry{}, Journal: journal,
			Queues: func() *apqueue.Table { return table }, Log: func(string, map[string]any) {}, ObserveDuration: func(string, time.Duration) {},
			Advisor: func() apworker.Advisor { return advisor },
		})
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return owner.Run(ctx) })
		submit(t, store, 1)
		time.Sleep(20 * time.Second)
		asked := advisor.asked.Load()
		assert.Assert(t, asked >= 20 && asked <= 101, "%d questions in 20 s", asked)
		cancel()
		assert.NilError(t, group.Wait())
		assert.Assert(t, advisor.shortest >= 200*time.Millisecond, "%v between two questions", advisor.shortest)
	})
}
