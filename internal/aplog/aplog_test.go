package aplog_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/aplog"
)

type namedString string

type point struct{ X, Y int }

// Fields of every type must be formatted like fmt.Sprint does, whichever path formatValue takes, and be quoted when
// their text has a space or an equals sign.
func TestFieldsMatchFmtSprint(t *testing.T) {
	for _, value := range []any{
		"plain", namedString("named"), 7, int64(-8), uint64(9), uint16(10), 1.5, true, time.Second, errors.New("it broke"),
		point{1, 2},
		[]int{1, 2},
		"",
		fmt.Errorf("a=b"),
	} {
		var out bytes.Buffer
		logger, err := aplog.New(&out, "info", aplog.FormatText)
		assert.NilError(t, err)
		logger.WithField("Field", value).Info()
		want := fmt.Sprint(value)
		if want == "" || strings.ContainsAny(want, " =") {
			want = fmt.Sprintf("%q", want)
		}
		assert.Assert(t, strings.HasSuffix(out.String(), " Field="+want+"\n"), "%q", out.String())
	}
}
