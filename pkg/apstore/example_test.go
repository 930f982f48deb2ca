package apstore_test

import (
	"context"
	"fmt"

	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

func Example() {
	client := apstore.NewClient(memory.New())
	for range 2 {
		doc, err := client.Update(context.Background(), "greeting", func(doc apstore.Document) ([]byte, error) {
			return append(doc.Body, "hello "...), nil
		})
		fmt.Println(doc.Revision, string(doc.Body), err)
	}
	// Output:
	// 1 hello  <nil>
	// 2 hello hello  <nil>
}
