package apcontroller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apcontroller"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

const away = 2 * time.Second

// fleet is a stand-in for the platform's machines.
type fleet struct {
	mu       sync.Mutex
	machines []apmachine.Machine
	back     map[apmachine.Name]time.Time
	done     map[apmachine.Name]bool
	maxDown  int
	// lose makes every n-th answer get lost after the order was carried out.
	lose   int
	orders int
}

func newFleet(n int) *fleet {
	f := &fleet{back: map[apmachine.Name]time.Time{}, done: map[apmachine.Name]bool{}}
	for i := range n {
		f.machines = append(f.machines, apmachine.Machine{
			Name: apmachine.Name(fmt.Sprintf("m-%03d", i)), Pool: "spare", State: apmachine.StateUp, Capacity: apjob.Resources{CPU: 32_000},
		})
	}
	return f
}

func (f *fleet) List(context.Context) ([]apmachine.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return append([]apmachine.Machine(nil), f.machines...), nil
}

func (f *fleet) settle() {
	for i := range f.machines {
		if at, ok := f.back[f.machines[i].Name]; ok && time.Now().After(at) {
			f.machines[i].State = apmachine.StateUp
			delete(f.back, f.machines[i].Name)
		}
	}
}

func (f *fleet) Carry(_ context.Context, d apmachine.Disruption, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	f.orders++
	if !f.done[d.Machine] {
		f.done[d.Machine] = true
		f.back[d.Machine] = time.Now().Add(away)
		f.maxDown = max(f.maxDown, len(f.back))
		for i := range f.machines {
			if f.machines[i].Name == d.Machine {
				f.machines[i].State = apmachine.StateUpkeep
			}
		}
	}
	if f.lose > 0 && f.orders%f.lose == 0 {
		return apcode.Errorf(apcode.PlatformFailed, "the answer was lost")
	}
	return nil
}

// waves reads waves in the product's own form.
type waves struct{ wave apmachine.Wave }

func (waves) Prefix() apfleet.Key                    { return "waves/" }
func (w waves) Parse([]byte) (apmachine.Wave, error) { return w.wave, nil }
func (waves) Status(n int, completed bool) (apfleet.Key, []byte, error) {
	return apfleet.Key(fmt.Sprintf("done/%d", n)), []byte(fmt.Sprint(completed)), nil
}

func control(t *testing.T, ctx context.Context, ledger apstore.Ledger, f *fleet, w waves, holder apfleet.EntryName) error {
	t.Helper()
	journal, err := apjournal.Claim(ctx, ledger, apjournal.Machines, holder, 0)
	assert.NilError(t, err)
	table := &apqueue.Table{Services: []apqueue.Service{{Name: "spare", Spare: true}}}
	return apcontroller.New(apcontroller.Config{
		Ledger: ledger, Journal: journal, Machines: f, Waves: w, Queues: func() *apqueue.Table { return table },
		Log: func(string, map[string]any) {}, OrderLease: 3 * time.Second, Away: away,
	}).Run(ctx)
}

// A large wave takes more changes than a transaction holds, answers get lost, and the holder changes:
// the wave keeps its count, ends once, and every machine was maintained.
func TestWaveSurvivesLostAnswersAndItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		f := newFleet(90)
		f.lose = 7
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 60, Duration: 12 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)

		first, stop := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer stop()
		assert.NilError(t, control(t, first, ledger, f, w, "a"))
		f.mu.Lock()
		assert.Assert(t, len(f.done) > 0 && len(f.done) < 90, "%d done when the holder leaves", len(f.done))
		f.mu.Unlock()
		second, stop := context.WithTimeout(t.Context(), 40*time.Second)
		defer stop()
		assert.NilError(t, control(t, second, ledger, f, w, "b"))

		assert.Equal(t, len(f.done), 90)
		assert.Assert(t, f.maxDown <= 60, "%d were down at once", f.maxDown)
		status, err := ledger.Read(t.Context(), "done/1")
		assert.NilError(t, err)
		assert.Equal(t, string(status.Data), "true")
	})
}
