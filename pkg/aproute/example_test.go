package aproute_test

import (
	"fmt"
	"time"

	"auburnport/pkg/aproute"
)

func Example() {
	balancer := aproute.New(aproute.WithLimits(aproute.Limits{Slots: 1, QueueLimit: 1}))
	balancer.SetInstances([]aproute.Instance{{ID: "vm-1"}})
	now := time.Now()
	for range 3 {
		request := &aproute.Request{Deadline: now.Add(time.Minute)}
		switch d := balancer.Submit(now, request).(type) {
		case aproute.Dispatch:
			fmt.Println("dispatch to", d.Instance)
		case aproute.Wait:
			fmt.Println("wait")
		case aproute.Refuse:
			fmt.Println("refuse:", d.Code)
		}
	}
	// Output:
	// dispatch to vm-1
	// wait
	// refuse: QueueFull
}
