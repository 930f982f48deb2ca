package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
)

func TestRecordOfOverdueScheduleFitsInOneValue(t *testing.T) {
	s := apscheduler.New(1)
	def := job(apjob.Step{Count: 125, Need: apjob.Resources{CPU: 1000}})
	def.Repeat, def.First, def.Every = 1_000_000, start.Add(-365*24*time.Hour), time.Second
	s.Submit(def, 0, start)
	s.Plan(start, start)
	records := s.NextBatch().Records
	assert.Equal(t, len(records), 1)
	open := len(records[0].Progress.Occurrences)
	assert.Assert(t, open > 1 && open*125 <= apjob.MaxTasks, "%d occurrences are open", open)
	assert.Assert(t, len(apfleet.Encode(records[0].Progress)) < apstore.MaxValueBytes)
}

func TestNextOccurrencesBeginWhenOthersAreDone(t *testing.T) {
	s := apscheduler.New(1)
	def := job(apjob.Step{Count: apjob.MaxTasks / 2, Need: apjob.Resources{CPU: 1000}})
	def.Repeat, def.First, def.Every = 5, start.Add(-time.Hour), time.Second
	done := make([]apjob.Task, apjob.MaxTasks/2)
	for k := range done {
		done[k].Done = true
	}
	done[0] = apjob.Task{Run: 1, Worker: "w1"}
	s.RestoreJob(def, apjob.Progress{
		State: apjob.Running, Finished: apjob.NumberSet{{First: 1, Last: 1}, {First: 0, Last: 0}},
		Occurrences: []apjob.Occurrence{{Number: 2, Steps: [][]apjob.Task{done}}},
	}, 0, start)
	s.Plan(start, start)
	assert.DeepEqual(t, openOccurrences(s), []int{2, 3})
}

// openOccurrences returns the numbers of the occurrences in the only record that is due.
func openOccurrences(s *apscheduler.Shard) []int {
	var numbers []int
	for _, occurrence := range s.NextBatch().Records[0].Progress.Occurrences {
		numbers = append(numbers, occurrence.Number)
	}
	return numbers
}
