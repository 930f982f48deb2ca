package apclaim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apfleet"
)

const window = 10 * time.Minute

var start = time.Unix(0, 0)

func request(id, token string) apclaim.Request {
	return apclaim.Request{ID: apclaim.ID(id), Token: apclaim.Token(token), Window: window}
}

func TestTableGrantsOnce(t *testing.T) {
	now := time.Unix(0, 0)
	table := apclaim.New()
	assert.Equal(t, table.Claim(now, request("a", "x")), apclaim.Granted{})
	assert.Equal(t, table.Claim(now, request("a", "x")), apclaim.Granted{})
	assert.Equal(t, table.Claim(now, request("a", "y")), apclaim.InFlight{})
	table.Release("a", "y")
	assert.Equal(t, table.Claim(now, request("a", "y")), apclaim.InFlight{})
	table.Complete(now, "a", "x", apclaim.Answer{Status: 201, Body: []byte("b")})
	answered, ok := table.Claim(now, request("a", "y")).(apclaim.Answered)
	assert.Assert(t, ok)
	assert.Equal(t, answered.Answer.Status, 201)
	assert.Equal(t, table.Claim(now.Add(window), request("a", "z")), apclaim.Granted{})
}

func TestTableKeepsIDsWhenAnswersDoNotFit(t *testing.T) {
	now := time.Unix(0, 0)
	table := apclaim.New(apclaim.WithMaxKeptBytes(10))
	for _, id := range []string{"a", "b"} {
		table.Claim(now, request(id, "x"))
		table.Complete(now, apclaim.ID(id), "x", apclaim.Answer{Status: 200, Body: make([]byte, 8)})
	}
	_, kept := table.Claim(now, request("a", "y")).(apclaim.Answered)
	assert.Assert(t, kept)
	assert.Equal(t, table.Claim(now, request("b", "y")), apclaim.Spent{})
}

func registry(names ...string) apfleet.Registry {
	var r apfleet.Registry
	for _, name := range names {
		r = r.Join(start, registration(name, 1), window)
	}
	r.Former = nil
	return r
}

func registration(name string, incarnation uint64) apfleet.Registration {
	return apfleet.Registration{Name: apfleet.EntryName(name), Incarnation: incarnation}
}

func TestOneDeadOwnerCostsNothing(t *testing.T) {
	r := registry("a", "b", "c", "d", "e")
	plan := apclaim.NewPlan(start, r, "id", window)
	owners := plan.Groups[0].Owners
	assert.Assert(t, !plan.Enough(owners[:1]))
	assert.Assert(t, plan.Enough(owners[1:]))
	next, ok := plan.Next(owners[1:2], owners[:1])
	assert.Assert(t, ok)
	assert.Equal(t, next, owners[2])
	after := r.Leave(start, owners[0], false, window)
	assert.Assert(t, apclaim.NewPlan(start, after, "id", window).Possible())
}

func TestTwoOwnersGoneMeansRefusalForTheWindow(t *testing.T) {
	r := registry("a", "b", "c", "d", "e")
	owners := apclaim.Owners("id", r.Members())
	r = r.Leave(start, owners[0], false, window).Leave(start, owners[1], false, window)
	assert.Assert(t, !apclaim.NewPlan(start.Add(window), r, "id", window).Possible())
	assert.Assert(t, apclaim.NewPlan(start.Add(window+time.Second), r, "id", window).Possible())
}

func TestHandoverLetsEveryOwnerBeReplaced(t *testing.T) {
	r := registry("a", "b", "c", "d", "e")
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		r = r.Leave(start, registration(name, 1).Member(), true, window)
		r = r.Join(start, registration(name, uint64(i+2)), window)
		assert.Assert(t, apclaim.NewPlan(start, r, "id", window).Possible())
	}
}

