package apsoak

import "time"

// Options configure a Soak.
type Options struct {
	Seed uint64
	// Binary is the entry's program.
	Binary string
	// Dir is where logs and settings go; empty means the system's folder for temporary files.
	Dir string
	// Keep keeps the logs of a run in which nothing was broken.
	Keep  bool
	Nodes int
	// Duration is how long load and faults last.
	Duration time.Duration
	// Faults is how many faults are injected; 0 means one for each two seconds.
	Faults int
	// Rate is the mean number of jobs a second.
	Rate float64
	// Recover is how soon entries must serve after their start, Finish how soon accepted jobs must be
	// done after the end of load and faults: RecoverS and finish_s of the users' sites.
	Recover time.Duration
	Finish  time.Duration
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{Nodes: 5, Duration: 20 * time.Second, Rate: 6, Recover: 12 * time.Second, Finish: 14 * time.Second}
}

// WithOptions replaces the options by what change makes of them.
func WithOptions(change func(*Options)) Option { return change }
