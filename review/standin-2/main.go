// Command standin-2 plays a case of the second review with the project's emulated platform. It starts the system's entries
// as processes, loses one worker, restarts in turn the entry that owns the pool, and checks whether the long-running tasks of
// the lost worker run again. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	pool = "search"
	// lastingTasks is the number of tasks of the long-running job.
	lastingTasks = 3
	// restartInterval is the time from the SIGTERM of one entry to that of the next.
	restartInterval = 3500 * time.Millisecond
	// idleBound and lastRunBound are those of the rule: nothing runs for 3 s, from 6 s after the last run.
	idleBound    = 3 * time.Second
	lastRunBound = 6 * time.Second
	// finishBound is finish_s.
	finishBound = 14 * time.Second
)

// errNotRun is the error of a play that says nothing about the rule.
var errNotRun = errors.New("not run")

func main() {
	command := flag.String("node", "target/auburnport-node", "command of the role in the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "restart entries")
	flag.Parse()
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	broken, err := run(*command, *recordPath, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	default:
		fmt.Println("held")
		os.Exit(exitHeld)
	}
}

// run plays the case and returns how the rule was broken, or "".
func run(command, recordPath string, trouble bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := os.Create(recordPath)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	p := &play{
		record: file, startedAt: time.Now(), queue: apemulator.QueueSpec{
			Name: "find", Host: "find.example", Prefix: "/find/", Service: pool, MaxAttempts: 4, Stretch: 2, Slack: time.Second,
		},
		emulator: apemulator.New(apemulator.WithOptions(func(o *apemulator.Options) {
			o.Pools = []apemulator.PoolSpec{{Name: pool, Machines: 8}}
		})),
	}
	defer p.close()
	if err := p.start(ctx, strings.Fields(command), dir); err != nil {
		return "", err
	}
	broken, err := p.play(ctx, trouble)
	p.logf("result: %q, %v", broken, err)
	return broken, err
}

// play submits the job, loses the worker of one of its tasks, restarts entries and checks the rule.
func (p *play) play(ctx context.Context, trouble bool) (string, error) {
	id := apjob.ID("5c0e7a21d94b0001")
	job := apemulator.Submission{
		Job: apjob.Job{ID: id, Queue: apjob.Queue(p.queue.Name), Spec: "serve", Steps: []apjob.Step{{
			Count: lastingTasks, Need: apjob.Resources{CPU: 1000, Memory: 256}, LongRunning: true, MaxPerWorker: 1,
		}}},
		Service: pool,
	}
	outcome := p.caller.Submit(ctx, p.nodes[0].callers, p.queue, job)
	p.logf("POST to %s: %d", p.nodes[0].name, outcome.Status)
	if outcome.Status != http.StatusOK {
		return "", fmt.Errorf("%w: the job was answered with %d", errNotRun, outcome.Status)
	}
	if !p.await(ctx, finishBound, func() bool { return len(p.emulator.Record.UnavailableTasks()) == 0 }) {
		return "", fmt.Errorf("%w: the tasks don't run before the disruption", errNotRun)
	}
	p.logf("all tasks are at work")
	time.Sleep(2 * time.Second)
	machine, err := p.machineOf(id)
	if err != nil {
		return "", err
	}
	p.emulator.Fleet.Crash(ctx, machine, time.Hour)
	lostAt := time.Now()
	p.logf("machine %s is lost for good, with its worker", machine)
	if !trouble {
		// The same time passes without a restart.
		time.Sleep(time.Duration(len(p.nodes)) * restartInterval)
		return p.checkAfterTraffic(ctx, id, lostAt), nil
	}
	last, err := p.restartOwners(ctx)
	if err != nil {
		return "", err
	}
	broken := p.checkAfterTraffic(ctx, id, lostAt)
	return broken, last.startAgain(graceTime)
}

// restartOwners restarts the entry that owns the pool, as often as there are entries. It returns once the last one has given
// the pool up and another entry owns it. The caller starts that last one again.
func (p *play) restartOwners(ctx context.Context) (*node, error) {
	for i := range p.nodes {
		owner, err := p.owner(ctx)
		if err != nil {
			return nil, err
		}
		p.logf("SIGTERM to %s, which owns the pool; not at work: %v", owner.name, p.emulator.Record.UnavailableTasks())
		sentAt := time.Now()
		owner.terminate()
		if i == len(p.nodes)-1 {
			p.await(ctx, graceTime, func() bool { next := p.findOwner(ctx); return next != nil && next != owner })
			return owner, nil
		}
		if err := owner.startAgain(graceTime); err != nil {
			return nil, err
		}
		p.logf("%s has ended and is started again", owner.name)
		time.Sleep(restartInterval - time.Since(sentAt))
	}
	return nil, errNotRun
}

// checkAfterTraffic checks the rule from the end of the traffic on: no task has nothing running for idleBound.
func (p *play) checkAfterTraffic(ctx context.Context, id apjob.ID, lostAt time.Time) string {
	endedAt := time.Now()
	p.logf("the traffic ends; not at work: %v", p.emulator.Record.UnavailableTasks())
	p.await(ctx, finishBound, func() bool { return len(p.emulator.Record.UnavailableTasks()) == 0 })
	idle := time.Since(endedAt)
	outcome := p.caller.Status(ctx, p.nodes[0].callers, p.queue, id)
	p.logf("GET from %s: %d %v", p.nodes[0].name, outcome.Status, outcome.State)
	p.logf("all tasks at work %.1f s after the end of the traffic, %.1f s after the loss", idle.Seconds(), time.Since(lostAt).Seconds())
	for _, line := range p.emulator.Record.History(id) {
		_, _ = fmt.Fprintln(p.record, line)
	}
	// The rule counts from lastRunBound after the last run.
	if begin := max(0, lastRunBound-endedAt.Sub(lostAt)); idle-begin > idleBound {
		return fmt.Sprintf("a long-running task has nothing running for %.1f s after the end of the traffic, %.1f s after its last run",
			idle.Seconds(), time.Since(lostAt).Seconds())
	}
	return ""
}
