//go:build review

// Command standin plays one case of the review: it is the platform, the minions and the requesters, starts the system's
// processes, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one play of a case.
type play struct {
	*platform
	nodes []*node
	// advice is the address of the advisor.
	advice       string
	adviceServer *http.Server
	trouble      bool
	// cut is how long longest-lease cuts its minion off.
	cut time.Duration
}

// caseOf is a case: the rule that it checks, its minions and configuration, and what happens.
type caseOf struct {
	rule    string
	prepare func(p *play) error
	run     func(p *play) error
}

func main() {
	name := flag.String("case", "", "name of the case")
	command := flag.String("node", "target/auburnport-node", "command of the role in the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder that keeps the logs of the processes")
	trouble := flag.Bool("trouble", true, "play the disruption")
	cut := flag.Duration("cut", 5500*time.Millisecond, "how long longest-lease cuts its minion off")
	flag.Parse()
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run(*name, *command, *recordPath, *logs, *trouble, *cut))
}

func run(name, command, recordPath, logs string, trouble bool, cut time.Duration) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	p := &play{platform: newPlatform(r), trouble: trouble, cut: cut}
	err = p.play(name, command, dir)
	for _, n := range p.nodes {
		n.kill()
	}
	p.close()
	if err != nil {
		r.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if broken := r.broken(cases[name].rule); len(broken) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// nodeCount is the number of the system's processes.
const nodeCount = 3

func (p *play) play(name, command, dir string) error {
	c, ok := cases[name]
	if !ok {
		return fmt.Errorf("no case %q", name)
	}
	if err := c.prepare(p); err != nil {
		return err
	}
	machines, _, err := p.serve(http.HandlerFunc(p.serveMachines))
	if err != nil {
		return err
	}
	if p.advice, p.adviceServer, err = p.serve(&advisor{platform: p.platform, timing: advisedTiming}); err != nil {
		return err
	}
	p.group.Go(p.moveOn)
	for i := range nodeCount {
		n, err := newNode(p.platform, i, command, dir, machines, p.advice)
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	if !waitFor(20*time.Second, func() bool {
		for _, n := range p.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	}) {
		return errNotReady
	}
	p.record.logf("all nodes are ready")
	// The shards find their owners, and these their minions.
	time.Sleep(3 * time.Second)
	return c.run(p)
}

// waitFor waits until a condition holds, and reports whether it did within the limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
