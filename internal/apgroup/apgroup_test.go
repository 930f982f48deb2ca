package apgroup_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/apgroup"
	"auburnport/pkg/apcode"
)

func TestPanicBecomesGroupError(t *testing.T) {
	group, ctx := apgroup.WithContext(t.Context())
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	group.Go(func() error { panic("an index out of range") })
	err := group.Wait()
	assert.Equal(t, apcode.Of(err), apcode.Panicked)
	assert.Assert(t, strings.Contains(err.Error(), "an index out of range") && strings.Contains(err.Error(), "apgroup_test.go"))
}

func TestZeroGroup(t *testing.T) {
	var group apgroup.Group
	assert.NilError(t, group.Wait())
	group.Go(func() error { return nil })
	assert.NilError(t, group.Wait())
}
