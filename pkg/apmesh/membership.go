package apmesh

import (
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
)

// Membership is the failure detector: it derives the states of other entries from the heartbeats, acks and
// reports of other members. It opens no connections and reads no clock: callers pass in the current time. It
// is not safe for concurrent use.
type Membership struct {
	self     apfleet.Registration
	options  Options
	records  map[apfleet.EntryName]*memberRecord
	lastTick time.Time
}

type memberRecord struct {
	member Member
	// lastHeartbeat is when a heartbeat from the member arrived; lastAck is when the member acknowledged one
	// of this entry's heartbeats.
	lastHeartbeat, lastAck time.Time
	// lastHeardByPeer is when another member last reported that it hears this one.
	lastHeardByPeer time.Time
	// endedAt is when the member was declared dead or left; zero otherwise.
	endedAt time.Time
}

// NewMembership returns a Membership that knows no other entries.
func NewMembership(self apfleet.Registration, opts ...Option) *Membership {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Membership{self: self, options: options, records: make(map[apfleet.EntryName]*memberRecord)}
}

// Learn adds an entry as alive. For a known entry it has an effect only if the incarnation is higher; the
// entry then starts anew, whatever its state was.
func (m *Membership) Learn(now time.Time, registration apfleet.Registration) {
	if registration.Name == m.self.Name {
		return
	}
	record, ok := m.records[registration.Name]
	if ok && registration.Incarnation <= record.member.Incarnation {
		return
	}
	m.records[registration.Name] = &memberRecord{
		member:          Member{Registration: registration},
		lastHeartbeat:   now,
		lastAck:         now,
		lastHeardByPeer: now,
	}
}

// RecordHeartbeat records a heartbeat and learns the entries that it lists. Heartbeats of earlier
// incarnations and of members that left are ignored.
func (m *Membership) RecordHeartbeat(now time.Time, heartbeat Heartbeat) {
	m.Learn(now, heartbeat.From)
	record, ok := m.records[heartbeat.From.Name]
	if !ok || record.member.Incarnation != heartbeat.From.Incarnation || record.member.State == MemberLeft {
		return
	}
	record.lastHeartbeat = now
	record.member.Report = heartbeat.Report
	m.markAlive(record)
	for _, name := range heartbeat.Heard {
		if other, ok := m.records[name]; ok {
			other.lastHeardByPeer = now
		}
	}
	for _, peer := range heartbeat.Peers {
		m.Learn(now, peer)
	}
}

// RecordAck records that a member acknowledged one of this entry's heartbeats.
func (m *Membership) RecordAck(now time.Time, name apfleet.EntryName) {
	if record, ok := m.records[name]; ok && record.member.State != MemberLeft {
		record.lastAck = now
		m.markAlive(record)
	}
}

// markAlive makes a suspect or dead member alive again after it was heard. That is safe because the
// incarnation is the same, so the member has kept its claims.
func (m *Membership) markAlive(record *memberRecord) {
	if record.member.State == MemberDead || record.member.State == MemberSuspect {
		record.member.State = MemberAlive
		record.endedAt = time.Time{}
	}
}

// RecordLeft records that a member announced that it leaves.
func (m *Membership) RecordLeft(now time.Time, name apfleet.EntryName, incarnation uint64) {
	record, ok := m.records[name]
	if ok && record.member.Incarnation == incarnation {
		record.member.State = MemberLeft
		record.endedAt = now
	}
}

// Tick updates the states of all members and forgets those that died or left more than ForgetAfter ago. The time
// during which this process itself was paused does not count as silence of other members.
func (m *Membership) Tick(now time.Time) {
	if gap := now.Sub(m.lastTick); !m.lastTick.IsZero() && gap > m.options.PauseAfter {
		m.compensatePause(gap)
	}
	m.lastTick = now
	for name, record := range m.records {
		m.updateState(now, record)
		if !record.endedAt.IsZero() && now.Sub(record.endedAt) > m.options.ForgetAfter {
			delete(m.records, name)
		}
	}
}

// compensatePause moves the times at which members were heard forward by the duration of a pause.
func (m *Membership) compensatePause(gap time.Duration) {
	for _, record := range m.records {
		record.lastHeartbeat = record.lastHeartbeat.Add(gap)
		record.lastAck = record.lastAck.Add(gap)
		record.lastHeardByPeer = record.lastHeardByPeer.Add(gap)
	}
}

// updateState sets the state of a member that has neither died nor left from the times at which it was heard.
func (m *Membership) updateState(now time.Time, record *memberRecord) {
	if record.member.State >= MemberDead {
		return
	}
	reachable := now.Sub(record.lastAck) <= m.options.SuspectAfter && now.Sub(record.lastHeartbeat) <= m.options.SuspectAfter
	if reachable {
		record.member.State = MemberAlive
		return
	}
	record.member.State = MemberSuspect
	latest := record.lastAck
	for _, at := range []time.Time{record.lastHeartbeat, record.lastHeardByPeer} {
		if at.After(latest) {
			latest = at
		}
	}
	if now.Sub(latest) > m.options.DeadAfter {
		record.member.State = MemberDead
		record.endedAt = now
	}
}

// Members returns the alive and suspect entries, sorted by name, excluding self.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.records))
	for _, record := range m.records {
		if record.member.State <= MemberSuspect {
			members = append(members, record.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// Known returns all remembered entries in any state, excluding self.
func (m *Membership) Known() []Member {
	members := make([]Member, 0, len(m.records))
	for _, record := range m.records {
		members = append(members, record.member)
	}
	return members
}

// RecentlyHeard returns the names of the members that sent a heartbeat within SuspectAfter, sorted.
func (m *Membership) RecentlyHeard(now time.Time) []apfleet.EntryName {
	var names []apfleet.EntryName
	for name, record := range m.records {
		if now.Sub(record.lastHeartbeat) <= m.options.SuspectAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
