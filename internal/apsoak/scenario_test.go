package apsoak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
	"auburnport/pkg/apcode"
)

// binaryDir is where entryBinary builds the entry's program, once for all scenarios.
var (
	binaryDir   string
	entryBinary = sync.OnceValues(func() (string, error) {
		binary := filepath.Join(binaryDir, "auburnport-node")
		output, err := exec.Command("go", "build", "-o", binary, "auburnport/cmd/auburnport-node").CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("build the entry: %w\n%s", err, output)
		}
		return binary, nil
	})
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scenarios-")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// hostsPerScenario is more than the entries of a scenario.
const hostsPerScenario = 5

// playScenario plays a scenario and fails the test with its violations and the histories of their jobs. Each test's number
// is that of its entries' addresses, so that scenarios can run at the same time.
func playScenario(t *testing.T, number int, name string) {
	t.Helper()
	t.Parallel()
	binary, err := entryBinary()
	assert.NilError(t, err)
	report, err := apsoak.PlayScenario(t.Context(), name, apsoak.WithOptions(func(o *apsoak.Options) {
		o.Binary, o.Dir, o.FirstHost = binary, t.TempDir(), number*hostsPerScenario
	}), t.Output())
	assert.NilError(t, err)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	for id, lines := range report.Histories {
		t.Logf("history of job %s:\n%s", id, strings.Join(lines[max(0, len(lines)-80):], "\n"))
	}
}

func TestScenarioQueueMovesWhileJobRuns(t *testing.T) { playScenario(t, 0, "QueueMoves") }
func TestScenarioLatePostOfCancelledJob(t *testing.T) { playScenario(t, 1, "LatePost") }
func TestScenarioLastingTaskEndsDone(t *testing.T)    { playScenario(t, 2, "LastingEndsDone") }

func TestScenarioQueueReturnsAfterFailure(t *testing.T) { playScenario(t, 3, "QueueReturns") }

func TestScenarioOnlyLabelledWorkerFailed(t *testing.T) { playScenario(t, 4, "LabelAfterFailure") }

func TestScenarioBackfillLosesItsWorker(t *testing.T) { playScenario(t, 5, "BackfillAfterCrash") }

func TestScenarioAdvisorMoves(t *testing.T) { playScenario(t, 6, "AdvisorMoves") }

func TestScenarioAdvisedWorkersFillUp(t *testing.T) { playScenario(t, 7, "AdvisedWorkersFull") }

func TestScenarioManyOccurrencesLeaveOthersAlone(t *testing.T) { playScenario(t, 8, "ManyOccurrences") }

func TestScenarioWorkerRebornAsOtherKindGetsNoTask(t *testing.T) {
	playScenario(t, 9, "RebornAsOtherKind")
}

func TestScenarioPoolGrowsForOneTask(t *testing.T) { playScenario(t, 10, "PoolTooSmall") }

// Guards against a job that waits for ever for a label, as the machines that have it have left its pool.
func TestScenarioPoolGetsBackLabelledMachine(t *testing.T) { playScenario(t, 11, "LabelInSpare") }

// Guards against a job that waits for the end of a quarantine though the quarantined worker is idle and the pool nearly so.
func TestScenarioQuarantinedWorkerBesideLongTask(t *testing.T) {
	playScenario(t, 12, "QuarantineBesideLongTask")
}

// Each scenario has a test above.
func TestScenariosAreAllTested(t *testing.T) {
	assert.DeepEqual(t, apsoak.ScenarioNames(), []string{
		"QueueMoves", "LatePost", "LastingEndsDone", "QueueReturns", "LabelAfterFailure", "BackfillAfterCrash", "AdvisorMoves",
		"AdvisedWorkersFull", "ManyOccurrences", "RebornAsOtherKind", "LabelInSpare", "QuarantineBesideLongTask", "PoolTooSmall",
	})
	_, err := apsoak.PlayScenario(t.Context(), "NoSuchScenario", apsoak.WithOptions(func(*apsoak.Options) {}), nil)
	assert.Equal(t, apcode.Of(err), apcode.BadValue)
}
