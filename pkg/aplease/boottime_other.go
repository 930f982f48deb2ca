//go:build !linux

package aplease

import "time"

// Boottime is a Clock. On this system it does not count the time for which the VM is suspended.
func Boottime() time.Duration { return sinceStart() }
