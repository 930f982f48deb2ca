package apsoak

// Feature is something that a job of the load asks for, or that happens to it besides faults. A job can have several.
type Feature uint8

// Features of jobs.
const (
	FeatureLabel Feature = iota
	FeatureSameRack
	FeatureDataRack
	FeatureGang
	FeatureSchedule
	// FeatureLongRunning tasks run until the job is cancelled. FeatureEndsDone: a run of such a task ends by itself.
	FeatureLongRunning
	FeatureEndsDone
	// FeatureServing is a long-running step with a latency target.
	FeatureServing
	FeatureBackfill
	FeatureAdvice
	// FeatureInputs is a step that depends on several others.
	FeatureInputs
	FeatureMaxPerWorker
	FeatureCheckpoints
	FeatureSpeculative
	// FeatureFailsFirst: the first runs of each task fail.
	FeatureFailsFirst
	// FeatureRepeated: the job is submitted again after it was accepted.
	FeatureRepeated
	FeatureCancel
	// FeatureImpatient: the caller gives up early and cancels.
	FeatureImpatient
	// FeatureQueueMoves, FeatureQueueRemoved and FeatureQueueReturns: while the job is unfinished, its queue moves to
	// another service, is removed, or is removed and added again.
	FeatureQueueMoves
	FeatureQueueRemoved
	FeatureQueueReturns
	featureCount
)

// String returns the name of the feature.
func (f Feature) String() string {
	return [...]string{
		"Label", "SameRack", "DataRack", "Gang", "Schedule", "LongRunning", "EndsDone", "Serving", "Backfill", "Advice", "Inputs",
		"MaxPerWorker", "Checkpoints", "Speculative", "FailsFirst", "Repeated", "Cancel", "Impatient", "QueueMoves", "QueueRemoved",
		"QueueReturns",
	}[f]
}

// lasts reports whether the jobs with the feature run until they are cancelled.
func (f Feature) lasts() bool {
	return f == FeatureLongRunning || f == FeatureEndsDone || f == FeatureServing
}

// changesQueue reports whether the feature is that of a queue which changes.
func (f Feature) changesQueue() bool { return f >= FeatureQueueMoves && f < featureCount }

// FeatureSet is a set of features; its zero value is empty.
type FeatureSet uint32

// Has reports whether the set contains a feature.
func (s FeatureSet) Has(f Feature) bool { return s&(1<<f) != 0 }

// With returns the set with a feature added.
func (s FeatureSet) With(f Feature) FeatureSet { return s | 1<<f }
