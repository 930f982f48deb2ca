package apfleet

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"auburnport/pkg/apcode"
)

// Checker is a value that checks itself.
type Checker interface {
	// Check returns an error with a result code when an invariant does not hold.
	Check() error
}

// Encode returns the CBOR form of value.
func Encode(value any) []byte {
	data, err := encMode().Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// encMode is the encoding in which equal values have equal bytes.
var encMode = sync.OnceValue(func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
})

// Decode reads the CBOR form of a value and checks it. Errors carry BadMessage.
func Decode[T Checker](data []byte, value *T) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return apcode.Wrapf(apcode.BadMessage, err, "decode %T", *value)
	}
	return (*value).Check()
}
