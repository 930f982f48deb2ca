package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/platform"
	"auburnport/platform/emulator"
)

const (
	nodeCount = 9
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second

	portCallers = 8624
	portReady   = 8622
	portFirst   = 7060
)

// play is one play of the case.
type play struct {
	emulator  *apemulator.Emulator
	caller    *apemulator.Caller
	nodes     []*node
	queue     apemulator.QueueSpec
	record    *os.File
	startedAt time.Time
	// store reads who owns the pool.
	store *apadapter.Store
}

// node is one entry of the system.
type node struct {
	name           string
	command        []string
	settings       string
	callers, ready netip.AddrPort
	process        *exec.Cmd
	exited         chan struct{}
}

func (p *play) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.record, "%7.3f %s\n", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the platform and the entries, and waits until they are ready.
func (p *play) start(ctx context.Context, command []string, dir string) error {
	if err := p.emulator.Start(ctx); err != nil {
		return err
	}
	if err := p.emulator.Configure(ctx, 1, []apemulator.QueueSpec{p.queue}); err != nil {
		return err
	}
	address, err := p.emulator.ServeStore("operator")
	if err != nil {
		return err
	}
	p.store = apadapter.NewStore(apadapter.NewClient(0), address)
	p.caller = p.emulator.NewCaller()
	for i := range nodeCount {
		n, err := p.newNode(i, command, dir)
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	ready := p.await(ctx, 15*time.Second, func() bool {
		for _, n := range p.nodes {
			if !n.isReady(ctx) {
				return false
			}
		}
		return true
	})
	if !ready {
		return fmt.Errorf("%w: the entries don't become ready", errNotRun)
	}
	// The pool gets an owner, which hears from the workers.
	time.Sleep(3 * time.Second)
	p.logf("%d entries are ready", len(p.nodes))
	return nil
}

// newNode writes the settings of an entry, which has a loopback address of its own.
func (p *play) newNode(i int, command []string, dir string) (*node, error) {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(i + 1)})
	n := &node{
		name: fmt.Sprintf("entry-%d", i+1), command: command, callers: netip.AddrPortFrom(ip, portCallers),
		ready: netip.AddrPortFrom(ip, portReady),
	}
	probe, err := net.Listen("tcp", n.callers.String()) //nolint:noctx // It is closed at once.
	if err != nil {
		return nil, err
	}
	_ = probe.Close()
	store, err := p.emulator.ServeStore(n.name)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, n.name+".conf")
	text := p.emulator.Settings(apemulator.EntrySettings{Name: n.name, Callers: n.callers, Readiness: n.ready, FirstPort: portFirst, Store: store})
	return n, os.WriteFile(n.settings, text, 0o600)
}

// start starts the process as the platform does.
func (n *node) start() error {
	process := exec.Command(n.command[0], n.command[1:]...)
	process.Env = []string{"AUBURNPORT_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH")}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// terminate sends SIGTERM to the process.
func (n *node) terminate() { _ = n.process.Process.Signal(syscall.SIGTERM) }

// startAgain waits until the process has exited, kills it after the grace time, and starts it again.
func (n *node) startAgain(grace time.Duration) error {
	select {
	case <-n.exited:
	case <-time.After(grace):
		_ = n.process.Process.Kill()
		<-n.exited
	}
	return n.start()
}

// isReady asks for the readiness of the entry as the platform does.
func (n *node) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready.String()+"/auburnport/ready", http.NoBody)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// owner returns the entry that owns the pool.
func (p *play) owner(ctx context.Context) (*node, error) {
	var found *node
	p.await(ctx, 5*time.Second, func() bool {
		found = p.findOwner(ctx)
		return found != nil
	})
	if found == nil {
		return nil, fmt.Errorf("%w: the pool has no owner", errNotRun)
	}
	return found, nil
}

func (p *play) findOwner(ctx context.Context) *node {
	value, err := p.store.Read(ctx, apjournal.OwnerKey(pool))
	var owner apjournal.Owner
	if err != nil || value.Revision == 0 || apfleet.Decode(value.Data, &owner) != nil {
		return nil
	}
	for _, n := range p.nodes {
		if apfleet.EntryName(n.name) == owner.Entry {
			return n
		}
	}
	return nil
}

var machinePattern = regexp.MustCompile(`\bm-[0-9]{3}\b`)

// machineOf returns the machine of the task that was started last.
func (p *play) machineOf(id apjob.ID) (string, error) {
	machine := ""
	for _, line := range p.emulator.Record.History(id) {
		if name := machinePattern.FindString(line); name != "" {
			machine = name
		}
	}
	if machine == "" {
		return "", fmt.Errorf("%w: no machine runs the job", errNotRun)
	}
	return machine, nil
}

// await polls a condition and reports whether it was met in time.
func (p *play) await(ctx context.Context, limit time.Duration, met func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}

// close ends all processes and the platform.
func (p *play) close() {
	for _, n := range p.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if p.caller != nil {
		p.caller.Close()
	}
	_ = p.emulator.Stop()
}
