package apsettings_test

import (
	"fmt"

	"auburnport/pkg/apsettings"
)

func Example() {
	tree, err := apsettings.Parse("fleet.toml", []byte(`
[Nodes."/rescue"]
Deadline = "2s"
[Nodes."/rescue/-/search"]
[Nodes."/rescue/-/search/find"]
[Nodes."/rescue/dc-2/search/find"]
Deadline = "3s"
`))
	fmt.Println(err)
	fmt.Println(tree.Resolve("/rescue/dc-1/search/find").Deadline)
	fmt.Println(tree.Resolve("/rescue/dc-2/search/find").Deadline)
	_, err = tree.Set("/rescue", "Slots", "0")
	fmt.Println(err)
	// Output:
	// <nil>
	// 2s
	// 3s
	// 2003 BadValue: node /rescue: Slots is 0; it must be from 1 to 10000
}
