package apscheduler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
)

// A batch must fit in one transaction together with the six entries added by the owner (precondition, epoch,
// waiting counts, pool load and the deletion of two expired jobs), even when every job in it is retired.
func TestBatchesFitOneTransaction(t *testing.T) {
	s := apscheduler.New(1)
	for n := range 100 {
		id := apjob.ID(fmt.Sprintf("%016x", n))
		s.Submit(&apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1}}, Submitted: start}, 0, start)
		s.Cancel(id, start)
	}
	jobs := 0
	for s.HasBatch() {
		batch := s.NextBatch()
		entries := 8
		for _, r := range batch.Records {
			entries += r.Entries()
			assert.Assert(t, r.Retired)
		}
		assert.Assert(t, len(batch.Records) > 0)
		assert.Assert(t, entries <= apstore.MaxTransactionOperations, "%d entries", entries)
		jobs += len(batch.Records)
		s.BatchStored(batch, nextRevision())
	}
	assert.Equal(t, jobs, 100)
}
