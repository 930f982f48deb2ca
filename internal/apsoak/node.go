package apsoak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/platform/emulator"
)

const statusOK = http.StatusOK

// Ports of an entry, on an address of its own.
const (
	portCallers = 8624
	portReady   = 8622
	portFirst   = 7060
)

// node is one entry: its process, which may be ended and started again, and the link to its store.
type node struct {
	name     string
	binary   string
	settings string
	dir      string
	group    *errgroup.Group
	callers  netip.AddrPort
	ready    netip.AddrPort
	store    *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// life counts the starts.
	life int
}

// loopback returns an address of this process's own for an entry.
func loopback(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(i + 1)})
}

func newNode(e *apemulator.Emulator, i int, machines netip.AddrPort, dir string, options Options, group *errgroup.Group) (*node, error) {
	n := &node{name: fmt.Sprintf("entry-%d", i+1), binary: options.Binary, dir: dir, group: group}
	ip := loopback(i)
	n.callers, n.ready = netip.AddrPortFrom(ip, portCallers), netip.AddrPortFrom(ip, portReady)
	address, err := e.ServeStore(n.name)
	if err != nil {
		return nil, err
	}
	if n.store, err = NewProxy(group, address); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, n.name+".conf")
	text := e.Settings(n.name, n.callers, n.ready, portFirst, n.store.Address(), machines)
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "settings of %s", n.name)
	}
	return n, nil
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := logFile(n.dir, n.name)
	if err != nil {
		return err
	}
	process := exec.Command(n.binary, "--settings", n.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "start %s", n.binary)
	}
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	n.life++
	n.group.Go(func() error {
		// How it ended is in its log; most ends here are by signals.
		_ = process.Wait()
		_ = log.Close()
		close(exited)
		return nil
	})
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has ended already needs no signal.
	_ = n.process.Process.Signal(signal)
}

// stopped waits for the end of the process, and kills it after a time.
func (n *node) stopped(ctx context.Context, grace time.Duration) {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-exited:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	n.signal(syscall.SIGKILL)
	<-exited
}

// lives returns how often the process was started.
func (n *node) lives() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// ensure makes the process run, whatever was done to it.
func (n *node) ensure() error {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return n.start()
	default:
		return nil
	}
}

// end ends the process and the link to the store.
func (n *node) end() {
	if n.process != nil {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.store.End()
}

// isReady asks as the balancer does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/auburnport/ready", n.ready)) //nolint:noctx // The client's time bounds it.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == statusOK
}
