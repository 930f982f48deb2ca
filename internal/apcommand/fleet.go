package apcommand

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"auburnport/internal/apoperator"
	"auburnport/pkg/apfleet"
)

func (a *app) addFleet() {
	a.addStatus()
	a.addVM()
	a.addWave()
}

// addOperatorCommand adds a command that sends requests to the operator API of an entry. It adds the flags
// for the address and the token, and passes the client to run.
func (a *app) addOperatorCommand(parent interface {
	Command(name, help string) *kingpin.CmdClause
}, name, help string, run func(context.Context, *apoperator.Client) error,
) *kingpin.CmdClause {
	var flags operatorFlags
	command := a.addCommand(parent, name, help, func(ctx context.Context) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		return run(ctx, client)
	})
	flags.add(command)
	return command
}

func (a *app) addStatus() {
	a.addOperatorCommand(a.kingpin, "status", "Print the state of the fleet.", func(ctx context.Context, client *apoperator.Client) error {
		status, err := client.Status(ctx)
		if err == nil {
			writeStatus(a.out, status)
		}
		return err
	})
}

func writeStatus(out io.Writer, s apoperator.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "Deployment %s, settings at revision %d, seen by %s\n\n", s.Deployment, s.SettingsRevision, s.Entry)
	_, _ = fmt.Fprintln(w, "ENTRY\tSTATE\tSETTINGS\tROLE")
	for _, e := range s.Entries {
		role := ""
		if e.Holder {
			role = "control"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", e.Name, e.State, e.Settings, role)
	}
	_, _ = fmt.Fprintln(w, "\nPOOL\tSERVICE\tSIZE\tOWNED\tAVAILABLE\tMIN\tDISRUPTED\tDEMAND")
	for _, p := range s.Pools {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Service, p.Size, p.Owned, p.Available, p.MinAvailable, p.Disrupted, p.Demand)
	}
	_, _ = fmt.Fprintln(w, "\nVM\tPOOL\tSERVICE\tSTATE\tRACK\tBOOTS\tSTOP")
	for _, v := range s.VMs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", v.ID, v.Pool, v.Service, v.State, v.Rack, v.Generation, v.Disruption)
	}
	_ = w.Flush()
}

// printChange prints the revision at which a change was accepted, unless err is set. It returns err.
func (a *app) printChange(result apoperator.ChangeResult, err error) error {
	if err == nil {
		_, _ = fmt.Fprintf(a.out, "accepted at revision %d\n", result.Revision)
	}
	return err
}

func (a *app) addVM() {
	vm := a.kingpin.Command("vm", "Drain, reboot, move and return VMs.")
	a.addDisruptionCommand(vm, "drain", "Drain a VM: it receives no new work until it is returned.", apfleet.DisruptDrain)
	a.addDisruptionCommand(vm, "reboot", "Drain and reboot a VM.", apfleet.DisruptReboot)
	a.addDisruptionCommand(vm, "move", "Drain a VM and assign it to another pool.", apfleet.DisruptMove)
	var id string
	returnVM := a.addOperatorCommand(vm, "return", "Cancel a drain or a move of a VM.", func(ctx context.Context, client *apoperator.Client) error {
		return a.printChange(client.ReturnVM(ctx, apfleet.VMID(id)))
	})
	returnVM.Arg("vm", "Name of the VM.").Required().StringVar(&id)
}

func (a *app) addDisruptionCommand(vm *kingpin.CmdClause, name, help string, kind apfleet.DisruptionKind) {
	var id, target string
	command := a.addOperatorCommand(vm, name, help, func(ctx context.Context, client *apoperator.Client) error {
		return a.printChange(client.DisruptVM(ctx, apoperator.VMRequest{VM: apfleet.VMID(id), Kind: kind, Target: apfleet.PoolName(target)}))
	})
	command.Arg("vm", "Name of the VM.").Required().StringVar(&id)
	if kind == apfleet.DisruptMove {
		command.Arg("pool", "Pool that receives the VM.").Required().StringVar(&target)
	}
}

func (a *app) addWave() {
	wave := a.kingpin.Command("wave", "Run maintenance waves.")
	var name string
	start := a.addOperatorCommand(wave, "start", "Reboot every VM once, within the availability budgets.", func(ctx context.Context, client *apoperator.Client) error {
		return a.printChange(client.StartWave(ctx, name))
	})
	start.Arg("name", "Name of the wave.").Required().StringVar(&name)
	a.addOperatorCommand(wave, "pause", "Pause the wave: start no further disruptions.", func(ctx context.Context, client *apoperator.Client) error {
		return a.printChange(client.PauseWave(ctx, true))
	})
	a.addOperatorCommand(wave, "continue", "Continue a paused wave.", func(ctx context.Context, client *apoperator.Client) error {
		return a.printChange(client.PauseWave(ctx, false))
	})
	a.addOperatorCommand(wave, "status", "Print the progress of the wave.", func(ctx context.Context, client *apoperator.Client) error {
		status, err := client.Wave(ctx)
		if err == nil {
			writeWave(a.out, status)
		}
		return err
	})
}

func writeWave(out io.Writer, s apoperator.WaveStatus) {
	state := "running"
	switch {
	case s.Wave.Name == "":
		_, _ = fmt.Fprintln(out, "no wave has been started")
		return
	case !s.Wave.Ended.IsZero():
		state = "ended after " + s.Wave.Ended.Sub(s.Wave.Started).String()
	case s.Wave.Paused:
		state = "paused: " + s.Wave.Reason
	}
	_, _ = fmt.Fprintf(out, "wave %s: %d of %d VMs rebooted, %s\n", s.Wave.Name, s.Done, s.Total, state)
}
