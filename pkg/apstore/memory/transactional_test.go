package memory_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// Guards against records in tests that the users' store would refuse: a transaction is bounded as a single write is.
func TestCommitRefusesLargeValue(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "k", Data: make([]byte, apstore.MaxValueBytes)}}})
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "a", Data: nil}, {Key: "k", Data: make([]byte, apstore.MaxValueBytes+1)}}})
	assert.Equal(t, apcode.Of(err), apcode.ValueTooLarge)
	value, err := store.Read(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, apstore.Revision(0), "nothing of a refused transaction is stored")
}
