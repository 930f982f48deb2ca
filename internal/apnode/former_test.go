package apnode_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/platform"
	"auburnport/platform/emulator"
)

// The entry that takes over has never seen the service in its settings.
func TestJobOfRemovedServiceGoesOnWithAnotherEntry(t *testing.T) {
	platform := startPlatform(t)
	first := joinEntry(t, platform, "entry-1", "first")
	const id apjob.ID = "00000000000000e1"
	first.runJob("00000000000000e0")
	submission := apemulator.Submission{Service: "search", TaskDuration: 5 * time.Second, Job: apjob.Job{
		ID: id, Queue: "find", Spec: "spec", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}}, {Count: 1, Need: apjob.Resources{CPU: 1000}, After: []int{0}}},
	}}
	assert.Equal(t, first.caller.Submit(t.Context(), first.settings.CallerAddress, findQueue, submission).Status, http.StatusOK)
	running := func() bool {
		return first.caller.Status(t.Context(), first.settings.CallerAddress, findQueue, id).State == apjob.Running
	}
	first.waitFor(running)

	at, err := platform.ServeStore("operator")
	assert.NilError(t, err)
	data := []byte(`{"Version":2,"Routes":[],"Services":[{"Name":"other"}]}`)
	operator := apadapter.NewStore(apadapter.NewClient(1), at)
	_, err = operator.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apadapter.KeyConfig, Data: data}}})
	assert.NilError(t, err)
	first.waitFor(func() bool { return first.log.hasLine("Event=SettingsApplied", "Version=2") })
	first.waitFor(running)
	first.stop()
	assert.NilError(t, <-first.exited)

	second := joinEntry(t, platform, "entry-2", "second")
	second.waitFor(func() bool {
		return second.caller.Status(t.Context(), second.settings.CallerAddress, findQueue, id).State == apjob.Completed
	})
	assert.Assert(t, second.log.hasLine("Event=ShardOwned", "Shard=search"))
}
