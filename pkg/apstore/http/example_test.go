package http_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"time"

	"auburnport/pkg/apstore"
	storehttp "auburnport/pkg/apstore/http"
	"auburnport/pkg/apstore/memory"
)

func Example() {
	server := httptest.NewServer(storehttp.Handler(memory.New()))
	defer server.Close()
	store := storehttp.New(netip.MustParseAddrPort(server.Listener.Addr().String()), time.Second)
	_, err := store.Swap(context.Background(), apstore.Write{Key: "k", Data: []byte("v")})
	fmt.Println(err)
	value, err := store.Get(context.Background(), "k")
	fmt.Println(string(value.Data), err)
	// Output:
	// <nil>
	// v <nil>
}
