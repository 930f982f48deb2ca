package apnode

import (
	"runtime/debug"
	"sync"
)

// Growth of the heap, in percent, at which garbage is collected. An owner of a shard allocates with every
// task, and has thousands of stacks to scan for each collection; the other entries keep their memory small.
const (
	idleGrowth   = 50
	owningGrowth = 300
)

// collection sets when garbage is collected. The zero value is that of an entry that owns nothing.
type collection struct {
	mu     sync.Mutex
	shards int
}

// own notes that a shard is owned; the function that it returns notes its end.
func (c *collection) own() func() {
	c.count(1)
	return func() { c.count(-1) }
}

func (c *collection) count(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards += change
	growth := idleGrowth
	if c.shards > 0 {
		growth = owningGrowth
	}
	debug.SetGCPercent(growth)
}
