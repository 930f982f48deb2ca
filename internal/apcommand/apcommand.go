// Package apcommand implements the command line of the auburnport program.
package apcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"auburnport/pkg/apcode"
)

// Exit statuses of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// app holds the command-line parser, the output streams and the flags that all commands share.
type app struct {
	kingpin *kingpin.Application
	out     io.Writer
	errOut  io.Writer
	// run executes the command that the arguments selected.
	run func(context.Context) error

	logLevel  string
	logFormat string
}

// Run parses args, runs the command and returns the exit status: 0 for success, 1 for a failure or a
// violated invariant, 2 for a command-line error.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{kingpin: kingpin.New("auburnport", "Manages the capacity and the maintenance of a fleet of VMs."), out: out, errOut: errOut}
	a.kingpin.UsageWriter(errOut)
	a.kingpin.ErrorWriter(errOut)
	a.kingpin.HelpFlag.Short('h')
	exited := -1
	a.kingpin.Terminate(func(status int) { exited = status })
	a.kingpin.Flag("log-level", "Log level: error, warn, info or debug. Default: the level in the settings, else warn.").StringVar(&a.logLevel)
	a.kingpin.Flag("log-format", "Log format: text or json. Default: the format in the settings, else text.").StringVar(&a.logFormat)
	a.addServe()
	a.addStandin()
	a.addLoad()
	a.addTry()
	a.addBench()
	a.addReplay()
	a.addSoak()
	a.addSettings()
	a.addFleet()
	_, err := a.kingpin.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "auburnport: %v, try --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := a.run(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "auburnport: %s\n", errorWithAction(err))
		return exitFailed
	}
	return exitOK
}

// errorWithAction returns the error message, and on a second line the recommended action for its result code, if any.
func errorWithAction(err error) string {
	action := apcode.Describe(apcode.Of(err)).Action
	if action == "" {
		return err.Error()
	}
	return err.Error() + "\n" + action
}

// addCommand adds a command to parent. When the arguments select the command, Run executes run.
func (a *app) addCommand(parent interface {
	Command(name, help string) *kingpin.CmdClause
}, name, help string, run func(context.Context) error,
) *kingpin.CmdClause {
	return parent.Command(name, help).Action(func(*kingpin.ParseContext) error {
		a.run = run
		return nil
	})
}

func orDefault(value, other string) string {
	if value == "" {
		return other
	}
	return value
}
