package apintake

import (
	"context"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
)

// WaitingJobs counts the queue's jobs with no started task, without scheduled jobs, as last stored by the owners of all
// shards: the older jobs may be in the shard of an earlier service of the queue.
func (i *Intake) WaitingJobs(ctx context.Context, queue apqueue.Queue) (int, error) {
	i.mu.Lock()
	waiting, age := i.waiting, time.Since(i.waitingReadAt)
	i.mu.Unlock()
	if age < i.options.WaitingCacheTTL {
		return waiting[queue.Name], nil
	}
	startedAt := time.Now()
	page, err := i.store.Scan(ctx, apjournal.PrefixWaiting)
	if err != nil {
		return 0, err
	}
	waiting = make(map[apjob.Queue]int)
	for _, value := range page.Values {
		var counts apjournal.WaitingCounts
		if err := apfleet.Decode(value.Data, &counts); err != nil {
			return 0, err
		}
		for name, n := range counts.Queues {
			waiting[name] += n
		}
	}
	i.mu.Lock()
	i.waiting, i.waitingReadAt = waiting, startedAt
	i.mu.Unlock()
	return waiting[queue.Name], nil
}
