package aplease

import "time"

var processStart = time.Now()

// sinceStart returns the time since the process started.
func sinceStart() time.Duration { return time.Since(processStart) }
