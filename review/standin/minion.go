//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runKey is one run of a work item. Its name has the form ID.K.STEP.INDEX.
type runKey struct {
	item string
	run  int
}

func (k runKey) String() string { return fmt.Sprintf("%s run %d", k.item, k.run) }

// step returns the step's name, ID.K.STEP.
func (k runKey) step() string { return k.item[:strings.LastIndexByte(k.item, '.')] }

// behaviour is how a run ends by itself: after a time of work, in the given way. The zero value works until it is stopped.
type behaviour struct {
	after time.Duration
	how   string
}

// activeRun is a run on a minion.
type activeRun struct {
	startedAt time.Time
	// worksSince is zero while a member of a gang waits for the others.
	worksSince time.Time
	ends       behaviour
	stopAt     time.Time
	gang       *gang
	cpu, mem   int64
}

// gang is one run of a step whose work items work only together.
type gang struct {
	size    int
	members map[runKey]*minion
}

type endedRun struct {
	number uint64
	key    runKey
	how    string
}

// minion is one life of a machine, as the page on running work items describes it. The platform's mutex guards it.
type minion struct {
	platform *platform
	id       string
	machine  string
	service  string
	labels   []string
	cpu, mem int64
	born     time.Time
	address  string
	server   *http.Server

	fence    uint64
	leaseEnd time.Duration
	running  map[runKey]*activeRun
	ended    []endedRun
	lastEnd  uint64
	// highest is the highest run of each work item that was stopped or has ended here.
	highest map[string]int
	changed chan struct{}
	gone    bool
	// heldStart is a start that was left unanswered. It is carried out as the minion comes back.
	heldStart *orderBody
	// cutUntil is when the system's processes can reach the minion again.
	cutUntil time.Time
	// process is the number of the minion's process. Channels to an earlier one are silent.
	process int
	// failing minions fail all that they start.
	failing bool
	seq     int
}

// clock is the minion's steady clock.
func (m *minion) clock() time.Duration { return time.Since(m.born) }

// end ends a run and wakes the calls that wait for an end.
func (m *minion) end(key runKey, how string) {
	r := m.running[key]
	delete(m.running, key)
	m.highest[key.item] = max(m.highest[key.item], key.run)
	m.lastEnd++
	m.ended = append(m.ended, endedRun{m.lastEnd, key, how})
	m.platform.noteEnd(m, key, how)
	close(m.changed)
	m.changed = make(chan struct{})
	if r.gang == nil {
		return
	}
	delete(r.gang.members, key)
	others := r.gang.members
	r.gang.members = make(map[runKey]*minion)
	for other, on := range others {
		if how == "done" {
			on.end(other, "done")
		} else {
			on.end(other, "broken")
		}
	}
}

// tick ends the runs that are due.
func (m *minion) tick(now time.Time) {
	if m.gone {
		return
	}
	lapsed := m.clock() > m.leaseEnd
	for key := range m.running {
		// The end of a gang's member ends the others.
		if r := m.running[key]; r != nil {
			m.endIfDue(key, r, lapsed, now)
		}
	}
}

// endIfDue ends a run if it is due.
func (m *minion) endIfDue(key runKey, r *activeRun, lapsed bool, now time.Time) {
	switch {
	case lapsed:
		m.end(key, "lapsed")
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		m.end(key, "stopped")
	case r.worksSince.IsZero() && now.Sub(r.startedAt) > gangWait:
		m.end(key, "alone")
	case r.worksSince.IsZero() || r.ends.after == 0 || now.Sub(r.worksSince) < r.ends.after:
	case m.failing:
		m.end(key, "failed")
	default:
		m.end(key, r.ends.how)
	}
}

const (
	// gangWait is GangMs, stopTime is within StopMs of the settings.
	gangWait = 3 * time.Second
	stopTime = 150 * time.Millisecond
	// startupTime is the time after which a work item that lasts is at work.
	startupTime = 500 * time.Millisecond
)

type orderBody struct {
	Task                        string
	Run                         int
	Spec                        string
	DeadlineMs, WaitMs, Percent int64
	FencingToken, LastSeen      uint64
}

