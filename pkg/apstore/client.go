package apstore

import (
	"context"
	"crypto/rand"
	"math/big"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// OperationID names one change of one value, so that a lost reply is settled by reading back.
type OperationID string

// NewOperationID returns a random operation id.
func NewOperationID() OperationID { return OperationID(rand.Text()) }

// Envelope is the form of a value that a Client writes.
type Envelope struct {
	// Operations holds the ids of the last operations that changed the value, newest last.
	Operations []OperationID `cbor:"Operations"`
	Body       []byte        `cbor:"Body"`
}

// Check accepts every envelope.
func (e Envelope) Check() error { return nil }

// Document is the body of a value with its revision.
type Document struct {
	Key      apfleet.Key
	Revision Revision
	Body     []byte
}

// Open decodes a value's envelope; an absent value has an empty body.
func Open(value Value) (Document, error) {
	doc := Document{Key: value.Key, Revision: value.Revision}
	if value.Revision == 0 {
		return doc, nil
	}
	var envelope Envelope
	if err := apfleet.Decode(value.Data, &envelope); err != nil {
		return doc, err
	}
	doc.Body = envelope.Body
	return doc, nil
}

// Change computes the new body of a value from its present one. An error ends the update without
// a write.
type Change func(Document) ([]byte, error)

// Client changes values with compare-and-swap and settles lost replies by reading back.
type Client struct {
	store   Store
	options Options
}

// NewClient returns a client of store.
func NewClient(store Store, opts ...Option) *Client {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Client{store: store, options: options}
}

// Read returns the document of a key. Errors: StoreUnavailable, BadMessage.
func (c *Client) Read(ctx context.Context, key apfleet.Key) (Document, error) {
	value, err := c.store.Get(ctx, key)
	if err != nil {
		return Document{}, err
	}
	return Open(value)
}

// Update applies change to the present value of a key, again after each conflict, until a write is
// confirmed. Errors: what change returns, StoreUnavailable (not written), StoreUnknown (the store
// stayed away, so the outcome is unknown), StoreConflict (too many conflicts).
func (c *Client) Update(ctx context.Context, key apfleet.Key, change Change) (Document, error) {
	for range c.options.MaxConflicts {
		doc, err := c.tryUpdate(ctx, key, change)
		if !apcode.Is(err, apcode.StoreConflict) {
			return doc, err
		}
	}
	return Document{}, apcode.Errorf(apcode.StoreConflict, "key %s: %d conflicts in a row", key, c.options.MaxConflicts)
}

// SwapAt applies change once, provided that the value still has the given revision.
// Errors: as Update, with StoreConflict when the revision differs.
func (c *Client) SwapAt(ctx context.Context, key apfleet.Key, at Revision, change Change) (Document, error) {
	return c.tryUpdate(ctx, key, func(doc Document) ([]byte, error) {
		if doc.Revision != at {
			return nil, apcode.Errorf(apcode.StoreConflict, "key %s is at revision %d, not %d", key, doc.Revision, at)
		}
		return change(doc)
	})
}

func (c *Client) tryUpdate(ctx context.Context, key apfleet.Key, change Change) (Document, error) {
	value, err := c.store.Get(ctx, key)
	if err != nil {
		return Document{}, err
	}
	doc, err := Open(value)
	if err != nil {
		return Document{}, err
	}
	body, err := change(doc)
	if err != nil {
		return Document{}, err
	}
	operation := NewOperationID()
	write := Write{Key: key, Data: c.seal(value, operation, body), Expected: value.Revision}
	revision, err := c.settle(ctx, write, operation)
	if err != nil {
		return Document{}, err
	}
	return Document{Key: key, Revision: revision, Body: body}, nil
}

// seal returns the envelope that follows the present value.
func (c *Client) seal(value Value, operation OperationID, body []byte) []byte {
	var previous Envelope
	if value.Revision != 0 {
		_ = apfleet.Decode(value.Data, &previous)
	}
	operations := append(slices.Clone(previous.Operations), operation)
	if extra := len(operations) - c.options.KeptOperations; extra > 0 {
		operations = operations[extra:]
	}
	return apfleet.Encode(Envelope{Operations: operations, Body: body})
}

// settle writes until the outcome is known. Writing the same swap again is safe: it expects the same
// revision, so that at most one of the copies takes effect.
func (c *Client) settle(ctx context.Context, write Write, operation OperationID) (Revision, error) {
	unknown := false
	delay := c.options.RetryDelay
	for range c.options.MaxAttempts {
		revision, err := c.store.Swap(ctx, write)
		switch apcode.Of(err) {
		case apcode.OK:
			return revision, nil
		case apcode.StoreConflict:
			if !unknown {
				return 0, err
			}
			return c.readBack(ctx, write.Key, operation, err)
		case apcode.StoreUnknown:
			unknown = true
		case apcode.StoreUnavailable:
		default:
			return 0, err
		}
		if !Pause(ctx, jitter(delay)) {
			break
		}
		delay *= 2
	}
	if unknown {
		return 0, apcode.Errorf(apcode.StoreUnknown, "key %s: no reply confirmed operation %s", write.Key, operation)
	}
	return 0, apcode.Errorf(apcode.StoreUnavailable, "key %s: not written", write.Key)
}

// readBack tells whether an earlier copy of the operation took effect.
func (c *Client) readBack(ctx context.Context, key apfleet.Key, operation OperationID, conflict error) (Revision, error) {
	delay := c.options.RetryDelay
	for range c.options.MaxAttempts {
		value, err := c.store.Get(ctx, key)
		if err == nil {
			return settledRevision(value, operation, conflict)
		}
		if !Pause(ctx, jitter(delay)) {
			break
		}
		delay *= 2
	}
	return 0, apcode.Errorf(apcode.StoreUnknown, "key %s: operation %s could not be read back", key, operation)
}

func settledRevision(value Value, operation OperationID, conflict error) (Revision, error) {
	var envelope Envelope
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &envelope); err != nil {
			return 0, err
		}
	}
	if slices.Contains(envelope.Operations, operation) {
		return value.Revision, nil
	}
	return 0, conflict
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	half := int64(d / 2)
	if half <= 0 {
		return d
	}
	n, err := rand.Int(rand.Reader, big.NewInt(half))
	if err != nil {
		return d
	}
	return time.Duration(half + n.Int64())
}
