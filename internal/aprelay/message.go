package aprelay

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// operation is the kind of a relayed call.
type operation uint8

const (
	opRead operation = iota + 1
	opScan
	opCommit
	opWatch
)

// request is a call to the store that is sent through a peer.
type request struct {
	Operation operation `cbor:"Operation"`
	// Key is the key to read, or the prefix to scan or watch.
	Key         apfleet.Key         `cbor:"Key,omitempty"`
	Transaction apstore.Transaction `cbor:"Transaction"`
	// After and Wait belong to a watch.
	After apstore.Revision `cbor:"After,omitempty"`
	Wait  time.Duration    `cbor:"Wait,omitempty"`
}

// maxWait bounds the duration of a relayed watch.
const maxWait = 30 * time.Second

// Check returns BadMessage for an unknown operation or a wait that is out of range.
func (r request) Check() error {
	if r.Operation < opRead || r.Operation > opWatch || r.Wait < 0 || r.Wait > maxWait {
		return apcode.Errorf(apcode.BadMessage, "relayed call %d with a wait of %s", r.Operation, r.Wait)
	}
	return nil
}

// withoutWait returns the request with a watch that answers at once.
func (r request) withoutWait() request {
	r.Wait = 0
	return r
}

// reply is the answer to a request: a code, and the result of the operation.
type reply struct {
	Code   apcode.Code               `cbor:"Code"`
	Detail string                    `cbor:"Detail,omitempty"`
	Value  apstore.Value             `cbor:"Value"`
	Page   apstore.Page              `cbor:"Page"`
	Result apstore.TransactionResult `cbor:"Result"`
	Feed   apstore.Feed              `cbor:"Feed"`
}

// Check accepts every reply.
func (reply) Check() error { return nil }

// perform carries a request out on a store.
func perform(ctx context.Context, store apstore.TransactionalStore, r request) (answer reply, err error) {
	switch r.Operation {
	case opRead:
		answer.Value, err = store.Read(ctx, r.Key)
	case opScan:
		answer.Page, err = store.Scan(ctx, r.Key)
	case opCommit:
		answer.Result, err = store.Commit(ctx, r.Transaction)
	case opWatch:
		answer.Feed, err = store.WatchChanges(ctx, r.Key, r.After, r.Wait)
	}
	return answer, err
}
