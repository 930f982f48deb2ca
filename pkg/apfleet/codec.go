package apfleet

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"auburnport/pkg/apcode"
)

// Checker is a value that can validate itself.
type Checker interface {
	// Check returns an error with a result code if the value is invalid.
	Check() error
}

// Encode returns the CBOR encoding of value. It panics if value cannot be encoded.
func Encode(value any) []byte {
	data, err := encMode().Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// encMode returns the deterministic encoding mode, in which equal values have equal encodings.
var encMode = sync.OnceValue(func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
})

// Decode decodes a value from CBOR and validates it. Decoding errors carry BadMessage.
func Decode[T Checker](data []byte, value *T) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return apcode.Wrapf(apcode.BadMessage, err, "decode %T", *value)
	}
	return (*value).Check()
}
