package aplease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/aplease"
)

const (
	ttl    = 1500 * time.Millisecond
	margin = 700 * time.Millisecond
)

// A permit is counted from before the request was sent, however late the response arrives. After the lease was lost, a
// late response to a renewal does not restore the permit.
func TestPermitEndsBeforeTheLease(t *testing.T) {
	now := time.Hour
	permit := aplease.NewPermit(func() time.Duration { return now })
	assert.Equal(t, apcode.Of(permit.Check(0)), apcode.PermitExpired)
	sentAt := permit.RequestTime()
	now += 600 * time.Millisecond
	permit.Extend(sentAt, ttl)
	assert.NilError(t, permit.Check(margin))
	now += 201 * time.Millisecond
	assert.Equal(t, apcode.Of(permit.Check(margin)), apcode.PermitExpired)
	assert.NilError(t, permit.Check(0))
	permit.Extend(permit.RequestTime(), ttl)
	assert.NilError(t, permit.Check(margin))
	permit.Extend(sentAt, ttl)
	assert.NilError(t, permit.Check(margin), "an older response must not shorten the permit")
	permit.End()
	permit.Extend(permit.RequestTime(), ttl)
	assert.Equal(t, apcode.Of(permit.Check(0)), apcode.PermitExpired)
}

func TestZeroPermitPermitsNothing(t *testing.T) {
	var permit aplease.Permit
	assert.Equal(t, apcode.Of(permit.Check(0)), apcode.PermitExpired)
}

func TestBoottimeIsMonotonic(t *testing.T) {
	before := aplease.Boottime()
	assert.Assert(t, aplease.Boottime() >= before)
}
