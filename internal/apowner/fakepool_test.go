package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
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

// fakePool is a pool of fake workers. They follow the worker protocol and fail the test when an owner
// violates an invariant.
type fakePool struct {
	mu      sync.Mutex
	t       *testing.T
	random  *rand.Rand
	workers map[apjob.WorkerID]*fakeWorker
	// doneAt holds the end of each task that was done and acknowledged while the worker's lease still held.
	// startedAt holds the last start of each task. A start later than doneAt is an error, in whichever order
	// the two are recorded.
	doneAt    map[apjob.TaskID]time.Time
	startedAt map[apjob.TaskID]time.Time
	starts    int
	// lostAnswerRate is the share of orders that are executed but whose answer is lost. delayRate is the
	// share that is executed seconds late.
	lostAnswerRate float64
	delayRate      float64
	// taskDuration is how long each run takes.
	taskDuration time.Duration
	// durationOf, if set, replaces taskDuration. fails, if set, reports whether a run ends as failed.
	durationOf func(apjob.TaskID) time.Duration
	fails      func(apjob.RunKey) bool
	// maxListedEnds, if positive, is how many ends a report lists at most.
	maxListedEnds int
	// history, if set, is printed for the task of a failure.
	history *history
}

type fakeWorker struct {
	id               apjob.WorkerID
	capacity         apjob.Resources
	processStartedAt time.Time
	highestFence     uint64
	leaseEnd         time.Time
	running          map[apjob.RunKey]*fakeRun
	unackedEnds      []apworker.RunEnd
	// endedAt holds the time of each end by its number. lastLapse is the last time at which the lease lapsed.
	endedAt       map[uint64]time.Time
	lastLapse     time.Time
	lastEndNumber uint64
	// highestRun holds the highest run of each task that ended or was stopped on this worker.
	highestRun map[apjob.TaskID]int
	silent     bool
	// down means that there is no process.
	down bool
	// drift is how much slower the worker's clock runs, as a fraction.
	drift float64
	// address is where the worker listens; the zero value means everywhere.
	address netip.AddrPort
}

type fakeRun struct {
	endsAt time.Time
	need   apjob.Resources
}

func newFakePool(t *testing.T, seed uint64, n int) *fakePool {
	p := &fakePool{t: t, random: rand.New(rand.NewPCG(seed, 1)), workers: map[apjob.WorkerID]*fakeWorker{}, doneAt: map[apjob.TaskID]time.Time{}, startedAt: map[apjob.TaskID]time.Time{}, taskDuration: taskDuration}
	for i := range n {
		id := apjob.WorkerID(fmt.Sprintf("i-%d", i))
		p.workers[id] = &fakeWorker{
			id: id, capacity: apjob.Resources{CPU: 4000, Memory: 4000}, processStartedAt: time.Now(),
			running: map[apjob.RunKey]*fakeRun{}, endedAt: map[uint64]time.Time{}, highestRun: map[apjob.TaskID]int{},
		}
	}
	return p
}

const (
	taskCPU      = 1000
	taskDuration = 800 * time.Millisecond
	maxLease     = 10 * time.Second
)

// endDueRuns ends the runs of a worker that are done or whose lease has lapsed.
func (p *fakePool) endDueRuns(s *fakeWorker) {
	now := time.Now()
	for run, r := range s.running {
		switch {
		case !now.Before(r.endsAt) && !r.endsAt.After(s.leaseEnd):
			p.endRun(s, run, p.reasonOf(run), r.endsAt)
		case now.After(s.leaseEnd):
			p.endRun(s, run, apworker.EndLapsed, s.leaseEnd)
		}
	}
	if now.After(s.leaseEnd) {
		s.lastLapse = s.leaseEnd
	}
}

// reasonOf returns how a run ends by itself.
func (p *fakePool) reasonOf(run apjob.RunKey) apworker.EndReason {
	if p.fails != nil && p.fails(run) {
		return apworker.EndFailed
	}
	return apworker.EndDone
}

// durationOfRun returns how long the runs of a task take.
func (p *fakePool) durationOfRun(task apjob.TaskID) time.Duration {
	if p.durationOf != nil {
		return p.durationOf(task)
	}
	return p.taskDuration
}

// errorf fails the test and prints what happened to the run's task.
func (p *fakePool) errorf(run apjob.RunKey, format string, values ...any) {
	p.t.Errorf("%s%s", fmt.Sprintf(format, values...), p.history.of(run.Task))
}

