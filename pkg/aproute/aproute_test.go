package aproute_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
)

var start = time.Unix(1_000_000, 0)

func instances(n int) []aproute.Instance {
	list := make([]aproute.Instance, 0, n)
	for i := range n {
		list = append(list, aproute.Instance{ID: apfleet.VMID(fmt.Sprintf("vm-%d", i)), Address: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	return list
}

func newRequest(now time.Time) *aproute.Request {
	return &aproute.Request{Idempotent: true, Deadline: now.Add(2 * time.Second), Notify: func(aproute.Decision) {}}
}

func TestRequestsBeyondTheSlotsWait(t *testing.T) {
	b := aproute.New()
	b.SetInstances(instances(2))
	dispatched := 0
	for range 20 {
		switch b.Submit(start, newRequest(start)).(type) {
		case aproute.Dispatch:
			dispatched++
		case aproute.Wait:
		case aproute.Refuse:
			t.Fatal("refused although the queue has room")
		}
	}
	assert.Equal(t, dispatched, 16)
	assert.Equal(t, b.Waiting(), 4)
}

func TestRefusalCodes(t *testing.T) {
	b := aproute.New(aproute.WithLimits(aproute.Limits{Slots: 1, QueueLimit: 1, RetryShare: 0.1, EjectShare: 0.5}))
	refusal := func(request *aproute.Request) apcode.Code {
		refuse, ok := b.Submit(start, request).(aproute.Refuse)
		assert.Assert(t, ok)
		assert.Assert(t, refuse.RetryAfter > 0)
		return refuse.Code
	}
	assert.Equal(t, refusal(newRequest(start)), apcode.NoInstance)
	b.SetInstances(instances(1))
	b.Submit(start, newRequest(start))
	shortDeadline := newRequest(start)
	shortDeadline.Deadline = start.Add(time.Millisecond)
	assert.Equal(t, refusal(shortDeadline), apcode.DeadlineUnreachable)
	b.Submit(start, newRequest(start))
	assert.Equal(t, refusal(newRequest(start)), apcode.QueueFull)
}

func TestCallersAreServedInTurn(t *testing.T) {
	b := aproute.New(aproute.WithLimits(aproute.Limits{Slots: 1, QueueLimit: 100}))
	b.SetInstances(instances(1))
	first, ok := b.Submit(start, newRequest(start)).(aproute.Dispatch)
	assert.Assert(t, ok)
	var served []string
	submit := func(caller string) {
		waiting := newRequest(start)
		waiting.Caller = caller
		waiting.Notify = func(aproute.Decision) { served = append(served, caller) }
		b.Submit(start, waiting)
	}
	for range 4 {
		submit("greedy")
	}
	submit("modest")
	for range 5 {
		b.Finish(start, aproute.Attempt{Instance: first.Instance, Elapsed: time.Millisecond})
		b.ProcessQueue(start)
	}
	assert.DeepEqual(t, served, []string{"greedy", "modest", "greedy", "greedy", "greedy"})
}

func TestQueuedRequestsAreRefusedAfterTheirDeadline(t *testing.T) {
	b := aproute.New(aproute.WithLimits(aproute.Limits{Slots: 1, QueueLimit: 100}))
	b.SetInstances(instances(1))
	b.Submit(start, newRequest(start))
	waiting := newRequest(start)
	var got aproute.Decision
	waiting.Notify = func(d aproute.Decision) { got = d }
	b.Submit(start, waiting)
	b.ProcessQueue(start.Add(3 * time.Second))
	refuse, ok := got.(aproute.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refuse.Code, apcode.DeadlineExpired)
}

// sendRequests sends n requests one after the other, 10 ms apart, and counts those that reach the target.
func sendRequests(b *aproute.Balancer, now time.Time, n int, target apfleet.VMID, outcome func(apfleet.VMID) aproute.Outcome) (reached int, end time.Time) {
	for range n {
		now = now.Add(10 * time.Millisecond)
		dispatch, ok := b.Submit(now, newRequest(now)).(aproute.Dispatch)
		if !ok {
			continue
		}
		if dispatch.Instance == target {
			reached++
		}
		b.Finish(now, aproute.Attempt{Instance: dispatch.Instance, Outcome: outcome(dispatch.Instance), Elapsed: 5 * time.Millisecond})
	}
	return reached, now
}

func TestFailingInstanceIsEjectedAndReadmitted(t *testing.T) {
	b := aproute.New()
	b.SetInstances(instances(10))
	bad := apfleet.VMID("vm-3")
	failing := func(id apfleet.VMID) aproute.Outcome {
		if id == bad {
			return aproute.Failed
		}
		return aproute.Succeeded
	}
	_, now := sendRequests(b, start, 300, bad, failing)
	reached, now := sendRequests(b, now, 1000, bad, failing)
	assert.Assert(t, reached < 20, "%d of 1000 requests after 3 s", reached)
	healthy := func(apfleet.VMID) aproute.Outcome { return aproute.Succeeded }
	_, now = sendRequests(b, now, 4000, bad, healthy)
	assert.Equal(t, b.Ejected(), 0)
	reached, _ = sendRequests(b, now, 1000, bad, healthy)
	assert.Assert(t, reached > 50, "%d of 1000 requests after it recovered", reached)
}

func TestEjectionsStayWithinEjectShare(t *testing.T) {
	b := aproute.New()
	b.SetInstances(instances(10))
	sendRequests(b, start, 2000, "", func(apfleet.VMID) aproute.Outcome { return aproute.Failed })
	assert.Assert(t, b.Ejected() <= 5, "%d of 10 ejected", b.Ejected())
}

func TestRetriesStayWithinRetryShare(t *testing.T) {
	b := aproute.New()
	b.SetInstances(instances(10))
	retries := 0
	now := start
	const requests = 5000
	for range requests {
		_, now = sendRequests(b, now, 1, "", func(apfleet.VMID) aproute.Outcome { return aproute.Failed })
		for b.AllowRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/10+5, "%d retries of %d requests", retries, requests)
}

func TestFairSharesExceedTheSlotsByRoundingOnly(t *testing.T) {
	for _, demands := range [][]int{{0, 0, 0}, {100, 100, 100}, {100, 0, 0}, {5, 50, 3}, {80, 1, 1}, {27, 27, 26}} {
		const slots = 80
		total := 0
		for i, own := range demands {
			var others []int
			for j, demand := range demands {
				if i != j {
					others = append(others, demand)
				}
			}
			total += aproute.FairShare(slots, own, others)
		}
		assert.Assert(t, total <= slots+len(demands), "demands %v may take %d of %d", demands, total, slots)
	}
}

func TestOwnedSlotsOfAllEntriesSumToTheSlots(t *testing.T) {
	for _, demands := range [][]int{{0, 0, 0}, {100, 100, 100}, {200, 0, 0}, {10, 70, 5}} {
		entryDemands := make([]aproute.EntryDemand, 0, len(demands))
		for i, demand := range demands {
			entryDemands = append(entryDemands, aproute.EntryDemand{Entry: apfleet.EntryName(rune('a' + i)), Demand: demand})
		}
		total := 0
		for i, entry := range entryDemands {
			b := aproute.New(aproute.WithStrategy(aproute.OwnedSlots{}))
			b.SetInstances(instances(10))
			b.AssignSlots(entry.Entry, entryDemands)
			taken := 0
			for range 100 {
				if _, ok := b.Submit(start, newRequest(start)).(aproute.Dispatch); ok {
					taken++
				}
			}
			if demands[i] == 200 {
				assert.Assert(t, taken >= 70, "a lone busy entry may use %d of 80 slots", taken)
			}
			total += taken
		}
		assert.Equal(t, total, 80, "demands %v", demands)
	}
}

func TestRemovedInstanceIsTrackedUntilItsRequestsEnd(t *testing.T) {
	b := aproute.New()
	b.SetInstances(instances(1))
	dispatch, ok := b.Submit(start, newRequest(start)).(aproute.Dispatch)
	assert.Assert(t, ok)
	b.SetInstances(nil)
	assert.Equal(t, b.InFlight(dispatch.Instance), 1)
	b.Finish(start, aproute.Attempt{Instance: dispatch.Instance})
	assert.Equal(t, b.InFlight(dispatch.Instance), 0)
}

func BenchmarkSubmit100(b *testing.B) {
	balancer := aproute.New()
	balancer.SetInstances(instances(100))
	request := newRequest(start)
	b.ReportAllocs()
	for b.Loop() {
		if dispatch, ok := balancer.Submit(start, request).(aproute.Dispatch); ok {
			balancer.Finish(start, aproute.Attempt{Instance: dispatch.Instance, Elapsed: time.Millisecond})
		}
	}
}
