package apmesh_test

import (
	"fmt"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

func ExampleMembership() {
	now := time.Now()
	membership := apmesh.NewMembership(apfleet.Registration{Name: "entry-1"})
	membership.Learn(now, apfleet.Registration{Name: "entry-2", Incarnation: 1})
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		membership.Tick(now)
	}
	fmt.Println(membership.Known()[0].State)
	// Output: Dead
}
