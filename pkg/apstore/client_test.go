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

// faultyStore is a store that injects a scripted fault into each write.
type faultyStore struct {
	apstore.Store
	mu      sync.Mutex
	script  []fault
	delayed []apstore.Write
}

type fault int

const (
	none fault = iota
	// lostReply means that the write takes effect but its reply is lost.
	lostReply
	// lostRequest means that the write does not take effect, which the caller can't know.
	lostRequest
	// delayedWrite means that the write takes effect at the end of this or a later call, and that there is no
	// reply.
	delayedWrite
	// duplicatedWrite means that the write arrives twice.
	duplicatedWrite
	// unavailable means that the store refuses the write.
	unavailable
	faultCount
)

func (f *faultyStore) nextFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) == 0 {
		return none
	}
	first := f.script[0]
	f.script = f.script[1:]
	return first
}

func (f *faultyStore) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	outcomeUnknown := apcode.Errorf(apcode.StoreUnknown, "no reply")
	defer f.deliverDelayed(ctx)
	switch f.nextFault() {
	case lostReply:
		_, _ = f.Store.Swap(ctx, write)
		return 0, outcomeUnknown
	case lostRequest:
		return 0, outcomeUnknown
	case delayedWrite:
		f.mu.Lock()
		f.delayed = append(f.delayed, write)
		f.mu.Unlock()
		return 0, outcomeUnknown
	case duplicatedWrite:
		revision, err := f.Store.Swap(ctx, write)
		_, _ = f.Store.Swap(ctx, write)
		return revision, err
	case unavailable:
		return 0, apcode.Errorf(apcode.StoreUnavailable, "down")
	default:
		return f.Store.Swap(ctx, write)
	}
}

func (f *faultyStore) deliverDelayed(ctx context.Context) {
	f.mu.Lock()
	due := f.delayed
	if len(due) > 0 && len(f.script)%2 == 0 {
		f.delayed = nil
	} else {
		due = nil
	}
	f.mu.Unlock()
	for _, write := range due {
		_, _ = f.Store.Swap(ctx, write)
	}
}

func increment(n int) apstore.Change {
	return func(doc apstore.Document) ([]byte, error) {
		value := 0
		if len(doc.Body) > 0 {
			value, _ = strconv.Atoi(string(doc.Body))
		}
		return []byte(strconv.Itoa(value + n)), nil
	}
}

func readCounter(t interface{ Fatalf(string, ...any) }, store apstore.Store) int {
	doc, err := apstore.NewClient(store).Read(context.Background(), key)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	value, _ := strconv.Atoi(string(doc.Body))
	return value
}

// TestEachUpdateTakesEffectOnce runs updates under random faults. A confirmed update takes effect exactly
// once, one reported as not written never does, and only one with an unknown outcome may or may not.
func TestEachUpdateTakesEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New()
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault { return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")) }), 0, 30).Draw(t, "script")
		f := &faultyStore{Store: store, script: script}
		client := apstore.NewClient(f, apstore.WithRetryDelay(time.Microsecond))
		minValue, maxValue := 0, 0
		for range rapid.IntRange(1, 6).Draw(t, "updates") {
			_, err := client.Update(context.Background(), key, increment(1))
			switch apcode.Of(err) {
			case apcode.OK:
				minValue++
				maxValue++
			case apcode.StoreUnknown:
				maxValue++
			case apcode.StoreUnavailable:
			default:
				t.Fatalf("unexpected: %v", err)
			}
		}
		if value := readCounter(t, store); value < minValue || value > maxValue {
			t.Fatalf("value is %d; confirmed %d, at most %d", value, minValue, maxValue)
		}
	})
}

// counterOp is an operation of the linearizability check: an addition, or a read if Add is 0.
type counterOp struct{ Add int }

// TestClientIsLinearizable checks the history of concurrent clients under injected faults.
func TestClientIsLinearizable(t *testing.T) {
	store := memory.New()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	started := time.Now()
	for id := range 6 {
		f := &faultyStore{Store: store, script: []fault{lostReply, duplicatedWrite, none, lostRequest, lostReply, delayedWrite, none, lostReply}}
		client := apstore.NewClient(f, apstore.WithRetryDelay(time.Microsecond), apstore.WithMaxAttempts(50))
		clients.Go(func() {
			for i := range 8 {
				op := counterOp{Add: i % 2}
				call := time.Since(started).Nanoseconds()
				var output int
				if op.Add == 0 {
					output = readCounter(t, store)
				} else {
					// The result of the operation is what its last, confirmed attempt wrote. Update returns the
					// stored document, which may be that of a later operation.
					_, err := client.Update(context.Background(), key, func(doc apstore.Document) ([]byte, error) {
						body, err := increment(op.Add)(doc)
						output, _ = strconv.Atoi(string(body))
						return body, err
					})
					assert.NilError(t, err)
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
			value := state.(int) + input.(counterOp).Add
			return output.(int) == value, value
		},
	}
	assert.Assert(t, porcupine.CheckOperations(model, history))
	assert.Equal(t, readCounter(t, store), 24)
}

func TestUpdateAtRefusesAnotherRevision(t *testing.T) {
	client := apstore.NewClient(memory.New())
	doc, err := client.UpdateAt(context.Background(), key, 0, increment(1))
	assert.NilError(t, err)
	_, err = client.UpdateAt(context.Background(), key, 0, increment(1))
	assert.Assert(t, apcode.Is(err, apcode.StoreConflict))
	_, err = client.UpdateAt(context.Background(), key, doc.Revision, increment(1))
	assert.NilError(t, err)
}

// overwritingStore loses the reply of the first swap. Before the client asks again, another client changes the value.
type overwritingStore struct {
	apstore.Store
	overwritten bool
}

func (o *overwritingStore) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	if o.overwritten {
		return o.Store.Swap(ctx, write)
	}
	o.overwritten = true
	if _, err := o.Store.Swap(ctx, write); err != nil {
		return 0, err
	}
	if _, err := apstore.NewClient(o.Store).Update(ctx, key, increment(10)); err != nil {
		return 0, err
	}
	return 0, apcode.Errorf(apcode.StoreUnknown, "no reply")
}

// After a lost reply and a later write by another client, the returned body must be the one stored at the returned
// revision. Otherwise the caller takes its own older value for the current one.
func TestUpdateAfterALostReplyReturnsTheStoredBody(t *testing.T) {
	store := &overwritingStore{Store: memory.New()}
	doc, err := apstore.NewClient(store).UpdateAt(t.Context(), key, 0, increment(1))
	assert.NilError(t, err)
	stored, err := apstore.NewClient(store.Store).Read(t.Context(), key)
	assert.NilError(t, err)
	assert.DeepEqual(t, doc, stored)
	assert.Equal(t, string(doc.Body), "11")
}
