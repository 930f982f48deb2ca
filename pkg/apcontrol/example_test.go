package apcontrol_test

import (
	"fmt"
	"time"

	"auburnport/pkg/apcontrol"
)

func ExampleBalancer() {
	balancer := apcontrol.NewBalancer(apcontrol.DefaultBalanceOptions())
	pools := []apcontrol.PoolLoad{
		{Pool: "search", Available: 3, Need: 9, MoveWeight: 1},
		{Pool: "office", Available: 10, Need: 1, Removable: 6, Spare: true, MoveWeight: 1},
	}
	now := time.Now()
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for _, t := range balancer.Plan(now, apcontrol.Planned{}, pools, 0) {
			fmt.Println(t.From, "to", t.To)
			return
		}
	}
	// Output: office to search
}
