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

// OperationID identifies one change of one value. It is stored with the value, so that a client can check
// after a lost reply whether its change took effect.
type OperationID string

// NewOperationID returns a random operation ID.
func NewOperationID() OperationID { return OperationID(rand.Text()) }

// Envelope is the stored form of a value written by a Client.
type Envelope struct {
	// Operations holds the IDs of the most recent operations that changed the value, newest last.
	Operations []OperationID `cbor:"Operations"`
	Body       []byte        `cbor:"Body"`
}

// Check accepts every envelope.
func (e Envelope) Check() error { return nil }

// Document is the decoded body of a value with its revision.
type Document struct {
	Key      apfleet.Key
	Revision Revision
	Body     []byte
}

// DecodeDocument decodes a value's envelope. An absent value has an empty body.
func DecodeDocument(value Value) (Document, error) {
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

// Change computes the new body of a value from its current one. An error ends the update without a write.
type Change func(Document) ([]byte, error)

// Client changes values with compare-and-swap and resolves lost replies by reading the value back.
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
	return DecodeDocument(value)
}

// Update applies change to the current value of a key and retries after conflicts until a write is confirmed. It returns
// the document as stored, which is another client's if that has changed the value since.
// Errors: those of change, StoreUnavailable (not written), StoreUnknown (possibly written: every later attempt to find
// out failed), StoreConflict (after MaxConflicts conflicts), BadMessage, ValueTooLarge, LeaseLost.
func (c *Client) Update(ctx context.Context, key apfleet.Key, change Change) (Document, error) {
	for range c.options.MaxConflicts {
		doc, err := c.tryUpdate(ctx, key, change)
		if !apcode.Is(err, apcode.StoreConflict) {
			return doc, err
		}
	}
	return Document{}, apcode.Errorf(apcode.StoreConflict, "key %s: %d conflicts in a row", key, c.options.MaxConflicts)
}

// UpdateAt applies change once if the value still has the given revision. Errors: as for Update, with
// StoreConflict if the revision differs.
func (c *Client) UpdateAt(ctx context.Context, key apfleet.Key, at Revision, change Change) (Document, error) {
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
	doc, err := DecodeDocument(value)
	if err != nil {
		return Document{}, err
	}
	body, err := change(doc)
	if err != nil {
		return Document{}, err
	}
	operation := NewOperationID()
	write := Write{Key: key, Data: c.encodeNext(value, operation, body), Expected: value.Revision}
	return c.swapUntilSettled(ctx, write, operation, body)
}

// encodeNext encodes the envelope with the new body and adds the operation to those of the current value.
func (c *Client) encodeNext(value Value, operation OperationID, body []byte) []byte {
	var previous Envelope
	if value.Revision != 0 {
		_ = apfleet.Decode(value.Data, &previous)
	}
	operations := append(slices.Clone(previous.Operations), operation)
	if excess := len(operations) - c.options.MaxStoredOperations; excess > 0 {
		operations = operations[excess:]
	}
	return apfleet.Encode(Envelope{Operations: operations, Body: body})
}

// swapUntilSettled retries a swap until its outcome is known, and returns the document that is then stored. Retrying is
// safe: every attempt expects the same revision, so at most one takes effect.
func (c *Client) swapUntilSettled(ctx context.Context, write Write, operation OperationID, body []byte) (Document, error) {
	outcomeUnknown := false
	delay := c.options.RetryDelay
	for range c.options.MaxAttempts {
		revision, err := c.store.Swap(ctx, write)
		switch apcode.Of(err) {
		case apcode.OK:
			return Document{Key: write.Key, Revision: revision, Body: body}, nil
		case apcode.StoreConflict:
			if !outcomeUnknown {
				return Document{}, err
			}
			return c.readBack(ctx, write.Key, operation, err)
		case apcode.StoreUnknown:
			outcomeUnknown = true
		case apcode.StoreUnavailable:
		default:
			return Document{}, err
		}
		if !Sleep(ctx, jitter(delay)) {
			break
		}
		delay *= 2
	}
	if outcomeUnknown {
		return Document{}, apcode.Errorf(apcode.StoreUnknown, "key %s: no reply confirmed operation %s", write.Key, operation)
	}
	return Document{}, apcode.Errorf(apcode.StoreUnavailable, "key %s: not written", write.Key)
}

// readBack checks whether an earlier attempt of the operation took effect, after a later one ended in
// conflict. It returns the document that is stored, which may be that of a later operation.
func (c *Client) readBack(ctx context.Context, key apfleet.Key, operation OperationID, conflict error) (Document, error) {
	delay := c.options.RetryDelay
	for range c.options.MaxAttempts {
		value, err := c.store.Get(ctx, key)
		if err == nil {
			return confirmedDocument(value, operation, conflict)
		}
		if !Sleep(ctx, jitter(delay)) {
			break
		}
		delay *= 2
	}
	return Document{}, apcode.Errorf(apcode.StoreUnknown, "key %s: operation %s could not be read back", key, operation)
}

// confirmedDocument returns the value's document if the value contains the operation, and conflict otherwise.
func confirmedDocument(value Value, operation OperationID, conflict error) (Document, error) {
	var envelope Envelope
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &envelope); err != nil {
			return Document{}, err
		}
	}
	if slices.Contains(envelope.Operations, operation) {
		return Document{Key: value.Key, Revision: value.Revision, Body: envelope.Body}, nil
	}
	return Document{}, conflict
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
