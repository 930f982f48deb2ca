package apcommand_test

import (
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"auburnport/internal/apcommand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"auburnport": func() { os.Exit(apcommand.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScenarios runs the scripts in testdata. They use the addresses $STORE, $CALLERn, $MESHn and $OPERATORn,
// and the additional commands until, config and signal.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			host := nextLoopbackAddress()
			for i, name := range addressNames() {
				env.Setenv(name, netip.AddrPortFrom(host, uint16(firstPort+i)).String())
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"until": cmdUntil, "config": cmdConfig, "signal": cmdSignal},
	})
}

// firstPort and the ports after it are below the ephemeral port range of the operating system.
const firstPort = 7001

// scenarioCount counts the scenarios that this process has set up.
var scenarioCount atomic.Uint32

// nextLoopbackAddress returns a loopback address that no other scenario uses, so that parallel scenarios can
// listen on the same ports.
func nextLoopbackAddress() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8%200), byte(pid), byte(1 + scenarioCount.Add(1))})
}

func addressNames() []string {
	return []string{
		"STORE", "CALLER1", "MESH1", "OPERATOR1", "CALLER2", "MESH2", "OPERATOR2", "CALLER3", "MESH3", "OPERATOR3",
	}
}

// maxAttempts limits how often until repeats a command: every 50 ms, so for at least 20 s.
const maxAttempts = 400

// cmdUntil repeats a command until it succeeds and its output matches a regular expression:
// until PATTERN COMMAND ARGUMENT...
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	for range maxAttempts {
		err := ts.Exec(args[1], args[2:]...)
		output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if err == nil && pattern.MatchString(output) {
			return
		}
		_ = ts.Exec("sleep", "0.05")
	}
	ts.Fatalf("%v never succeeded with output that matches %q", args[1:], args[0])
}

// cmdSignal sends STOP, CONT or TERM to the first background command that has WORD among its arguments:
// signal SIGNAL WORD.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	for _, command := range ts.BackgroundCmds() {
		if slices.Contains(command.Args, args[1]) {
			ts.Check(command.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background command has the argument %q", args[1])
}

// cmdConfig writes the settings file of an entry: config FILE NAME CALLER MESH OPERATOR [SEED].
func cmdConfig(ts *testscript.TestScript, _ bool, args []string) {
	const argsWithoutSeed = 5
	seeds := "[]"
	if len(args) > argsWithoutSeed {
		seeds = "[" + strconv.Quote(args[argsWithoutSeed]) + "]"
	}
	text := strings.NewReplacer(
		"$SEEDS", seeds, "$NAME", args[1], "$CALLER", args[2], "$MESH", args[3], "$OPERATOR", args[4],
		"$STORE", ts.Getenv("STORE"), "$SETTINGS", ts.MkAbs("fleet.toml"),
	).Replace(entryConfigTemplate)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

const entryConfigTemplate = `[Entry]
Name = "$NAME"
Deployment = "small"
Region = "region-1"
DataCentre = "dc-1"
CallerAddress = "$CALLER"
MeshAddress = "$MESH"
OperatorAddress = "$OPERATOR"
Seeds = $SEEDS

[Platform]
StoreAddress = "$STORE"
PoolsAddress = "$STORE"

[Fleet]
SettingsFile = "$SETTINGS"
`
