package apcommand_test

import (
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
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

// TestScenarios runs the scenarios of testdata. $PORTn are free ports; until repeats a command until
// it succeeds and prints a text.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"STORE", "CALLER1", "MESH1", "OPERATOR1", "CALLER2", "MESH2", "OPERATOR2", "CALLER3", "MESH3", "OPERATOR3"} {
				port, err := freePort()
				if err != nil {
					return err
				}
				env.Setenv(name, port)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"until": until, "config": config, "signal": sendSignal},
	})
}

// freePort returns an address at which nothing listens, apart from the loopback address at which the
// stand-in's backend servers take ports.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
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
