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

// Ports of an entry. Each entry has a loopback address of its own.
const (
	portCallers = 8624
	portReady   = 8622
	portFirst   = 7060
)

// node is one entry: its process, which can be restarted, and the proxy between it and the store.
type node struct {
	name           string
	binary         string
	settings       string
	dir            string
	group          *errgroup.Group
	callersAddress netip.AddrPort
	readyAddress   netip.AddrPort
	storeProxy     *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// startCount is how often the process was started.
	startCount int
}

// loopbackAddress derives a loopback address for an entry from the process ID, so that the entry's fixed ports
// are free.
func loopbackAddress(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(i + 1)})
}

func newNode(e *apemulator.Emulator, i int, machines netip.AddrPort, dir string, options Options, group *errgroup.Group) (*node, error) {
	n := &node{name: fmt.Sprintf("entry-%d", i+1), binary: options.Binary, dir: dir, group: group}
	ip := loopbackAddress(i)
	n.callersAddress, n.readyAddress = netip.AddrPortFrom(ip, portCallers), netip.AddrPortFrom(ip, portReady)
	address, err := e.ServeStore(n.name)
	if err != nil {
		return nil, err
	}
	if n.storeProxy, err = NewProxy(group, address); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, n.name+".conf")
	text := e.Settings(n.name, n.callersAddress, n.readyAddress, portFirst, n.storeProxy.Address(), machines)
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "write the settings of %s", n.name)
	}
	return n, nil
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := openLogFile(n.dir, n.name)
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
	n.startCount++
	n.group.Go(func() error {
		// Most processes here are ended by signals; how it exited shows in its log.
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
	// Signal fails only if the process has exited already.
	_ = n.process.Process.Signal(signal)
}

// awaitExit waits until the process has exited, and kills it when the grace time or ctx ends.
func (n *node) awaitExit(ctx context.Context, grace time.Duration) {
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

// timesStarted returns how often the process was started.
func (n *node) timesStarted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startCount
}

// ensureRunning resumes the process if it is suspended, and starts it if it has exited.
func (n *node) ensureRunning() error {
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

// shutDown kills the process and closes the proxy to the store.
func (n *node) shutDown() {
	if n.process != nil {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.storeProxy.Close()
}

// isReady requests the readiness of the entry as the load balancer does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/auburnport/ready", n.readyAddress)) //nolint:noctx // The client's time bounds it.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == statusOK
}
