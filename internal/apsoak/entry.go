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

// Ports of an entry. Each entry has a loopback address of its own.
const (
	portCallers = 8624
	portReady   = 8622
	portFirst   = 7060
)

// entryProcess is one entry: its process, which can be restarted, and the proxy between it and the store.
type entryProcess struct {
	name string
	// settings is the path of the settings file, machines the address of the machine service, if there is one.
	settings       string
	machines       netip.AddrPort
	binary         string
	dir            string
	group          *errgroup.Group
	callersAddress netip.AddrPort
	readyAddress   netip.AddrPort
	storeProxy     *Proxy
	// advisorProxy is in front of the entry's advisor. Another one replaces it when the advisor moves.
	advisorProxy *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// startCount is how often the process was started.
	startCount int
}

// loopbackAddress derives the loopback address of entry i from the process ID, so that the entry's fixed ports
// are free.
func loopbackAddress(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(i + 1)})
}

func newEntryProcess(e *apemulator.Emulator, i int, machines netip.AddrPort, dir string, options Options, group *errgroup.Group) (*entryProcess, error) {
	p := &entryProcess{name: fmt.Sprintf("entry-%d", i+1), binary: options.Binary, machines: machines, dir: dir, group: group}
	ip := loopbackAddress(options.FirstHost + i)
	p.callersAddress, p.readyAddress = netip.AddrPortFrom(ip, portCallers), netip.AddrPortFrom(ip, portReady)
	address, err := e.ServeStore(p.name)
	if err != nil {
		return nil, err
	}
	if p.storeProxy, err = NewProxy(group, address); err != nil {
		return nil, err
	}
	p.settings = filepath.Join(dir, p.name+".conf")
	if err := p.writeSettings(e); err != nil {
		p.storeProxy.Close()
		return nil, err
	}
	return p, nil
}

// writeSettings starts a new advisor for the entry and writes the settings file, which names it. The address of an earlier
// one no longer answers.
func (p *entryProcess) writeSettings(e *apemulator.Emulator) error {
	advisor, err := e.ServeAdvisor(p.name)
	if err != nil {
		return err
	}
	if p.advisorProxy != nil {
		p.advisorProxy.Close()
	}
	if p.advisorProxy, err = NewProxy(p.group, advisor); err != nil {
		return err
	}
	text := e.Settings(apemulator.EntrySettings{
		Name: p.name, Callers: p.callersAddress, Readiness: p.readyAddress, FirstPort: portFirst, Store: p.storeProxy.Address(),
		Machines: p.machines, Advisor: p.advisorProxy.Address(),
	})
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "write the settings of %s", p.name)
	}
	return nil
}

// start starts the process.
func (p *entryProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := openLogFile(p.dir, p.name)
	if err != nil {
		return err
	}
	process := exec.Command(p.binary, "--settings", p.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "start %s", p.binary)
	}
	exited := make(chan struct{})
	p.process, p.exited = process, exited
	p.startCount++
	p.group.Go(func() error {
		// Most processes here are ended by signals; how it exited shows in its log.
		_ = process.Wait()
		_ = log.Close()
		close(exited)
		return nil
	})
	return nil
}

// signal sends a signal to the process.
func (p *entryProcess) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Signal fails only if the process has exited already.
	_ = p.process.Process.Signal(signal)
}

// awaitExit waits until the process has exited, and kills it when the grace time or ctx ends.
func (p *entryProcess) awaitExit(ctx context.Context, grace time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-exited:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// timesStarted returns how often the process was started.
func (p *entryProcess) timesStarted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// ensureRunning resumes the process if it is suspended, and starts it if it has exited.
func (p *entryProcess) ensureRunning() error {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return p.start()
	default:
		return nil
	}
}

// shutDown kills the process and closes the proxy to the store.
func (p *entryProcess) shutDown() {
	if p.process != nil {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.storeProxy.Close()
	p.advisorProxy.Close()
}

// isReady requests the readiness of the entry as the load balancer does.
func (p *entryProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/auburnport/ready", p.readyAddress)) //nolint:noctx // The client's time bounds it.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