type orderAnswer struct {
	ClockMs int64  `json:"ClockMs"`
	Reason  string `json:"Reason,omitempty"`
	Born    int64  `json:"born"`
	Running [][]any
	Ended   [][]any
}

func (m *minion) answer() orderAnswer {
	return orderAnswer{ClockMs: m.clock().Milliseconds(), Born: m.born.UnixMilli()}
}

// ServeHTTP serves the calls to the minion.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	var body orderBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	p := m.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	if m.isUnreachable(r) {
		p.hang(r)
	}
	m.tick(time.Now())
	key := runKey{body.Task, body.Run}
	switch strings.TrimPrefix(r.URL.Path, "/auburnport/") {
	case "run-start":
		if p.heldItem == key.item {
			p.heldItem, m.heldStart = "", &body
			p.record.logf("start %s on %s is left unanswered", key, m.id)
			p.hang(r)
		}
		status, reason := m.start(key, body)
		p.record.logf("start %s on %s fence %d -> %d %s", key, m.id, body.FencingToken, status, reason)
		m.reply(w, status, reason)
	case "run-stop":
		status, reason := m.stop(key, body)
		p.record.logf("stop %s on %s fence %d -> %d %s", key, m.id, body.FencingToken, status, reason)
		m.reply(w, status, reason)
	case "pace":
		status, reason := m.checkFence(body)
		p.record.logf("pace %s on %s to %d -> %d %s", key, m.id, body.Percent, status, reason)
		m.reply(w, status, reason)
	case "hold":
		m.hold(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) reply(w http.ResponseWriter, status int, reason string) {
	answer := m.answer()
	answer.Reason = reason
	writeJSON(w, status, answer)
}

func (m *minion) checkFence(body orderBody) (int, string) {
	if body.FencingToken < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = body.FencingToken
	return http.StatusOK, ""
}

func (m *minion) extend(deadlineMs int64) {
	end := min(time.Duration(deadlineMs)*time.Millisecond, m.clock()+m.platform.longestLease)
	m.leaseEnd = max(m.leaseEnd, end)
}

func (m *minion) start(key runKey, body orderBody) (int, string) {
	if status, reason := m.checkFence(body); reason != "" {
		return status, reason
	}
	_, there := m.running[key]
	switch {
	case there:
		m.extend(body.DeadlineMs)
		return http.StatusOK, ""
	case key.run <= m.highest[key.item]:
		m.extend(body.DeadlineMs)
		return http.StatusConflict, "old"
	case time.Duration(body.DeadlineMs)*time.Millisecond <= m.clock():
		return http.StatusConflict, "late"
	}
	m.extend(body.DeadlineMs)
	r := m.platform.begin(m, key, body)
	m.running[key] = r
	m.platform.joinGang(m, key, r)
	return http.StatusOK, ""
}

func (m *minion) stop(key runKey, body orderBody) (int, string) {
	if status, reason := m.checkFence(body); reason != "" {
		return status, reason
	}
	m.highest[key.item] = max(m.highest[key.item], key.run)
	if r := m.running[key]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// hold extends the lease, forgets ends, and answers with what runs and has ended. The platform's mutex is held.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, body orderBody) {
	if status, reason := m.checkFence(body); reason != "" {
		m.platform.record.logf("hold of %s fence %d -> %s", m.id, body.FencingToken, reason)
		m.reply(w, status, reason)
		return
	}
	if body.DeadlineMs > 0 {
		m.extend(body.DeadlineMs)
	}
	for len(m.ended) > 0 && m.ended[0].number <= body.LastSeen {
		m.platform.noteAcknowledged(m, m.ended[0])
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && body.WaitMs > 0 {
		m.waitForEnd(r.Context(), time.Duration(min(body.WaitMs, 2000))*time.Millisecond)
	}
	if m.isUnreachable(r) {
		m.platform.hang(r)
	}
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	answer := m.answer()
	answer.Running, answer.Ended = [][]any{}, [][]any{}
	for key, run := range m.running {
		answer.Running = append(answer.Running, []any{key.item, key.run, "", m.platform.percent(run), m.platform.usage(key)})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		answer.Ended = append(answer.Ended, []any{e.number, e.key.item, e.key.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, answer)
}

// waitForEnd waits for the end of a run, but not longer than a time. The platform's mutex is held before and after.
func (m *minion) waitForEnd(ctx context.Context, wait time.Duration) {
	changed, p := m.changed, m.platform
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// crash ends the minion without notice. What runs on it ends with it.
func (m *minion) crash() {
	p := m.platform
	p.mu.Lock()
	for key := range m.running {
		p.noteEnd(m, key, "crashed")
	}
	m.running = make(map[runKey]*activeRun)
	m.gone = true
	p.mu.Unlock()
	p.record.logf("%s crashes for good", m.id)
	_ = m.server.Close()
}

// restart crashes the minion and starts it again after a time, under its id, at its address and with another kind. It
// registers itself registerAfter later.
func (m *minion) restart(downtime, registerAfter time.Duration, kind string) error {
	p := m.platform
	m.crash()
	time.Sleep(downtime)
	next := &minion{
		platform: p, id: m.id, machine: m.machine, service: m.service, labels: append([]string{kind}, m.labels[1:]...), cpu: m.cpu, mem: m.mem,
		born: time.Now(), running: make(map[runKey]*activeRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	p.mu.Lock()
	p.minions = append(p.minions, next)
	p.mu.Unlock()
	var err error
	if next.address, next.server, err = p.serveAt(m.address, next); err != nil {
		return err
	}
	p.record.logf("%s starts again with labels %v", next.id, next.labels)
	if held := m.heldStart; held != nil {
		p.mu.Lock()
		status, reason := next.start(runKey{held.Task, held.Run}, *held)
		p.record.logf("the start that was left unanswered, %s, is carried out on %s -> %d %s", runKey{held.Task, held.Run}, next.id, status, reason)
		p.mu.Unlock()
	}
	p.group.Go(func() {
		time.Sleep(registerAfter)
		p.register(next)
	})
	return nil
}

// processKey is the key of the number of the process that accepted a call's channel.
type processKey struct{}

// isUnreachable reports whether a call gets no answer: the minion is cut off, or the call's channel belongs to an earlier process.
func (m *minion) isUnreachable(r *http.Request) bool {
	process, ok := r.Context().Value(processKey{}).(int)
	return ok && process != m.process || time.Now().Before(m.cutUntil)
}

// hang leaves a call without an answer until its sender gives up. The mutex is held.
func (p *platform) hang(r *http.Request) {
	p.mu.Unlock()
	<-r.Context().Done()
	p.mu.Lock()
	panic(http.ErrAbortHandler)
}

// restartInSilence crashes the minion and starts it again. Its open channels go silent, new ones reach the next process.
func (m *minion) restartInSilence(downtime time.Duration) {
	p := m.platform
	p.mu.Lock()
	for key := range m.running {
		p.noteEnd(m, key, "crashed")
	}
	m.process++
	m.running, m.ended, m.lastEnd, m.highest, m.fence, m.leaseEnd = make(map[runKey]*activeRun), nil, 0, make(map[string]int), 0, 0
	p.mu.Unlock()
	p.record.logf("%s crashes in silence", m.id)
	time.Sleep(downtime)
	p.mu.Lock()
	m.born = time.Now()
	p.mu.Unlock()
	p.record.logf("%s starts again", m.id)
}

// cutOff cuts the minion off from the system's processes for a time. It runs on.
func (m *minion) cutOff(d time.Duration) {
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	m.cutUntil = time.Now().Add(d)
	m.platform.record.logf("%s is cut off", m.id)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// parseItem splits a work item's name.
func parseItem(item string) (job string, step, index int, err error) {
	parts := strings.Split(item, ".")
	if len(parts) != 4 {
		return "", 0, 0, errors.New("a work item's name has four parts")
	}
	var numbers [3]int
	for i := range numbers {
		if numbers[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return "", 0, 0, err
		}
	}
	return parts[0], numbers[1], numbers[2], nil
}
