package apjournal

import (
	"context"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// StoredJob is a submitted job with its progress.
type StoredJob struct {
	Job      *apjob.Job
	Progress apjob.Progress
	// HasProgress is true when progress is stored for the job.
	HasProgress bool
	Cancelled   bool
}

// State is the stored state of a shard.
type State struct {
	// Jobs holds the jobs whose definition is still stored. A retired job, which is final and has no running tasks,
	// keeps only its progress.
	Jobs map[apjob.ID]*StoredJob
	// Retired holds the end times of retired jobs.
	Retired map[apjob.ID]time.Time
	// Unreadable lists the keys of records that can't be decoded. Jobs doesn't hold their jobs.
	Unreadable []apfleet.Key
}

// Load reads the stored state of the shard. Errors: those of the store.
func (j *Journal) Load(ctx context.Context) (State, error) {
	state := State{Jobs: make(map[apjob.ID]*StoredJob), Retired: make(map[apjob.ID]time.Time)}
	inbox, err := j.store.Scan(ctx, InboxPrefix(j.shard))
	if err != nil {
		return state, err
	}
	progress, err := j.store.Scan(ctx, progressPrefix(j.shard))
	if err != nil {
		return state, err
	}
	for _, value := range inbox.Values {
		id, cancel, ok := ParseInboxKey(j.shard, value.Key)
		if !ok || cancel {
			continue
		}
		job, err := DecodeJob(value.Data)
		if err != nil {
			state.Unreadable = append(state.Unreadable, value.Key)
			continue
		}
		state.Jobs[id] = &StoredJob{Job: job}
	}
	for _, value := range inbox.Values {
		if id, cancel, _ := ParseInboxKey(j.shard, value.Key); cancel && state.Jobs[id] != nil {
			state.Jobs[id].Cancelled = true
		}
	}
	for _, value := range progress.Values {
		state.addProgress(apjob.ID(strings.TrimPrefix(string(value.Key), string(progressPrefix(j.shard)))), value)
	}
	return state, nil
}

// addProgress adds the record of a job's progress.
func (s *State) addProgress(id apjob.ID, value apstore.Value) {
	var p apjob.Progress
	stored := s.Jobs[id]
	err := apfleet.Decode(value.Data, &p)
	if err == nil && stored != nil {
		err = stored.Job.CheckProgress(p)
	}
	switch {
	case err != nil:
		// Without its progress, the job would look like one that never ran.
		delete(s.Jobs, id)
		s.Unreadable = append(s.Unreadable, value.Key)
	case stored != nil:
		stored.Progress, stored.HasProgress = p, true
	case p.State.Final():
		s.Retired[id] = time.Unix(p.Ended, 0)
	}
}

// DecodeJob decodes a submitted job. Errors: BadMessage, BadJob.
func DecodeJob(data []byte) (*apjob.Job, error) {
	var job apjob.Job
	if err := apfleet.Decode(data, &job); err != nil {
		return nil, err
	}
	return &job, nil
}
