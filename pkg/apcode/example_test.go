package apcode_test

import (
	"fmt"

	"auburnport/pkg/apcode"
)

func Example() {
	err := apcode.Errorf(apcode.QueueFull, "256 requests wait")
	fmt.Println(err)
	fmt.Println(apcode.Describe(apcode.Of(err)).NotRun)
	// Output:
	// 1010 QueueFull: 256 requests wait
	// true
}
