package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// world is a pool of workers that keep the platform's promises and check the owners'.
type world struct {
	mu      sync.Mutex
	t       *testing.T
	random  *rand.Rand
	workers map[apjob.WorkerID]*standin
	// noted holds the tasks whose done end was acknowledged before the worker's lease lapsed; starts
	// the last start of each task. A start after a noted end breaks the promise, whichever comes first.
	noted   map[apjob.TaskID]time.Time
	started map[apjob.TaskID]time.Time
	starts  int
	// loseAnswers is the share of orders that are carried out without an answer, late the share
	// that are carried out seconds later.
	loseAnswers float64
	late        float64
}

// standin is one worker.
type standin struct {
	id       apjob.WorkerID
	capacity apjob.Resources
	born     time.Time
	fence    uint64
	lease    time.Time
	running  map[apjob.RunKey]*running
	ended    []apworker.Ended
	// endedAt holds the time of each end by its number, lapsed the last time at which the lease
	// had lapsed.
	endedAt map[uint64]time.Time
	lapsed  time.Time
	number  uint64
	// highest is the highest run of each task that ended or was stopped here.
	highest map[apjob.TaskID]int
	silent  bool
}

type running struct {
	until time.Time
	need  apjob.Resources
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), workers: map[apjob.WorkerID]*standin{}, noted: map[apjob.TaskID]time.Time{}, started: map[apjob.TaskID]time.Time{}}
	for i := range n {
		id := apjob.WorkerID(fmt.Sprintf("i-%d", i))
		w.workers[id] = &standin{
			id: id, capacity: apjob.Resources{CPU: 4000, Memory: 4000}, born: time.Now(),
			running: map[apjob.RunKey]*running{}, endedAt: map[uint64]time.Time{}, highest: map[apjob.TaskID]int{},
		}
	}
	return w
}

const (
	taskNeed = 1000
	taskTime = 800 * time.Millisecond
	maxLease = 10 * time.Second
)

// settle ends what is due on a worker.
func (w *world) settle(s *standin) {
	now := time.Now()
	for run, r := range s.running {
		switch {
		case !now.Before(r.until) && !r.until.After(s.lease):
			w.end(s, run, apworker.EndDone, r.until)
		case now.After(s.lease):
			w.end(s, run, apworker.EndLapsed, s.lease)
		}
	}
	if now.After(s.lease) {
		s.lapsed = s.lease
	}
}

// acknowledge forgets ends up to a number, and notes those that are done and whose lease has held since.
func (w *world) acknowledge(s *standin, seen uint64) {
	for len(s.ended) > 0 && s.ended[0].Number <= seen {
		end := s.ended[0]
		s.ended = s.ended[1:]
		at := s.endedAt[end.Number]
		if end.How != apworker.EndDone || s.lapsed.After(at) {
			continue
		}
		w.noted[end.Run.Task] = at
		if w.started[end.Run.Task].After(at) {
			w.t.Errorf("%v was started after it was done, and the end acknowledged", end.Run)
		}
	}
}

func (w *world) end(s *standin, run apjob.RunKey, how apworker.How, at time.Time) {
	delete(s.running, run)
	s.number++
	s.endedAt[s.number] = at
	s.highest[run.Task] = max(s.highest[run.Task], run.Run)
	s.ended = append(s.ended, apworker.Ended{Number: s.number, Run: run, How: how})
}

// enter returns the worker for a call, settled and with its fence raised.
func (w *world) enter(to apworker.Target, fence uint64) (*standin, error) {
	s := w.workers[to.ID]
	if s.silent {
		return nil, apcode.Errorf(apcode.WorkerSilent, "%s is silent", to.ID)
	}
	w.settle(s)
	if fence < s.fence {
		return nil, apcode.Errorf(apcode.StaleFence, "%d is below %d", fence, s.fence)
	}
	s.fence = fence
	return s, nil
}

func (s *standin) clock() time.Duration { return time.Since(s.born) }

// extend lengthens the lease up to a time on the worker's clock.
func (s *standin) extend(deadline time.Duration) {
	end := s.born.Add(min(deadline, s.clock()+maxLease))
	if end.After(s.lease) {
		s.lease = end
	}
}

func (w *world) Start(_ context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() < w.late {
		delay := 2*time.Second + time.Duration(w.random.Int64N(int64(8*time.Second)))
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_, _ = w.start(to, order)
		})
		return apworker.Reply{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
	}
	reply, err := w.start(to, order)
	if w.random.Float64() < w.loseAnswers {
		return apworker.Reply{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
	}
	return reply, err
}

