package apowner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore/memory"
	"auburnport/pkg/apworker"
)

// resettableClient ends the polls under way when it is reset.
type resettableClient struct {
	*fakePool
	mu    sync.Mutex
	ended chan struct{}
}

func newResettableClient(pool *fakePool) *resettableClient {
	return &resettableClient{fakePool: pool, ended: make(chan struct{})}
}

func (c *resettableClient) current() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *resettableClient) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.ended)
	c.ended = make(chan struct{})
}

func (c *resettableClient) Poll(ctx context.Context, to apworker.Target, order apworker.PollOrder) (apworker.Report, error) {
	ended := c.current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := &errgroup.Group{}
	group.Go(func() error {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	report, err := c.fakePool.Poll(ctx, to, order)
	select {
	case <-ended:
		return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "the connection to %s was reset", to.ID)
	default:
		return report, err
	}
}

// Tasks run on the next processes and end before these have reported. The first poll that these answer follows a failed one.
func TestTasksRunOnceWhenTheyEndBeforeRestartIsNoticed(t *testing.T) {
	for name, resets := range map[string]bool{"polls are reset": true, "polls hang": false} {
		for _, duration := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
			for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 40 * time.Millisecond {
				t.Run(name+"/"+duration.String()+"/"+offset.String(), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { restartBetweenPolls(t, duration, offset, resets) })
				})
			}
		}
	}
}

// restartBetweenPolls restarts both workers at an offset from the submission of a job, after they have acknowledged ends.
func restartBetweenPolls(t *testing.T, duration, offset time.Duration, resets bool) {
	store := memory.TransactionalStore{Store: memory.New()}
	pool := newFakePool(t, 1, 2)
	pool.taskDuration = duration
	pool.register(t, store)
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(t.Context())
	delay := &atomic.Int64{}
	client := newResettableClient(pool)
	group.Go(func() error {
		return runOwner(ctx, t, slowStore{TransactionalStore: store, delay: delay}, client, "owner")
	})
	time.Sleep(3 * time.Second)
	for n := range 10 {
		submit(t, store, 100+n)
	}
	time.Sleep(20 * time.Second)
	delay.Store(int64(280 * time.Millisecond))
	id := submit(t, store, 1)
	time.Sleep(offset)
	pool.restart("i-0")
	pool.restart("i-1")
	if resets {
		client.reset()
	}
	time.Sleep(320 * time.Millisecond)
	delay.Store(int64(4 * time.Millisecond))
	waitUntilDone(t, store, id)
	cancel()
	assert.NilError(t, group.Wait())
}

// The next process takes the deadline of a start for its longest lease, and is cut off before it has reported.
func TestTasksRunOnceWhenWorkerIsCutOffBeforeRestartIsNoticed(t *testing.T) {
	for offset := 10 * time.Millisecond; offset < 300*time.Millisecond; offset += 20 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { cutOffAfterRestart(t, offset, false) })
		})
	}
}

// Guards against a second run while the first goes on under the longest lease: the start's answer, which tells of the next process by its
// clock, is lost as the worker is cut off.
func TestTasksRunOnceWhenWorkerIsCutOffAsItAnswersStart(t *testing.T) {
	for offset := 10 * time.Millisecond; offset < 300*time.Millisecond; offset += 20 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { cutOffAfterRestart(t, offset, true) })
		})
	}
}

// lastAnswerClient cuts the worker off after the start that is sent while armed has been carried out, before its answer.
type lastAnswerClient struct {
	cutOffClient
	armed, cutOff *atomic.Bool
}

func (c lastAnswerClient) Start(ctx context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	reply, err := c.cutOffClient.Start(ctx, to, order)
	if err != nil || !c.armed.CompareAndSwap(true, false) {
		return reply, err
	}
	c.cutOff.Store(true)
	return apworker.Reply{}, c.check(ctx, to)
}

// cutOffAfterRestart restarts the only worker at an offset from the submission of a job and cuts it off once a task runs there, if
// losesAnswer is set before the answer to the start.
func cutOffAfterRestart(t *testing.T, offset time.Duration, losesAnswer bool) {
	store := memory.TransactionalStore{Store: memory.New()}
	pool := newFakePool(t, 1, 2)
	pool.taskDuration = 20 * time.Second
	registerWorker(t, store, "i-0")
	// The clock of the first process is far ahead of that of the second.
	time.Sleep(time.Minute)
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(t.Context())
	cutOff, delay := &atomic.Bool{}, &atomic.Int64{}
	client := cutOffClient{fakePool: pool, code: apcode.WorkerSilent, timeout: 500 * time.Millisecond, isCutOff: func(worker apjob.WorkerID) bool {
		return worker == "i-0" && cutOff.Load()
	}}
	losing := lastAnswerClient{cutOffClient: client, armed: &atomic.Bool{}, cutOff: cutOff}
	group.Go(func() error {
		return runOwner(ctx, t, slowStore{TransactionalStore: store, delay: delay}, losing, "owner")
	})
	time.Sleep(3 * time.Second)
	delay.Store(int64(280 * time.Millisecond))
	id := submit(t, store, 1)
	time.Sleep(offset)
	losing.armed.Store(losesAnswer)
	pool.restart("i-0")
	started := pool.startCount()
	for waited := 0; pool.startCount() == started && waited < 1000; waited++ {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Millisecond)
	cutOff.Store(true)
	delay.Store(int64(4 * time.Millisecond))
	registerWorker(t, store, "i-1")
	waitUntilDone(t, store, id)
	cancel()
	assert.NilError(t, group.Wait())
}
