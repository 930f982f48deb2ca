package apowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
	"auburnport/pkg/apworker"
)

// latePollClient leaves one poll unanswered, which the worker carries out after a delay.
type latePollClient struct {
	*fakePool
	// armed makes the next poll of the worker late; late tells when that is under way.
	armed  *atomic.Bool
	late   chan struct{}
	worker apjob.WorkerID
	delay  time.Duration
}

func (c latePollClient) Poll(ctx context.Context, to apworker.Target, order apworker.PollOrder) (apworker.Report, error) {
	if to.ID != c.worker || !c.armed.CompareAndSwap(true, false) {
		return c.fakePool.Poll(ctx, to, order)
	}
	order.Wait = 0
	time.AfterFunc(c.delay, func() { _, _ = c.fakePool.Poll(context.WithoutCancel(ctx), to, order) })
	close(c.late)
	apstore.Sleep(ctx, 500*time.Millisecond)
	return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
}

// The numbers of ends begin anew in the process that carries out the poll.
func TestTasksRunOnceWhenPollOfEarlierProcessIsCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 1)
		pool.register(t, store)
		first := submit(t, store, 1)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		disconnected := &atomic.Bool{}
		client := latePollClient{fakePool: pool, armed: &atomic.Bool{}, late: make(chan struct{}), worker: "i-0", delay: 3500 * time.Millisecond}
		group.Go(func() error {
			// The owner ends with an error because it could not release the shard.
			_ = runOwner(ctx, t, disconnectableStore{TransactionalStore: store, disconnected: disconnected}, client, "first")
			return nil
		})
		waitUntilDone(t, store, first)
		time.Sleep(2 * time.Second)
		client.armed.Store(true)
		<-client.late
		pool.restart("i-0")
		time.Sleep(600 * time.Millisecond)
		second := submit(t, store, 2)
		for started := pool.startCount(); pool.startCount() == started; {
			time.Sleep(10 * time.Millisecond)
		}
		disconnected.Store(true)
		time.Sleep(client.delay)
		cancel()
		assert.NilError(t, group.Wait())
		next, stopNext := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(next, t, store, pool, "next") })
		waitUntilDone(t, store, second)
		stopNext()
		assert.NilError(t, group.Wait())
	})
}

// slowStartClient delays the start that is sent while armed.
type slowStartClient struct {
	*fakePool
	armed   *atomic.Bool
	delayed chan struct{}
}

func (c slowStartClient) Start(ctx context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	if c.armed.CompareAndSwap(true, false) {
		close(c.delayed)
		apstore.Sleep(ctx, 2*time.Second)
	}
	return c.fakePool.Start(ctx, to, order)
}

func TestOwnerOutlivesOrderOvertakenByRaisedFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 1)
		pool.register(t, store)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		client := slowStartClient{fakePool: pool, armed: &atomic.Bool{}, delayed: make(chan struct{})}
		client.armed.Store(true)
		group.Go(func() error { return runOwner(ctx, t, store, client, "owner") })
		time.Sleep(time.Second)
		id := submit(t, store, 1)
		<-client.delayed
		pool.restart("i-0")
		waitUntilDone(t, store, id)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// slowPollClient delays the poll that is sent while armed. It is carried out by the process that is there then, and answered.
type slowPollClient struct {
	*fakePool
	armed   *atomic.Bool
	delayed chan struct{}
	worker  apjob.WorkerID
	delay   time.Duration
	// losesAnswers means that the answers to starts are lost until the poll is carried out.
	losesAnswers bool
	carriedOut   *atomic.Bool
}

func (c slowPollClient) Start(ctx context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	reply, err := c.fakePool.Start(ctx, to, order)
	select {
	case <-c.delayed:
		if c.losesAnswers && !c.carriedOut.Load() {
			apstore.Sleep(ctx, startTimeout)
			return apworker.Reply{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
		}
	default:
	}
	return reply, err
}

func (c slowPollClient) Poll(ctx context.Context, to apworker.Target, order apworker.PollOrder) (apworker.Report, error) {
	if to.ID != c.worker || !c.armed.CompareAndSwap(true, false) {
		return c.fakePool.Poll(ctx, to, order)
	}
	close(c.delayed)
	order.Wait = 0
	var report apworker.Report
	var err error
	carriedOut := make(chan struct{})
	time.AfterFunc(c.delay, func() {
		report, err = c.fakePool.Poll(context.WithoutCancel(ctx), to, order)
		c.carriedOut.Store(true)
		close(carriedOut)
	})
	select {
	case <-carriedOut:
		return report, err
	case <-ctx.Done():
		return report, apcode.Errorf(apcode.WorkerSilent, "given up")
	}
}

// Tasks run on the next process and end while a poll to the process before is under way.
func TestTasksRunOnceWhenNextProcessAnswersPollUnderWay(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { restartDuringPoll(t, delay, 200*time.Millisecond, false) })
		})
	}
}

func TestTasksRunOnceWhenNextProcessAnswersPollAndNoStart(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { restartDuringPoll(t, delay, 750*time.Millisecond, true) })
		})
	}
}

// restartDuringPoll restarts the only worker while a poll is under way, which the next process carries out after a delay. Tasks
// of the given duration start there before.
func restartDuringPoll(t *testing.T, delay, duration time.Duration, losesAnswers bool) {
	store := memory.TransactionalStore{Store: memory.New()}
	pool := newFakePool(t, 1, 1)
	pool.taskDuration = duration
	pool.register(t, store)
	time.Sleep(time.Minute)
	first := submit(t, store, 1)
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(t.Context())
	client := slowPollClient{
		fakePool: pool, armed: &atomic.Bool{}, delayed: make(chan struct{}), worker: "i-0", delay: delay,
		losesAnswers: losesAnswers, carriedOut: &atomic.Bool{},
	}
	group.Go(func() error { return runOwner(ctx, t, store, client, "owner") })
	waitUntilDone(t, store, first)
	time.Sleep(2 * time.Second)
	client.armed.Store(true)
	<-client.delayed
	pool.restart("i-0")
	time.Sleep(50 * time.Millisecond)
	second := submit(t, store, 2)
	waitUntilDone(t, store, second)
	cancel()
	assert.NilError(t, group.Wait())
}
