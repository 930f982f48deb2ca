package aplease_test

import (
	"context"
	"fmt"
	"time"

	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore/memory"
)

func Example() {
	store := memory.New()
	first := aplease.New(store, "leader", "entry-1")
	second := aplease.New(store, "leader", "entry-2")
	now := time.Now()
	fmt.Println(first.Step(context.Background(), now).Held, second.Step(context.Background(), now).Held)
	// Output: true false
}
