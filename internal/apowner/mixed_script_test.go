package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apmember"
	"auburnport/internal/apowner"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// mixedScript holds the fault kinds of a play.
type mixedScript struct {
	seed uint64
	// faultsFor is how long faults last.
	faultsFor time.Duration
	// The numbers of faults of each kind that are played side by side.
	storeTracks, entryTracks, registrationTracks, workerTracks int
	// lostRate, lateRate and slowRate are those of the network.
	lostRate, lateRate, slowRate float64
	// Those of the network.
	startsReachNextProcess bool
	pollsReachNextProcess  bool
	acksReachNextProcess   bool
	// workersRestart means that workers start again, addressesChange that they sometimes do so at another address.
	workersRestart, addressesChange bool
	// maxDrift is how much slower workers' clocks run at most.
	maxDrift float64
}

// newMixedScript draws a script.
func newMixedScript(seed uint64) mixedScript {
	random := rand.New(rand.NewPCG(seed, 20))
	return mixedScript{
		seed: seed, faultsFor: time.Duration(25+random.IntN(25)) * time.Second,
		storeTracks: random.IntN(2), entryTracks: random.IntN(3), registrationTracks: random.IntN(3), workerTracks: 1 + random.IntN(3),
		lostRate: 0.1 * random.Float64(), lateRate: 0.1 * random.Float64(), slowRate: 0.2 * random.Float64(),
		startsReachNextProcess: startsReachNextProcess, pollsReachNextProcess: pollsReachNextProcess, acksReachNextProcess: acksReachNextProcess,
		workersRestart: random.IntN(4) > 0, addressesChange: random.IntN(2) == 0, maxDrift: 0.02,
	}
}

// mixedPlay is a pool of workers with its entries and a store, and the faults that befall them.
type mixedPlay struct {
	script  mixedScript
	t       *testing.T
	store   memory.TransactionalStore
	faults  *storeFaults
	pool    *fakePool
	network *fakeNetwork
	history *history
	entries []*mixedEntry
	workers []apjob.WorkerID

	mu sync.Mutex
	// unregistered counts the reasons why a worker has no registration at the moment.
	unregistered map[apjob.WorkerID]int
	lastPort     uint16
	// freed holds the addresses that workers have left.
	freed []netip.AddrPort
}

// mixedEntry is an entry, which claims the shard when it is its turn.
type mixedEntry struct {
	name apfleet.EntryName
	// disturbed is held during a fault of the entry, so that there is one process of its name at a time.
	disturbed sync.Mutex

	mu    sync.Mutex
	store *faultyStore
	stop  context.CancelFunc
	ended chan struct{}
}

const (
	mixedWorkers = 5
	mixedEntries = 3
	// mixedJobs is the number of jobs of mixedTasks tasks each.
	mixedJobs  = 24
	mixedTasks = 5
)

func newMixedPlay(t *testing.T, script mixedScript) *mixedPlay {
	random := rand.New(rand.NewPCG(script.seed, 21))
	p := &mixedPlay{
		script: script, t: t, store: memory.TransactionalStore{Store: memory.New()}, faults: &storeFaults{}, pool: newFakePool(t, script.seed, mixedWorkers),
		network: newFakeNetwork(script.seed), history: newHistory(script.seed), unregistered: map[apjob.WorkerID]int{}, lastPort: 1000,
	}
	p.network.lostRate, p.network.lateRate, p.network.slowRate = script.lostRate, script.lateRate, script.slowRate
	p.network.pollsReachNextProcess = script.pollsReachNextProcess
	p.network.startsReachNextProcess, p.network.acksReachNextProcess = script.startsReachNextProcess, script.acksReachNextProcess
	p.pool.history = p.history
	p.pool.maxListedEnds = 2 + random.IntN(6)
	p.pool.durationOf = func(task apjob.TaskID) time.Duration { return mixedDuration(script.seed, task) }
	p.pool.fails = func(run apjob.RunKey) bool {
		return run.Run == 1 && taskRandom(script.seed, run.Task, 23).IntN(10) == 0
	}
	for n := range mixedWorkers {
		id := apjob.WorkerID(fmt.Sprintf("i-%d", n))
		p.workers = append(p.workers, id)
		p.pool.workers[id].address = p.newAddress()
		p.pool.workers[id].drift = script.maxDrift * random.Float64()
		// The clocks of the first processes are ahead of those of the next ones.
		p.pool.workers[id].processStartedAt = time.Now().Add(-time.Duration(random.IntN(60)) * time.Second)
	}
	return p
}

