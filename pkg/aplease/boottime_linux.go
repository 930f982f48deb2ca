package aplease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime is a Clock that keeps counting while the VM is suspended. If the kernel does not provide such a clock, it
// returns the time since the process started, like on other systems.
func Boottime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return sinceStart()
	}
	return time.Duration(now.Nano())
}
