package apcode_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
)

func TestTableInTheDocsMatchesTheCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/RESULT-CODES.md")
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Code") && !strings.HasPrefix(line, "| ---") {
			rows++
		}
	}
	assert.Equal(t, rows, len(apcode.All()))
	for _, d := range apcode.All() {
		row := fmt.Sprintf("| %d | %s | %d | %t | %s | %s |", d.Code, d.Name, d.Status, d.NotRun, d.Meaning, strings.ReplaceAll(d.Action, "|", "\\|"))
		assert.Assert(t, strings.Contains(string(data), row), "missing in docs/RESULT-CODES.md:\n%s", row)
	}
}

func TestCodesAreUniqueAndAscend(t *testing.T) {
	all := apcode.All()
	for i := 1; i < len(all); i++ {
		assert.Assert(t, all[i].Code > all[i-1].Code, "%d follows %d", all[i].Code, all[i-1].Code)
	}
}

func TestCodeSurvivesWrapping(t *testing.T) {
	cause := errors.New("broken pipe")
	err := fmt.Errorf("outer: %w", apcode.Wrapf(apcode.StoreUnknown, cause, "swap"))
	assert.Equal(t, apcode.Of(err), apcode.StoreUnknown)
	assert.Assert(t, apcode.Is(err, apcode.StoreUnknown))
	assert.Equal(t, apcode.Of(nil), apcode.OK)
}