// acknowledge removes the ends numbered up to acked. It records those that are done and after which the lease
// has not lapsed.
func (p *fakePool) acknowledge(s *fakeWorker, acked uint64) {
	for len(s.unackedEnds) > 0 && s.unackedEnds[0].Number <= acked {
		end := s.unackedEnds[0]
		s.unackedEnds = s.unackedEnds[1:]
		at := s.endedAt[end.Number]
		p.history.add(end.Run, s.id, "worker", "end %d (%v) acknowledged by LastSeen %d", end.Number, end.Reason, acked)
		if end.Reason != apworker.EndDone || s.lastLapse.After(at) {
			continue
		}
		p.doneAt[end.Run.Task] = at
		if p.startedAt[end.Run.Task].After(at) {
			p.errorf(end.Run, "%v was started after the task had ended and the end was acknowledged", end.Run)
		}
	}
}

func (p *fakePool) endRun(s *fakeWorker, run apjob.RunKey, reason apworker.EndReason, at time.Time) {
	delete(s.running, run)
	s.lastEndNumber++
	s.endedAt[s.lastEndNumber] = at
	s.highestRun[run.Task] = max(s.highestRun[run.Task], run.Run)
	p.history.add(run, s.id, "worker", "run ended as %v, end %d, %.2f s ago", reason, s.lastEndNumber, time.Since(at).Seconds())
	s.unackedEnds = append(s.unackedEnds, apworker.RunEnd{Number: s.lastEndNumber, Run: run, Reason: reason})
}

// acceptCall returns the worker for a call after it has ended due runs, checked the fence and raised the
// worker's own.
func (p *fakePool) acceptCall(to apworker.Target, fence uint64) (*fakeWorker, error) {
	s := p.workers[to.ID]
	if s.silent {
		return nil, apcode.Errorf(apcode.WorkerSilent, "%s does not answer", to.ID)
	}
	if s.address.IsValid() && s.address != to.Address && p.listensAt(to.Address) {
		return nil, apcode.Errorf(apcode.WorkerChanged, "%s belongs to another worker than %s", to.Address, to.ID)
	}
	if s.down || s.address.IsValid() && s.address != to.Address {
		return nil, apcode.Errorf(apcode.WorkerGone, "nothing listens at %s for %s", to.Address, to.ID)
	}
	p.endDueRuns(s)
	if fence < s.highestFence {
		return nil, apcode.Errorf(apcode.StaleFence, "fence %d is below %d", fence, s.highestFence)
	}
	s.highestFence = fence
	return s, nil
}

// listensAt reports whether a worker is up at an address.
func (p *fakePool) listensAt(address netip.AddrPort) bool {
	for _, s := range p.workers {
		if s.address == address && !s.down && !s.silent {
			return true
		}
	}
	return false
}

func (s *fakeWorker) clock() time.Duration {
	passed := time.Since(s.processStartedAt)
	return passed - time.Duration(float64(passed)*s.drift)
}

// extendLease extends the lease to a deadline on the worker's clock.
func (s *fakeWorker) extendLease(deadline time.Duration) {
	end := time.Now().Add(time.Duration(float64(min(deadline-s.clock(), maxLease)) / (1 - s.drift)))
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}

func (p *fakePool) Start(_ context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() < p.delayRate {
		delay := 2*time.Second + time.Duration(p.random.Int64N(int64(8*time.Second)))
		time.AfterFunc(delay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			_, _ = p.start(to, order)
		})
		return apworker.Reply{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
	}
	reply, err := p.start(to, order)
	if p.random.Float64() < p.lostAnswerRate {
		return apworker.Reply{}, apcode.Errorf(apcode.WorkerSilent, "no answer")
	}
	return reply, err
}

func (p *fakePool) start(to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	s, err := p.acceptCall(to, order.Fence)
	if err != nil {
		return apworker.Reply{}, err
	}
	reply := apworker.Reply{Clock: s.clock()}
	if _, running := s.running[order.Run]; running {
		s.extendLease(order.Deadline)
		return reply, nil
	}
	if s.highestRun[order.Run.Task] >= order.Run.Run {
		s.extendLease(order.Deadline)
		return reply, apcode.Errorf(apcode.StaleRun, "%v", order.Run)
	}
	if order.Deadline <= s.clock() {
		return reply, apcode.Errorf(apcode.OrderLate, "%v", order.Run)
	}
	s.extendLease(order.Deadline)
	p.checkInvariants(s, order.Run)
	p.history.add(order.Run, s.id, "worker", "run starts, fence %d, lease until %.2f s from now", order.Fence, time.Until(s.leaseEnd).Seconds())
	s.running[order.Run] = &fakeRun{endsAt: time.Now().Add(p.durationOfRun(order.Run.Task)), need: apjob.Resources{CPU: taskCPU}}
	p.starts++
	return reply, nil
}

