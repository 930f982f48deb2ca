package apnode

import (
	"runtime/debug"
	"sync"
)

// GOGC values, in percent of heap growth. An entry that owns a shard allocates for every task and has
// thousands of stacks to scan in each collection, so it collects less often; other entries keep memory small.
const (
	idleGCPercent   = 50
	owningGCPercent = 300
)

// gcTuner sets the garbage collector's target percentage by the number of shards that this entry owns. The
// zero value stands for an entry that owns none.
type gcTuner struct {
	mu     sync.Mutex
	shards int
}

// addShard counts one more owned shard. The returned function removes it again.
func (t *gcTuner) addShard() func() {
	t.update(1)
	return func() { t.update(-1) }
}

func (t *gcTuner) update(change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shards += change
	percent := idleGCPercent
	if t.shards > 0 {
		percent = owningGCPercent
	}
	debug.SetGCPercent(percent)
}