func (w *world) start(to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	s, err := w.enter(to, order.Fence)
	if err != nil {
		return apworker.Reply{}, err
	}
	reply := apworker.Reply{Clock: s.clock()}
	if _, there := s.running[order.Run]; there {
		return reply, nil
	}
	if s.highest[order.Run.Task] >= order.Run.Run {
		return reply, apcode.Errorf(apcode.StaleRun, "%v", order.Run)
	}
	if order.Deadline <= s.clock() {
		return reply, apcode.Errorf(apcode.OrderLate, "%v", order.Run)
	}
	s.extend(order.Deadline)
	w.checkStart(s, order.Run)
	s.running[order.Run] = &running{until: time.Now().Add(taskTime), need: apjob.Resources{CPU: taskNeed}}
	w.starts++
	return reply, nil
}

// checkStart fails the test when a start breaks a promise.
func (w *world) checkStart(on *standin, run apjob.RunKey) {
	used := int64(taskNeed)
	for _, r := range on.running {
		used += r.need.CPU
	}
	if used > on.capacity.CPU {
		w.t.Errorf("%s: %d of %d after the start of %v", on.id, used, on.capacity.CPU, run)
	}
	for _, other := range w.workers {
		w.settle(other)
		for there := range other.running {
			if there.Task == run.Task {
				w.t.Errorf("%v starts on %s while run %d is on %s", run, on.id, there.Run, other.id)
			}
		}
	}
	if _, noted := w.noted[run.Task]; noted {
		w.t.Errorf("%v starts on %s after it was done", run, on.id)
	}
	w.started[run.Task] = time.Now()
}

func (w *world) Stop(_ context.Context, to apworker.Target, order apworker.StopOrder) (apworker.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, err := w.enter(to, order.Fence)
	if err != nil {
		return apworker.Reply{}, err
	}
	s.highest[order.Run.Task] = max(s.highest[order.Run.Task], order.Run.Run)
	if _, there := s.running[order.Run]; there {
		w.end(s, order.Run, apworker.EndStopped, time.Now())
	}
	return apworker.Reply{Clock: s.clock()}, nil
}

func (w *world) Pace(context.Context, apworker.Target, apworker.PaceOrder) (apworker.Reply, error) {
	return apworker.Reply{}, nil
}

func (w *world) Hold(ctx context.Context, to apworker.Target, order apworker.HoldOrder) (apworker.Report, error) {
	w.mu.Lock()
	s, err := w.enter(to, order.Fence)
	if err == nil {
		if order.Deadline > 0 {
			s.extend(order.Deadline)
		}
		w.acknowledge(s, order.Seen)
	}
	w.mu.Unlock()
	for waited := time.Duration(0); err == nil && waited < order.Wait; waited += holdStep {
		select {
		case <-ctx.Done():
			return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "cancelled")
		case <-time.After(holdStep):
		}
		w.mu.Lock()
		w.settle(s)
		some := len(s.ended) > 0
		w.mu.Unlock()
		if some {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		return apworker.Report{}, err
	}
	if s.silent {
		return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "%s is silent", to.ID)
	}
	w.settle(s)
	report := apworker.Report{Clock: s.clock(), Born: s.born, Ended: append([]apworker.Ended(nil), s.ended...)}
	for run := range s.running {
		report.Running = append(report.Running, apworker.Running{Run: run, Percent: 50})
	}
	return report, nil
}

// holdStep is how often a waiting report looks for an end.
const holdStep = 20 * time.Millisecond

// registry keeps registrations whose value names a worker.
type registry struct{}

func (registry) Prefix() apfleet.Key { return "workers/" }
func (registry) ID(key apfleet.Key) apjob.WorkerID {
	return apjob.WorkerID(strings.TrimPrefix(string(key), "workers/"))
}

func (r registry) Parse(key apfleet.Key, _ []byte) (apworker.Info, error) {
	return apworker.Info{
		ID: r.ID(key), Service: "pool", Address: netip.MustParseAddrPort("127.0.0.1:9"), Rack: "r", Capacity: apjob.Resources{CPU: 4000, Memory: 4000},
	}, nil
}

func (w *world) register(t *testing.T, ledger apstore.Ledger) {
	t.Helper()
	for id := range w.workers {
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "workers/" + apfleet.Key(id), Data: []byte{1}}}})
		assert.NilError(t, err)
	}
}
