//go:build !linux

package aplease

import "time"

// Boottime is a Clock. On this system it stands still while the machine is suspended.
func Boottime() time.Duration { return sinceStart() }