// checkInvariants fails the test when a start exceeds the worker's capacity, overlaps another run of the task
// or follows its acknowledged end.
func (p *fakePool) checkInvariants(target *fakeWorker, run apjob.RunKey) {
	used := int64(taskCPU)
	for _, r := range target.running {
		used += r.need.CPU
	}
	if used > target.capacity.CPU {
		p.errorf(run, "%s: CPU use is %d of %d after the start of %v", target.id, used, target.capacity.CPU, run)
	}
	for _, other := range p.workers {
		p.endDueRuns(other)
		for runningKey := range other.running {
			if runningKey.Task == run.Task {
				p.errorf(run, "%v starts on %s while run %d is running on %s", run, target.id, runningKey.Run, other.id)
			}
		}
	}
	if _, done := p.doneAt[run.Task]; done {
		p.errorf(run, "%v starts on %s after its end was acknowledged", run, target.id)
	}
	p.startedAt[run.Task] = time.Now()
}

func (p *fakePool) Stop(_ context.Context, to apworker.Target, order apworker.StopOrder) (apworker.Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.acceptCall(to, order.Fence)
	if err != nil {
		return apworker.Reply{}, err
	}
	s.highestRun[order.Run.Task] = max(s.highestRun[order.Run.Task], order.Run.Run)
	if _, running := s.running[order.Run]; running {
		p.endRun(s, order.Run, apworker.EndStopped, time.Now())
	}
	return apworker.Reply{Clock: s.clock()}, nil
}

func (p *fakePool) Pace(context.Context, apworker.Target, apworker.PaceOrder) (apworker.Reply, error) {
	return apworker.Reply{}, nil
}

func (p *fakePool) Poll(ctx context.Context, to apworker.Target, order apworker.PollOrder) (apworker.Report, error) {
	p.mu.Lock()
	s, err := p.acceptCall(to, order.Fence)
	if err == nil {
		if order.Deadline > 0 {
			s.extendLease(order.Deadline)
		}
		p.acknowledge(s, order.AckedEnd)
	}
	p.mu.Unlock()
	for waited := time.Duration(0); err == nil && waited < order.Wait; waited += reportPollInterval {
		select {
		case <-ctx.Done():
			return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "cancelled")
		case <-time.After(reportPollInterval):
		}
		p.mu.Lock()
		p.endDueRuns(s)
		hasEnds := len(s.unackedEnds) > 0
		p.mu.Unlock()
		if hasEnds {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		return apworker.Report{}, err
	}
	if s.silent || s.down {
		return apworker.Report{}, apcode.Errorf(apcode.WorkerSilent, "%s does not answer", to.ID)
	}
	p.endDueRuns(s)
	report := apworker.Report{Clock: s.clock(), StartedAt: s.processStartedAt, Ends: append([]apworker.RunEnd(nil), s.unackedEnds...)}
	if p.maxListedEnds > 0 && len(report.Ends) >= p.maxListedEnds {
		report.Ends, report.EndsIncomplete = report.Ends[:p.maxListedEnds], true
	}
	for run := range s.running {
		report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 50})
	}
	return report, nil
}

// reportPollInterval is how often a delayed report checks for ended runs.
const reportPollInterval = 20 * time.Millisecond

// fakeRegistry takes the worker from the key, and its address and start time from the value if that is a
// registrationValue.
type fakeRegistry struct{}

// registrationValue returns a registration of the worker's present process.
func (s *fakeWorker) registrationValue() []byte {
	return fmt.Appendf(nil, "%s %d", s.address, s.processStartedAt.UnixNano())
}

func (fakeRegistry) Prefix() apfleet.Key { return "workers/" }
func (fakeRegistry) ID(key apfleet.Key) apjob.WorkerID {
	return apjob.WorkerID(strings.TrimPrefix(string(key), "workers/"))
}

func (r fakeRegistry) Parse(key apfleet.Key, data []byte) (apworker.Info, error) {
	info := apworker.Info{
		ID: r.ID(key), Service: "pool", Address: netip.MustParseAddrPort("127.0.0.1:9"), Rack: "r", Capacity: apjob.Resources{CPU: 4000, Memory: 4000},
	}
	if address, startedAt, found := strings.Cut(string(data), " "); found {
		nanoseconds, err := strconv.ParseInt(startedAt, 10, 64)
		if err != nil {
			return info, err
		}
		info.Address, info.StartedAt = netip.MustParseAddrPort(address), time.Unix(0, nanoseconds)
	}
	return info, nil
}

func (p *fakePool) register(t *testing.T, store apstore.TransactionalStore) {
	t.Helper()
	for id := range p.workers {
		registerWorker(t, store, id)
	}
}

// registerWorker writes the registration of a worker.
func registerWorker(t *testing.T, store apstore.TransactionalStore, id apjob.WorkerID) {
	t.Helper()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: registrationKey(id), Data: []byte{1}}}})
	assert.NilError(t, err)
}
