package apsoak

import "time"

// Options configure a Soak.
type Options struct {
	// Seed determines the script and the load.
	Seed uint64
	// Binary is the path of the entry's program.
	Binary string
	// Dir is the folder for logs and settings. If it is empty, the system's temporary folder is used.
	Dir string
	// KeepLogs keeps the logs of a run without violations.
	KeepLogs bool
	// Nodes is the number of entries. FirstHost is the number of the first one's loopback address, by which soaks that a
	// process runs at the same time differ.
	Nodes     int
	FirstHost int
	// Duration is how long load is generated and faults are injected.
	Duration time.Duration
	// Faults is the minimum number of steps in the script. 0 means one for each two seconds.
	Faults int
	// Rate is the mean number of jobs per second.
	Rate float64
	// ReadyTimeout is the time within which entries must be ready after their start, FinishTimeout that within
	// which accepted jobs must be done after the end of load and faults. The defaults are the time limits of the
	// users' sites.
	ReadyTimeout  time.Duration
	FinishTimeout time.Duration
}

// Option modifies Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{Nodes: 5, Duration: 20 * time.Second, Rate: 6, ReadyTimeout: 12 * time.Second, FinishTimeout: 14 * time.Second}
}

// WithOptions returns an Option that applies change to the options.
func WithOptions(change func(*Options)) Option { return change }
