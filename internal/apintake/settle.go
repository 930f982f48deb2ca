package apintake

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
)

// settle repeats a conditional write until its outcome is known, however many of its answers are lost. Errors: those of write,
// other than LeaseLost, which is tried again; StoreUnknown if ctx ends first.
func (i *Intake) settle(ctx context.Context, write func() error) error {
	maybeStored := false
	for {
		err := write()
		switch apcode.Of(err) {
		case apcode.OK, apcode.StoreConflict, apcode.JobCancelled, apcode.NoSuchJob:
			return err
		case apcode.LeaseLost:
		case apcode.StoreUnknown:
			maybeStored = true
		default:
			if !maybeStored {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return apcode.Errorf(apcode.StoreUnknown, "the store has not confirmed the write")
		case <-time.After(i.options.RetryDelay):
		}
	}
}
