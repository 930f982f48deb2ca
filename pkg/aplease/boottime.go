package aplease

import "time"

var start = time.Now()

// sinceStart counts from the start of the process.
func sinceStart() time.Duration { return time.Since(start) }
