package apintake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore/memory"
)

func TestJobIsStoredWithTheSettingsOfItsQueue(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	accepting := apqueue.Queue{
		Name: "q", Service: "pool", MaxAttempts: 4, Stretch: 1.6, Slack: 600 * time.Millisecond, Priority: 2, Advice: &apqueue.AdvisorTiming{},
	}
	assert.NilError(t, intake(store).Submit(t.Context(), accepting, job()))
	value, err := store.Read(t.Context(), apjournal.JobKey("pool", id))
	assert.NilError(t, err)
	stored, err := apjournal.DecodeJob(value.Data)
	assert.NilError(t, err)
	assert.DeepEqual(t, stored.Terms, apjob.Terms{MaxAttempts: 4, Stretch: 1.6, Slack: 600 * time.Millisecond, Priority: 2, NeedsTicket: true})
}
