//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name              string
	front, ready      string
	settings, logPath string
	command           []string
	process           *exec.Cmd
	exited            chan struct{}
}

// The ports of a node. Each node has a loopback address of its own.
const (
	frontPort     = 8624
	readyPort     = 8622
	firstInternal = 7060
	lastInternal  = 7075
)

// loopbackAddress derives a loopback address for a node from the process ID, so that the node's ports are free.
func loopbackAddress(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, i+1)
}

// newNode writes the settings file of a node.
func newNode(p *platform, i int, command, dir, machines, advice string) (*node, error) {
	n := &node{name: fmt.Sprintf("front-zone-a-%d", i+1), command: strings.Fields(command)}
	store, _, err := p.serve(p.limitValues(p.loseAnswers(p.storeServer.Handler(n.name))))
	if err != nil {
		return nil, err
	}
	ip := loopbackAddress(i)
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	text := fmt.Sprintf(`Node=%s
Role=entry
MachineClass=front
Serves=front
Ip=%s
Zone=zone-a
Region=region-a
Zones.zone-a=region-a
Listen.Front=%s
Listen.Readiness=%s
InternalPorts=%d,%d
Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1500
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigMs=2000
Bounds.RollbackSlackMs=250
Bounds.HoldMaxMs=%d
Bounds.StopMs=400
Bounds.GangMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.NoticeMs=4500
Bounds.MoveS=1.5
Bounds.UpkeepS=2
Bounds.RequireFence=true
Bounds.LeaseMs=3000
Bounds.PaceMs=100
Bounds.HarmMs=4000
Orders=request
Advice=%s
platform.Address=%s
platform.form=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
Cloud.Address=%s
Cloud.RatePerS=64.0
Cloud.DutyPerS=64.0
`, n.name, ip, n.front, n.ready, firstInternal, lastInternal, p.longestLease.Milliseconds(), advice, store, machines)
	n.settings, n.logPath = filepath.Join(dir, n.name+".conf"), filepath.Join(dir, n.name+".log")
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the environment that the platform gives.
func (n *node) start() error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(n.command[0], n.command[1:]...)
	n.process.Env = []string{"AUBURNPORT_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	n.process.Stdout, n.process.Stderr = log, log
	// The process ends with this one, also when this one is killed.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process.
func (n *node) kill() {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// isReady asks for the readiness as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/auburnport/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