// taskRandom returns a random source of a task.
func taskRandom(seed uint64, task apjob.TaskID, purpose uint64) *rand.Rand {
	sum := seed*1000 + purpose
	for _, c := range task.String() {
		sum = sum*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(sum, purpose))
}

// mixedDuration returns how long a task takes: 0.5 to 2 s, or 10 to 20 s for one in five.
func mixedDuration(seed uint64, task apjob.TaskID) time.Duration {
	random := taskRandom(seed, task, 22)
	if random.IntN(5) == 0 {
		return time.Duration(10000+random.IntN(10000)) * time.Millisecond
	}
	return time.Duration(500+random.IntN(1500)) * time.Millisecond
}

// nextAddress returns the address of a worker's next process, which may be one that another worker has left.
func (p *mixedPlay) nextAddress(random *rand.Rand, left netip.AddrPort) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.newAddress()
	if n := len(p.freed); n > 0 && random.IntN(2) == 0 {
		address, p.freed = p.freed[n-1], p.freed[:n-1]
	}
	p.freed = append(p.freed, left)
	return address
}

func (p *mixedPlay) newAddress() netip.AddrPort {
	p.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.lastPort)
}

// log records an event that concerns a worker, or all of them.
func (p *mixedPlay) log(worker apjob.WorkerID, format string, values ...any) {
	p.history.add(apjob.RunKey{}, worker, "script", format, values...)
}

// startEntry starts the process of an entry.
func (p *mixedPlay) startEntry(e *mixedEntry, random *rand.Rand) {
	ctx, stop := context.WithCancel(p.t.Context())
	store := newFaultyStore(p.store, p.faults, rand.New(rand.NewPCG(p.script.seed, random.Uint64())))
	ended := make(chan struct{})
	e.mu.Lock()
	e.store, e.stop, e.ended = store, stop, ended
	e.mu.Unlock()
	options := apmember.DefaultOptions()
	options.Clock = fakeClock
	shards := func() []apjournal.Shard { return []apjournal.Shard{shard} }
	run := func(ctx context.Context, _ apjournal.Shard, journal *apjournal.Journal, permit *aplease.Permit) error {
		return p.runOwner(ctx, e.name, store, journal, permit)
	}
	member := apmember.New(store, e.name, shards, run, func(name string, fields map[string]any) { p.logOf(e.name, name, fields) }, options)
	group := &errgroup.Group{}
	group.Go(func() error {
		defer close(ended)
		return member.Run(ctx)
	})
}

