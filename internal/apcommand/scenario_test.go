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

// TestScenarios runs the scenarios of testdata. $STORE, $CALLERn, $MESHn and $OPERATORn are
// addresses; until repeats a command until
// it succeeds and prints a text.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			host := nextHost()
			for i, name := range addressNames() {
				env.Setenv(name, netip.AddrPortFrom(host, uint16(firstPort+i)).String())
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"until": until, "config": config, "signal": sendSignal},
	})
}

// firstPort is below the ports that the system gives out by itself.
const firstPort = 7001

// hosts counts the scenarios of this process.
var hosts atomic.Uint32

// nextHost returns a loopback address that no other scenario uses, so that their ports cannot meet.
func nextHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8%200), byte(pid), byte(1 + hosts.Add(1))})
}

func addressNames() []string {
	return []string{
		"STORE", "CALLER1", "MESH1", "OPERATOR1", "CALLER2", "MESH2", "OPERATOR2", "CALLER3", "MESH3", "OPERATOR3",
	}
}

const maxTries = 400

// until repeats a command until its output matches: until PATTERN COMMAND ARGUMENT...
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	for range maxTries {
		err := ts.Exec(args[1], args[2:]...)
		output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if err == nil && pattern.MatchString(output) {
			return
		}
		_ = ts.Exec("sleep", "0.05")
	}
	ts.Fatalf("%v never printed %q", args[1:], args[0])
}

// sendSignal sends a signal to a background command that has a word among its arguments: signal SIGNAL WORD.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	for _, command := range ts.BackgroundCmds() {
		if slices.Contains(command.Args, args[1]) {
			ts.Check(command.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background command with %q", args[1])
}

// config writes the settings file of an entry: config FILE NAME CALLER MESH OPERATOR [SEED].
func config(ts *testscript.TestScript, _ bool, args []string) {
	const withoutSeed = 5
	seeds := "[]"
	if len(args) > withoutSeed {
		seeds = "[" + strconv.Quote(args[withoutSeed]) + "]"
	}
	text := strings.NewReplacer(
		"$SEEDS", seeds, "$NAME", args[1], "$CALLER", args[2], "$MESH", args[3], "$OPERATOR", args[4],
		"$STORE", ts.Getenv("STORE"), "$SETTINGS", ts.MkAbs("fleet.toml"),
	).Replace(entryTemplate)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

const entryTemplate = `[Entry]
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
