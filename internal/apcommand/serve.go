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
	serve := a.addCommand(a.kingpin, "serve", "Run one entry until SIGTERM or SIGINT, then shut it down gracefully.", func(ctx context.Context) error {
		return a.serve(ctx, file)
	})
	serve.Arg("file", "Settings file of the entry.").Required().StringVar(&file)
}

func (a *app) serve(ctx context.Context, file string) error {
	config, err := readConfig(file)
	if err != nil {
		return err
	}
	logger, err := aplog.New(a.errOut, orDefault(a.logLevel, config.Log.Level), orDefault(a.logFormat, config.Log.Format))
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
		return apdaemon.Config{}, apcode.Wrapf(apcode.MissingKey, err, "read the settings file")
	}
	return apdaemon.ParseConfig(file, data)
}

func (a *app) addStandin() {
	options := apstandin.DefaultOptions()
	var listen string
	var dataCentres []string
	command := a.addCommand(a.kingpin, "standin", "Run a stand-in for the platform and the backend servers on loopback.", func(ctx context.Context) error {
		if len(dataCentres) > 0 {
			options.DataCentres = nil
		}
		for _, name := range dataCentres {
			options.DataCentres = append(options.DataCentres, apfleet.DataCentre(name))
		}
		return a.standin(ctx, options, listen)
	})
	command.Flag("listen", "Address at which the stand-in serves the platform.").Default("127.0.0.1:7000").StringVar(&listen)
	command.Flag("data-centre", "Name of a data centre; repeat the flag for more.").Default("taichung-1", "taichung-2", "taichung-3").StringsVar(&dataCentres)
	command.Flag("vms", "Number of VMs.").Default("50").IntVar(&options.VMs)
	command.Flag("service-time", "Mean time to answer a request.").Default("400ms").DurationVar(&options.ServiceTime)
	command.Flag("reboot-time", "How long a VM is unavailable when it restarts.").Default("1s").DurationVar(&options.RebootTime)
	command.Flag("list-lag", "How far the list of VMs lags behind their actual state.").Default("500ms").DurationVar(&options.ListLag)
	command.Flag("seed", "Random seed of the service times.").Default("1").Uint64Var(&options.Seed)
	a.addFault()
}

func (a *app) standin(ctx context.Context, options apstandin.Options, listen string) error {
	address, err := parseAddress("--listen", listen)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return apcode.Errorf(apcode.BadAddress, "--listen %s: the stand-in listens on loopback only", listen)
	}
	standin, err := apstandin.New(options, address)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "Event=StandinReady Address=%s VMs=%d\n", standin.Address(), options.VMs)
	return standin.Run(ctx)
}

func (a *app) addFault() {
	var standin, delay string
	var fault apstandin.Fault
	command := a.addCommand(a.kingpin, "fault", "Inject a fault into a running stand-in, or end one.", func(ctx context.Context) error {
		address, err := parseAddress("--standin", standin)
		if err != nil {
			return err
		}
		if fault.Delay, err = time.ParseDuration(delay); err != nil {
			return apcode.Errorf(apcode.BadValue, "--delay %s is not a duration", delay)
		}
		return apstandin.Client{Address: address}.Inject(ctx, fault)
	})
	command.Arg("kind", fmt.Sprintf("Kind of fault: one of %v.", apstandin.FaultKinds())).Required().StringVar(&fault.Kind)
	command.Arg("target", "VM or rack that the fault affects.").StringVar(&fault.Target)
	command.Flag("count", "Number of replies that StoreLoseReplies loses.").Default("1").IntVar(&fault.Count)
	command.Flag("delay", "Delay of each call to the store under StoreSlow.").Default("2s").StringVar(&delay)
	command.Flag("standin", "Address of the stand-in.").Default("127.0.0.1:7000").StringVar(&standin)
}

// parseAddress parses the IP address and port that were given for a flag. Errors carry BadAddress.
func parseAddress(flag, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, apcode.Errorf(apcode.BadAddress, "%s %q is not an IP address and a port", flag, text)
	}
	return address, nil
}
