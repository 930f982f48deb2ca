package apmesh_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

var start = time.Unix(1_000_000, 0)

const heartbeatInterval = 250 * time.Millisecond

func registration(name apfleet.EntryName, incarnation uint64) apfleet.Registration {
	return apfleet.Registration{Name: name, Incarnation: incarnation, Mesh: netip.MustParseAddrPort("127.0.0.1:1")}
}

func state(m *apmesh.Membership, name apfleet.EntryName) apmesh.MemberState {
	for _, member := range m.Known() {
		if member.Name == name {
			return member.State
		}
	}
	return apmesh.MemberDead
}

// advance runs the membership for d. At every heartbeatInterval the members in heard send a heartbeat that
// reports the members in heardByThem as heard, and those in acked acknowledge one. It returns the time at the end.
func advance(m *apmesh.Membership, now time.Time, d time.Duration, heard, acked []apfleet.EntryName, heardByThem ...apfleet.EntryName) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(heartbeatInterval) {
		for _, name := range heard {
			m.RecordHeartbeat(now, apmesh.Heartbeat{From: registration(name, 1), Heard: heardByThem})
		}
		for _, name := range acked {
			m.RecordAck(now, name)
		}
		m.Tick(now)
	}
	return now
}

func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	m := apmesh.NewMembership(registration("self", 1))
	both := []apfleet.EntryName{"a", "b"}
	now := advance(m, start, 5*time.Second, both, both)
	assert.Equal(t, state(m, "a"), apmesh.MemberAlive)
	only := []apfleet.EntryName{"b"}
	now = advance(m, now, 2*time.Second, only, only)
	assert.Equal(t, state(m, "a"), apmesh.MemberSuspect)
	assert.Equal(t, len(m.Members()), 2)
	advance(m, now, 2*time.Second, only, only)
	assert.Equal(t, state(m, "a"), apmesh.MemberDead)
	assert.Equal(t, len(m.Members()), 1)
}

func TestMemberHeardOneWayOrByOthersStaysSuspect(t *testing.T) {
	m := apmesh.NewMembership(registration("self", 1))
	// Heartbeats from a arrive, but a acknowledges none; b is heard by a only.
	now := advance(m, start, time.Second, []apfleet.EntryName{"a", "b"}, []apfleet.EntryName{"a", "b"})
	advance(m, now, 20*time.Second, []apfleet.EntryName{"a"}, nil, "b")
	assert.Equal(t, state(m, "a"), apmesh.MemberSuspect)
	assert.Equal(t, state(m, "b"), apmesh.MemberSuspect)
	assert.Equal(t, len(m.Members()), 2)
}

func TestOwnPauseDoesNotCountAsSilenceOfOthers(t *testing.T) {
	m := apmesh.NewMembership(registration("self", 1))
	all := []apfleet.EntryName{"a", "b"}
	now := advance(m, start, 2*time.Second, all, all)
	now = now.Add(30 * time.Second)
	m.Tick(now)
	assert.Equal(t, len(m.Members()), 2)
	assert.Equal(t, state(m, "a"), apmesh.MemberAlive)
	advance(m, now, 4*time.Second, nil, nil)
	assert.Equal(t, len(m.Members()), 0)
}

func TestPausedMemberRevivesAndOldIncarnationIsIgnored(t *testing.T) {
	m := apmesh.NewMembership(registration("self", 1))
	all := []apfleet.EntryName{"a"}
	now := advance(m, start, time.Second, all, all)
	now = advance(m, now, 5*time.Second, nil, nil)
	assert.Equal(t, state(m, "a"), apmesh.MemberDead)
	now = advance(m, now, time.Second, all, all)
	assert.Equal(t, state(m, "a"), apmesh.MemberAlive)
	m.Learn(now, registration("a", 2))
	assert.Equal(t, m.Members()[0].Incarnation, uint64(2))
	// A late heartbeat of the old incarnation does not replace the new one.
	m.RecordHeartbeat(now, apmesh.Heartbeat{From: registration("a", 1)})
	assert.Equal(t, m.Members()[0].Incarnation, uint64(2))
}

func TestLeftMemberIsNotRevivedByHeartbeats(t *testing.T) {
	m := apmesh.NewMembership(registration("self", 1))
	all := []apfleet.EntryName{"a"}
	now := advance(m, start, time.Second, all, all)
	m.RecordLeft(now, "a", 1)
	advance(m, now, time.Second, all, all)
	assert.Equal(t, state(m, "a"), apmesh.MemberLeft)
	assert.Equal(t, len(m.Members()), 0)
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(apmesh.EncodeFrame(apmesh.Ack{}, 1, true))
	f.Add(apmesh.EncodeFrame(apmesh.Heartbeat{From: registration("a", 1), Digest: 7}, 1, false))
	f.Add(apmesh.EncodeFrame(apmesh.Documents{Rows: []apmesh.DocumentRow{{Key: "k", Revision: 1, Body: []byte("b")}}}, 2, false))
	f.Add([]byte{0xa1, 0x61, 0x4b, 0x18, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, message, err := apmesh.DecodeFrame(data)
		if err != nil {
			return
		}
		again, _, err := apmesh.DecodeFrame(apmesh.EncodeFrame(message, frame.Call, frame.Reply))
		assert.NilError(t, err)
		assert.Equal(t, again.Kind, frame.Kind)
	})
}
