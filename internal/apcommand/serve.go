package apcommand

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"auburnport/internal/apdaemon"
	"auburnport/internal/aplog"
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

func (a *app) addServe() {
	var file string
	serve := a.command(a.kingpin, "serve", "Run one entry until SIGTERM, then leave gracefully.", func(ctx context.Context) error {
		return a.serve(ctx, file)
	})
	serve.Arg("file", "Settings file of the entry.").Required().StringVar(&file)
}

func (a *app) serve(ctx context.Context, file string) error {
	config, err := readConfig(file)
	if err != nil {
		return err
	}
	logger, err := aplog.New(a.err, orDefault(a.logLevel, config.Log.Level), orDefault(a.logFormat, config.Log.Format))
	if err != nil {
		return err
	}
	config, bound, err := apdaemon.Bind(config)
	if err != nil {
		return err
	}
	daemon, err := apdaemon.New(config, bound, apdaemon.Variant{}, logger)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

func readConfig(file string) (apdaemon.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return apdaemon.Config{}, apcode.Wrapf(apcode.MissingKey, err, "settings file")
	}
	return apdaemon.ParseConfig(file, data)
}

func (a *app) addStandin() {
	options := apstandin.DefaultOptions()
	var listen string
	var centres []string
	run := a.command(a.kingpin, "standin", "Stand in for the platform and the backend servers on loopback.", func(ctx context.Context) error {
		if len(centres) > 0 {
			options.DataCentres = nil
		}
		for _, name := range centres {
			options.DataCentres = append(options.DataCentres, apfleet.DataCentre(name))
		}
		return a.standin(ctx, options, listen)
	})
	run.Flag("listen", "Address of the platform.").Default("127.0.0.1:7000").StringVar(&listen)
	run.Flag("data-centre", "Name of a data centre; repeat for more.").Default("taichung-1", "taichung-2", "taichung-3").StringsVar(&centres)
	run.Flag("vms", "Number of VMs.").Default("50").IntVar(&options.VMs)
	run.Flag("service-time", "Mean time to answer a request.").Default("400ms").DurationVar(&options.ServiceTime)
	run.Flag("reboot-time", "How long a VM is away when it restarts.").Default("1s").DurationVar(&options.RebootTime)
	run.Flag("list-lag", "How far the list of VMs lags behind.").Default("500ms").DurationVar(&options.ListLag)
	run.Flag("seed", "Seed of service times.").Default("1").Uint64Var(&options.Seed)
	a.addFault()
}

func (a *app) standin(ctx context.Context, options apstandin.Options, listen string) error {
	address, err := parseAddress("--listen", listen)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return apcode.Errorf(apcode.BadAddress, "--listen %s: the stand-in serves on loopback only", listen)
	}
	standin, err := apstandin.New(options, address)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "Event=StandinReady Address=%s VMs=%d\n", standin.Address(), options.VMs)
	return standin.Run(ctx)
}

func (a *app) addFault() {
	var address, delay string
	var fault apstandin.Fault
	run := a.command(a.kingpin, "fault", "Bring a fault about at a running stand-in.", func(ctx context.Context) error {
		at, err := parseAddress("--standin", address)
		if err != nil {
			return err
		}
		if fault.Delay, err = time.ParseDuration(delay); err != nil {
			return apcode.Errorf(apcode.BadValue, "--delay %s is not a duration", delay)
		}
		return apstandin.Client{Address: at}.Inject(ctx, fault)
	})
	run.Arg("kind", fmt.Sprintf("One of %v.", apstandin.FaultKinds())).Required().StringVar(&fault.Kind)
	run.Arg("target", "VM or rack.").StringVar(&fault.Target)
	run.Flag("count", "Number of replies to lose.").Default("1").IntVar(&fault.Count)
	run.Flag("delay", "Delay of a slow store.").Default("2s").StringVar(&delay)
	run.Flag("standin", "Address of the stand-in.").Default("127.0.0.1:7000").StringVar(&address)
}

// parseAddress reads an IP number and a port. Errors carry BadAddress.
func parseAddress(flag, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, apcode.Errorf(apcode.BadAddress, "%s %q is not an IP number and a port", flag, text)
	}
	return address, nil
}
