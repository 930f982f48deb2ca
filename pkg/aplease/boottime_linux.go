package aplease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime is a Clock that goes on while the machine is suspended.
func Boottime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return sinceStart()
	}
	return time.Duration(now.Nano())
}
