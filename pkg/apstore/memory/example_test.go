package memory_test

import (
	"context"
	"fmt"

	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

func Example() {
	store := memory.New()
	revision, err := store.Swap(context.Background(), apstore.Write{Key: "k", Data: []byte("v")})
	fmt.Println(revision, err)
	_, err = store.Swap(context.Background(), apstore.Write{Key: "k", Data: []byte("w")})
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// 3002 StoreConflict: key k is at revision 1, not 0
}