// fakeClock reads the fake clock of the test.
func fakeClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (p *mixedPlay) runOwner(ctx context.Context, name apfleet.EntryName, store apstore.TransactionalStore, journal *apjournal.Journal, permit *aplease.Permit) error {
	table := &apqueue.Table{Queues: []apqueue.Queue{{Name: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}}
	return apowner.New(apowner.Config{
		Shard: shard, Store: store, Workers: networkClient{fakePool: p.pool, network: p.network, entry: name, permit: permit, reported: &sync.Map{}}, Registry: fakeRegistry{}, Journal: journal,
		Queues: func() *apqueue.Table { return table }, ObserveDuration: func(string, time.Duration) {}, Clock: fakeClock,
		Log:              func(event string, fields map[string]any) { p.logOf(name, event, fields) },
		SchedulerOptions: []apscheduler.Option{apscheduler.WithOptions(func(o *apscheduler.Options) { o.LongestLease = maxLease })},
	}).Run(ctx)
}

// logOf records an entry's event. A panic fails the test.
func (p *mixedPlay) logOf(name apfleet.EntryName, event string, fields map[string]any) {
	if event == "StoreFailed" || event == "WorkerSilent" || event == "InboxUnread" || event == "WorkersUnread" || event == "JobAccepted" {
		return
	}
	if err, ok := fields["Error"].(error); ok && apcode.Is(err, apcode.Panicked) {
		p.t.Errorf("seed %d: %s: %v", p.script.seed, event, err)
	}
	task, _ := fields["Task"].(apjob.TaskID)
	run, _ := fields["Run"].(int)
	worker, _ := fields["Worker"].(apjob.WorkerID)
	if event == "RunEnded" || event == "RunLost" || event == "OrderFailed" || run == 0 {
		p.history.add(apjob.RunKey{Task: task, Run: run}, worker, string(name), "%s %s", event, shortFields(fields))
		return
	}
	p.history.add(apjob.RunKey{Task: task, Run: run}, worker, string(name), "%s", event)
}

// shortFields formats the fields of a log event that its line doesn't have yet.
func shortFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains([]string{"Task", "Run", "Worker", "Shard", "Job"}, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// submitJobs submits all jobs, most of them at once and the others while faults last.
func (p *mixedPlay) submitJobs(ctx context.Context) ([]apjob.ID, error) {
	random := rand.New(rand.NewPCG(p.script.seed, 24))
	var ids []apjob.ID
	for n := range mixedJobs {
		job := apjob.Job{ID: apjob.ID(fmt.Sprintf("%016x", n)), Queue: "q", Submitted: time.Now(), Steps: []apjob.Step{
			{Count: mixedTasks - 2, Need: apjob.Resources{CPU: taskCPU}, Estimate: time.Second},
			{Count: 2, Need: apjob.Resources{CPU: taskCPU}, Estimate: time.Second, After: []int{0}},
		}}
		_, err := p.store.Commit(ctx, apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.JobKey(shard, job.ID), Data: apfleet.Encode(job)}}})
		if err != nil {
			return nil, err
		}
		ids = append(ids, job.ID)
		if n >= mixedJobs/2 {
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
	}
	return ids, nil
}

// waitUntilCompleted fails the test unless all jobs complete within two minutes.
func (p *mixedPlay) waitUntilCompleted(t *testing.T, ids []apjob.ID) {
	t.Helper()
	// A job stays stored for a while only.
	for waited := 0; len(ids) > 0 && waited < 120; waited++ {
		time.Sleep(time.Second)
		ids = slices.DeleteFunc(ids, func(id apjob.ID) bool { return countUnfinished(t, p.store, []apjob.ID{id}) == 0 })
	}
	for _, id := range ids {
		p.failUncompleted(t, id)
	}
}

// failUncompleted fails the test and prints what happened to a task of the job that isn't done.
func (p *mixedPlay) failUncompleted(t *testing.T, id apjob.ID) {
	t.Helper()
	value, err := p.store.Read(t.Context(), apjournal.ProgressKey(shard, id))
	assert.NilError(t, err)
	var progress apjob.Progress
	_ = apfleet.Decode(value.Data, &progress)
	run := apjob.RunKey{Task: apjob.TaskID{Job: id}}
	for _, occurrence := range progress.Occurrences {
		for step, tasks := range occurrence.Steps {
			for index, task := range tasks {
				if !task.Done && (run.Run == 0 || task.Worker != "") {
					run = apjob.RunKey{Task: apjob.TaskID{Job: id, Step: step, Index: index}, Run: task.Run}
				}
			}
		}
	}
	p.history.printAgain()
	p.pool.errorf(run, "job %s is not completed: %+v", id, progress)
}
