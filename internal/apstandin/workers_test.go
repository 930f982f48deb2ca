package apstandin_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/applatform"
	platformhttp "auburnport/internal/applatform/http"
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
)

func newWorkers() *apstandin.Workers {
	capacity := applatform.Resources{Processors: 4000, Memory: 1000}
	return apstandin.NewWorkers(
		apstandin.WorkerOptions{UsageFactor: 2, UsageLag: time.Second},
		[]applatform.Worker{{ID: "w-1", Capacity: capacity}},
	)
}

func newOrder(verb applatform.TaskVerb, id applatform.TaskID) applatform.TaskOrder {
	return applatform.TaskOrder{
		Verb: verb, Worker: "w-1", Task: id, Lease: 3 * time.Second, Declared: applatform.Resources{Processors: 3000, Memory: 100},
	}
}

func TestTasksRunUnderLeasesAndUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers()
		assert.NilError(t, w.Apply(t.Context(), newOrder(applatform.TaskStart, "a")))
		assert.NilError(t, w.Apply(t.Context(), newOrder(applatform.TaskStart, "a")))
		assert.Assert(t, apcode.Is(w.Apply(t.Context(), newOrder(applatform.TaskStart, "b")), apcode.TaskDoesNotFit))
		assert.Equal(t, usedProcessors(t, w), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, usedProcessors(t, w), 6000)
		assert.NilError(t, w.Apply(t.Context(), newOrder(applatform.TaskThrottle, "a")))
		assert.Equal(t, usedProcessors(t, w), 3000)
		assert.NilError(t, w.Apply(t.Context(), newOrder(applatform.TaskRenew, "a")))
		time.Sleep(3 * time.Second)
		assert.Assert(t, apcode.Is(w.Apply(t.Context(), newOrder(applatform.TaskRenew, "a")), apcode.NoSuchTask))
		assert.NilError(t, w.SetFailing("w-1", true))
		assert.Assert(t, apcode.Is(w.Apply(t.Context(), newOrder(applatform.TaskStart, "b")), apcode.PlatformFailed))
	})
}

func usedProcessors(t *testing.T, w applatform.Workers) int {
	t.Helper()
	list, err := w.Workers(context.Background())
	assert.NilError(t, err)
	return list.Workers[0].Tasks[0].Used.Processors
}

func TestWorkersOverHTTP(t *testing.T) {
	server := httptest.NewServer(platformhttp.WorkersHandler(newWorkers()))
	defer server.Close()
	client := platformhttp.NewWorkers(netip.MustParseAddrPort(server.Listener.Addr().String()))
	assert.NilError(t, client.Apply(t.Context(), newOrder(applatform.TaskStart, "a")))
	assert.Assert(t, apcode.Is(client.Apply(t.Context(), newOrder(applatform.TaskCheckpoint, "b")), apcode.NoSuchTask))
	assert.Assert(t, apcode.Is(client.Apply(t.Context(), applatform.TaskOrder{}), apcode.BadMessage))
	list, err := client.Workers(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, list.Workers[0].Tasks[0].ID, applatform.TaskID("a"))
}
