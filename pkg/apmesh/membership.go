package apmesh

import (
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
)

// Membership decides which entries are alive from what was heard and when. It has no sockets and no
// clock of its own, and is not safe for concurrent use.
type Membership struct {
	self    apfleet.Registration
	options Options
	rows    map[apfleet.EntryName]*memberRow
	ticked  time.Time
}

type memberRow struct {
	member Member
	// heard is when a heartbeat came from the member; acked when it confirmed one of ours.
	heard, acked time.Time
	// vouched is when another member last said that it hears this one.
	vouched time.Time
	// ended is when the member was found dead or left.
	ended time.Time
}

// NewMembership returns a Membership that knows self only.
func NewMembership(self apfleet.Registration, opts ...Option) *Membership {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Membership{self: self, options: options, rows: make(map[apfleet.EntryName]*memberRow)}
}

// Learn adds an entry by its address. An entry that is known and alive is left as it is; one that
// has ended comes back only with another incarnation.
func (m *Membership) Learn(now time.Time, registration apfleet.Registration) {
	if registration.Name == m.self.Name {
		return
	}
	row, ok := m.rows[registration.Name]
	if ok && registration.Incarnation <= row.member.Incarnation {
		return
	}
	m.rows[registration.Name] = &memberRow{
		member:  Member{Registration: registration},
		heard:   now,
		acked:   now,
		vouched: now,
	}
}

// Heard records a heartbeat.
func (m *Membership) Heard(now time.Time, beat Heartbeat) {
	m.Learn(now, beat.From)
	row, ok := m.rows[beat.From.Name]
	if !ok || row.member.Incarnation != beat.From.Incarnation || row.member.State == MemberLeft {
		return
	}
	row.heard = now
	row.member.Report = beat.Report
	m.revive(row)
	for _, name := range beat.Heard {
		if other, ok := m.rows[name]; ok {
			other.vouched = now
		}
	}
	for _, peer := range beat.Peers {
		m.Learn(now, peer)
	}
}

// Acked records that a member confirmed a heartbeat of ours.
func (m *Membership) Acked(now time.Time, name apfleet.EntryName) {
	if row, ok := m.rows[name]; ok && row.member.State != MemberLeft {
		row.acked = now
		m.revive(row)
	}
}

// revive takes a member back that was heard again. Its claims are intact: it is the same run.
func (m *Membership) revive(row *memberRow) {
	if row.member.State == MemberDead || row.member.State == MemberSuspect {
		row.member.State = MemberAlive
		row.ended = time.Time{}
	}
}

// Left records that a member said it leaves.
func (m *Membership) Left(now time.Time, name apfleet.EntryName, incarnation uint64) {
	row, ok := m.rows[name]
	if ok && row.member.Incarnation == incarnation {
		row.member.State = MemberLeft
		row.ended = now
	}
}

// Tick moves silent members on to suspect and dead. When this process itself was paused, the time
// that it missed is not held against the others.
func (m *Membership) Tick(now time.Time) {
	if gap := now.Sub(m.ticked); !m.ticked.IsZero() && gap > m.options.PauseAfter {
		m.excuse(gap)
	}
	m.ticked = now
	for name, row := range m.rows {
		m.judge(now, row)
		if !row.ended.IsZero() && now.Sub(row.ended) > m.options.ForgetAfter {
			delete(m.rows, name)
		}
	}
}

// excuse moves the times at which members were heard forward by a pause of our own.
func (m *Membership) excuse(gap time.Duration) {
	for _, row := range m.rows {
		row.heard = row.heard.Add(gap)
		row.acked = row.acked.Add(gap)
		row.vouched = row.vouched.Add(gap)
	}
}

func (m *Membership) judge(now time.Time, row *memberRow) {
	if row.member.State >= MemberDead {
		return
	}
	reachable := now.Sub(row.acked) <= m.options.SuspectAfter && now.Sub(row.heard) <= m.options.SuspectAfter
	if reachable {
		row.member.State = MemberAlive
		return
	}
	row.member.State = MemberSuspect
	latest := row.acked
	for _, at := range []time.Time{row.heard, row.vouched} {
		if at.After(latest) {
			latest = at
		}
	}
	if now.Sub(latest) > m.options.DeadAfter {
		row.member.State = MemberDead
		row.ended = now
	}
}

// Members returns the members that count, in the order of their names, without self.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.rows))
	for _, row := range m.rows {
		if row.member.State <= MemberSuspect {
			members = append(members, row.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// Known returns every entry that is remembered, whatever its state, without self.
func (m *Membership) Known() []Member {
	members := make([]Member, 0, len(m.rows))
	for _, row := range m.rows {
		members = append(members, row.member)
	}
	return members
}

// HeardLately returns the members whose heartbeats arrive in time.
func (m *Membership) HeardLately(now time.Time) []apfleet.EntryName {
	var names []apfleet.EntryName
	for name, row := range m.rows {
		if now.Sub(row.heard) <= m.options.SuspectAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