func TestRestartedOwnersDoNotVouch(t *testing.T) {
	r := registry("a", "b")
	r = r.Join(start, registration("a", 2), window).Join(start, registration("b", 2), window)
	assert.Assert(t, !apclaim.NewPlan(start, r, "id", window).Possible())
}

// TestAtMostOneGrant lets claimants with states of the registry of their own ask for one id while
// members restart, are replaced with a handover, and do not answer. However it goes, the request runs
// at most once.
func TestAtMostOneGrant(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		now := start
		world := newWorld(4)
		claimants := []apfleet.Registry{world.registry, world.registry}
		runs := 0
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			claimant := rapid.IntRange(0, len(claimants)-1).Draw(t, "claimant")
			who := rapid.IntRange(0, len(world.registry.Entries)-1).Draw(t, "who")
			switch rapid.SampledFrom([]string{"restart", "replace", "observe", "claim", "claim"}).Draw(t, "what") {
			case "restart":
				world.restart(now, who)
			case "replace":
				world.replace(now, who)
			case "observe":
				claimants[claimant] = world.registry
			case "claim":
				silent := rapid.IntRange(-1, len(world.registry.Entries)-1).Draw(t, "silent")
				if world.claim(now, claimants[claimant], silent, fmt.Sprint("token-", step)) {
					runs++
				}
			}
		}
		if runs > 1 {
			t.Fatalf("the request ran %d times", runs)
		}
		ran += runs
	})
	assert.Assert(t, ran > 0, "no request ever ran")
}

// world holds the registry and the owners' tables of the members that are alive.
type world struct {
	registry apfleet.Registry
	tables   map[apfleet.Member]*apclaim.Table
	sequence map[apfleet.Member]uint64
}

func newWorld(n int) *world {
	w := &world{tables: make(map[apfleet.Member]*apclaim.Table), sequence: make(map[apfleet.Member]uint64)}
	for i := range n {
		w.join(start, registration(string(rune('a'+i)), 1))
	}
	w.registry.Former = nil
	return w
}

func (w *world) join(now time.Time, entry apfleet.Registration) {
	w.registry = w.registry.Join(now, entry, window)
	w.tables[entry.Member()] = apclaim.New()
	w.sequence[entry.Member()] = w.registry.Sequence
}

// restart replaces a member by a new run of it that knows nothing.
func (w *world) restart(now time.Time, who int) {
	entry := w.registry.Entries[who]
	delete(w.tables, entry.Member())
	entry.Incarnation++
	w.join(now, entry)
}

// replace lets a member hand over and leave, then join as a new run.
func (w *world) replace(now time.Time, who int) {
	entry := w.registry.Entries[who]
	table := w.tables[entry.Member()]
	next := w.registry.Leave(now, entry.Member(), true, window)
	for _, record := range table.Records(now) {
		for _, owner := range apclaim.Owners(record.ID, next.Members()) {
			w.tables[owner].Merge([]apclaim.Record{record})
		}
	}
	delete(w.tables, entry.Member())
	w.registry = next
	entry.Incarnation++
	w.join(now, entry)
}

// claim asks as a claimant does, and reports whether the request may run. An owner refuses a claimant
// whose registry is older than the owner's own run.
func (w *world) claim(now time.Time, known apfleet.Registry, mute int, token string) bool {
	plan := apclaim.NewPlan(now, known, "id", window)
	var granted, silent []apfleet.Member
	denied := false
	for {
		member, ok := plan.Next(granted, silent)
		if !ok {
			break
		}
		table, alive := w.tables[member]
		if !alive || plan.Sequence < w.sequence[member] || mute >= 0 && w.registry.Entries[mute].Member() == member {
			silent = append(silent, member)
			continue
		}
		if _, ok := table.Claim(now, request("id", token)).(apclaim.Granted); !ok {
			denied = true
			break
		}
		granted = append(granted, member)
	}
	if !denied && plan.Enough(granted) {
		return true
	}
	for _, member := range granted {
		w.tables[member].Release("id", apclaim.Token(token))
	}
	return false
}
