package apclaim_test

import (
	"fmt"
	"time"

	"auburnport/pkg/apclaim"
)

func Example() {
	table := apclaim.New()
	now := time.Now()
	first := apclaim.Request{ID: "booking/1", Token: "a", Window: time.Minute}
	again := apclaim.Request{ID: "booking/1", Token: "b", Window: time.Minute}
	fmt.Printf("%T\n", table.Claim(now, first))
	fmt.Printf("%T\n", table.Claim(now, again))
	table.Complete(now, "booking/1", "a", apclaim.Answer{Status: 201})
	fmt.Printf("%T\n", table.Claim(now, again))
	// Output:
	// apclaim.Granted
	// apclaim.InFlight
	// apclaim.Answered
}
