package apstore_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

const key apfleet.Key = "auburnport/test"

// faulty is a store whose writes meet a script of faults, one for each write.
type faulty struct {
	apstore.Store
	mu     sync.Mutex
	script []fault
	late   []apstore.Write
}

type fault int

const (
	none fault = iota
	// lostReply: the write takes effect, the reply does not arrive.
	lostReply
	// lostRequest: the write does not take effect, the caller cannot know.
	lostRequest
	// delayed: the write arrives only after the next one.
	delayed
	// duplicated: the write arrives twice.
	duplicated
	// down: the store refuses the write.
	down
	faults
)

func (f *faulty) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) == 0 {
		return none
	}
	first := f.script[0]
	f.script = f.script[1:]
	return first
}

func (f *faulty) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	unknown := apcode.Errorf(apcode.StoreUnknown, "no reply")
	defer f.deliverLate(ctx)
	switch f.next() {
	case lostReply:
		_, _ = f.Store.Swap(ctx, write)
		return 0, unknown
	case lostRequest:
		return 0, unknown
	case delayed:
		f.mu.Lock()
		f.late = append(f.late, write)
		f.mu.Unlock()
		return 0, unknown
	case duplicated:
		revision, err := f.Store.Swap(ctx, write)
		_, _ = f.Store.Swap(ctx, write)
		return revision, err
	case down:
		return 0, apcode.Errorf(apcode.StoreUnavailable, "down")
	default:
		return f.Store.Swap(ctx, write)
	}
}

func (f *faulty) deliverLate(ctx context.Context) {
	f.mu.Lock()
	late := f.late
	if len(late) > 0 && len(f.script)%2 == 0 {
		f.late = nil
	} else {
		late = nil
	}
	f.mu.Unlock()
	for _, write := range late {
		_, _ = f.Store.Swap(ctx, write)
	}
}

func add(n int) apstore.Change {
	return func(doc apstore.Document) ([]byte, error) {
		value := 0
		if len(doc.Body) > 0 {
			value, _ = strconv.Atoi(string(doc.Body))
		}
		return []byte(strconv.Itoa(value + n)), nil
	}
}

func read(t interface{ Fatalf(string, ...any) }, store apstore.Store) int {
	doc, err := apstore.NewClient(store).Read(context.Background(), key)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	value, _ := strconv.Atoi(string(doc.Body))
	return value
}

// TestEachUpdateTakesEffectOnce runs updates over random faults: an update that is confirmed took
// effect exactly once, one that is refused as not written never did, and only an unknown one may have.
func TestEachUpdateTakesEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New()
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault { return fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")) }), 0, 30).Draw(t, "script")
		f := &faulty{Store: store, script: script}
		client := apstore.NewClient(f, apstore.WithRetryDelay(time.Microsecond))
		least, most := 0, 0
		for range rapid.IntRange(1, 6).Draw(t, "updates") {
			_, err := client.Update(context.Background(), key, add(1))
			switch apcode.Of(err) {
			case apcode.OK:
				least++
				most++
			case apcode.StoreUnknown:
				most++
			case apcode.StoreUnavailable:
			default:
				t.Fatalf("unexpected: %v", err)
			}
		}
		if value := read(t, store); value < least || value > most {
			t.Fatalf("value is %d; confirmed %d, at most %d", value, least, most)
		}
	})
}

// operation is an input of the linearizability check: an addition, or a read when Add is 0.
type operation struct{ Add int }

// TestClientIsLinearizable checks the histories of concurrent clients with lost replies.
func TestClientIsLinearizable(t *testing.T) {
	store := memory.New()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	started := time.Now()
	for id := range 6 {
		f := &faulty{Store: store, script: []fault{lostReply, duplicated, none, lostRequest, lostReply, delayed, none, lostReply}}
		client := apstore.NewClient(f, apstore.WithRetryDelay(time.Microsecond), apstore.WithMaxAttempts(50))
		clients.Go(func() {
			for i := range 8 {
				op := operation{Add: i % 2}
				call := time.Since(started).Nanoseconds()
				var output int
				if op.Add == 0 {
					output = read(t, store)
				} else {
					doc, err := client.Update(context.Background(), key, add(op.Add))
					assert.NilError(t, err)
					output, _ = strconv.Atoi(string(doc.Body))
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: op, Call: call, Output: output, Return: time.Since(started).Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	model := porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			value := state.(int) + input.(operation).Add
			return output.(int) == value, value
		},
	}
	assert.Assert(t, porcupine.CheckOperations(model, history))
	assert.Equal(t, read(t, store), 24)
}

func TestSwapAtRefusesAnotherRevision(t *testing.T) {
	client := apstore.NewClient(memory.New())
	doc, err := client.SwapAt(context.Background(), key, 0, add(1))
	assert.NilError(t, err)
	_, err = client.SwapAt(context.Background(), key, 0, add(1))
	assert.Assert(t, apcode.Is(err, apcode.StoreConflict))
	_, err = client.SwapAt(context.Background(), key, doc.Revision, add(1))
	assert.NilError(t, err)
}
