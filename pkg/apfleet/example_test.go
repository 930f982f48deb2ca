package apfleet_test

import (
	"fmt"

	"auburnport/pkg/apfleet"
)

func Example() {
	data := apfleet.Encode(apfleet.Ownership{DataCentre: "dc-1", Owners: apfleet.OwnerTable{"vm-1": "search"}})
	var table apfleet.Ownership
	fmt.Println(apfleet.Decode(data, &table), table.Owners["vm-1"])
	fmt.Println(apfleet.Decode([]byte("junk"), &table) != nil)
	// Output:
	// <nil> search
	// true
}
