// Package apcommand is the command line.
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

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// app is the command line with what all commands share.
type app struct {
	kingpin *kingpin.Application
	out     io.Writer
	err     io.Writer
	// run is the action of the command that was given.
	run func(context.Context) error

	logLevel  string
	logFormat string
}

// Run carries a command out and returns the exit status: 0 for success, 1 for failure or a broken
// invariant, 2 for a command line that is wrong.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{kingpin: kingpin.New("auburnport", "Manages the capacity and the maintenance of a fleet of VMs."), out: out, err: errOut}
	a.kingpin.UsageWriter(errOut)
	a.kingpin.ErrorWriter(errOut)
	a.kingpin.HelpFlag.Short('h')
	exited := -1
	a.kingpin.Terminate(func(status int) { exited = status })
	a.kingpin.Flag("log-level", "Level of log lines: error, warn, info, debug. Default: that of the settings, else warn.").StringVar(&a.logLevel)
	a.kingpin.Flag("log-format", "Format of log lines: text or json. Default: that of the settings, else text.").StringVar(&a.logFormat)
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
		_, _ = fmt.Fprintf(errOut, "auburnport: %s\n", describe(err))
		return exitFailed
	}
	return exitOK
}

// describe returns an error with its number and what to do.
func describe(err error) string {
	action := apcode.Describe(apcode.Of(err)).Action
	if action == "" {
		return err.Error()
	}
	return err.Error() + "\n" + action
}

// command adds a command and its action.
func (a *app) command(parent interface {
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
