package apcommand

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"auburnport/examples"
	"auburnport/internal/apdaemon"
	"auburnport/internal/apload"
	"auburnport/internal/aplog"
	"auburnport/internal/apstandin"
	"auburnport/internal/aptrial"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
)

// loadFlags are the flags shared by the commands that generate load.
type loadFlags struct {
	options apload.Options
	json    bool
}

func (f *loadFlags) addCommand(a *app, name, help string, run func(context.Context) error) flagRegistrar {
	f.options = apload.DefaultOptions()
	command := a.addCommand(a.kingpin, name, help, run)
	command.Flag("mean", "Mean rate of each service in requests per second.").Default("200").Float64Var(&f.options.MeanRate)
	command.Flag("turn", "How long each service in turn receives five times its mean rate.").Default("8s").DurationVar(&f.options.PeakDuration)
	command.Flag("steady", "Send every service its mean rate at all times instead of peaks in turn.").BoolVar(&f.options.Steady)
	command.Flag("non-idempotent", "Fraction of requests that are not idempotent and must not be repeated.").Default("0.2").Float64Var(&f.options.NonIdempotentShare)
	command.Flag("load-seed", "Random seed of the requests.").Default("1").Uint64Var(&f.options.Seed)
	command.Flag("json", "Print the result as JSON.").BoolVar(&f.json)
	return command
}

func (a *app) addLoad() {
	var flags loadFlags
	var entries, services []string
	var standin string
	command := flags.addCommand(a, "load", "Send requests as callers do and check the invariants.", func(ctx context.Context) error {
		return a.load(ctx, &flags, entries, services, standin)
	})
	command.Flag("duration", "How long to send requests.").Default("30s").DurationVar(&flags.options.Duration)
	command.Flag("entry", "Caller address of an entry; repeat the flag for more.").Default("127.0.0.1:8101", "127.0.0.1:8102", "127.0.0.1:8103").StringsVar(&entries)
	command.Flag("service", "Name of a service; repeat the flag for more.").
		Default("search", "vet-intake", "foster-log", "booking", "back-office").StringsVar(&services)
	command.Flag("standin", "Address of the stand-in whose records are compared with the answers that callers got.").Default("127.0.0.1:7000").StringVar(&standin)
}

func (a *app) load(ctx context.Context, flags *loadFlags, entries, services []string, standin string) error {
	for _, text := range entries {
		address, err := parseAddress("--entry", text)
		if err != nil {
			return err
		}
		if !address.Addr().IsLoopback() {
			return apcode.Errorf(apcode.BadAddress, "--entry %s: load is sent to loopback addresses only", text)
		}
		flags.options.Entries = append(flags.options.Entries, address)
	}
	for _, name := range services {
		flags.options.Services = append(flags.options.Services, apfleet.ServiceName(name))
	}
	standinAddress, err := parseAddress("--standin", standin)
	if err != nil {
		return err
	}
	load := apload.New(flags.options)
	if err := load.Run(ctx); err != nil {
		return err
	}
	report, err := apstandin.Client{Address: standinAddress}.Report(ctx)
	if err != nil {
		return err
	}
	result := load.Result(report)
	return a.reportResult(flags.json, result, result.WriteTable, result.Violations())
}

// reportResult prints a result as text or JSON, and returns InvariantBroken when violations is above 0.
func (a *app) reportResult(asJSON bool, result any, writeText func(io.Writer), violations int) error {
	if asJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else {
		writeText(a.out)
	}
	if violations > 0 {
		return apcode.Errorf(apcode.InvariantBroken, "%d violations; see the result", violations)
	}
	return nil
}

func (a *app) addTry() {
	var flags loadFlags
	var entries int
	var deployment, strategy, policy, logFile string
	command := flags.addCommand(a, "try", "Run a stand-in, entries and callers in one process and check the invariants.", func(ctx context.Context) error {
		return a.try(ctx, &flags, entries, trialFlags{deployment, strategy, policy, logFile})
	})
	command.Flag("duration", "How long to send requests.").Default("24s").DurationVar(&flags.options.Duration)
	command.Flag("entries", "Number of entries.").Default("9").IntVar(&entries)
	command.Flag("deployment", "Deployment whose example settings are used: cavyhaven or thibodeaux.").Default("cavyhaven").EnumVar(&deployment, "cavyhaven", "thibodeaux")
	command.Flag("strategy", "How slots are shared among entries.").Default("least-loaded").EnumVar(&strategy, "least-loaded", "two-choices", "owned-slots")
	command.Flag("policy", "How moves of VMs between pools are decided.").Default("planned").EnumVar(&policy, "planned", "reactive", "static")
	command.Flag("log-file", "File to write the log to; none by default.").StringVar(&logFile)
}

// trialFlags select the example settings, the variants and the log file of a trial.
type trialFlags struct {
	deployment, strategy, policy, logFile string
}

func (t trialFlags) variant() apdaemon.Variant {
	variant := apdaemon.Variant{Strategy: aproute.LeastLoaded{}, Policy: apcontrol.Planned{}}
	switch t.strategy {
	case "two-choices":
		variant.Strategy = aproute.TwoChoices{}
	case "owned-slots":
		variant.Strategy = aproute.OwnedSlots{}
	}
	switch t.policy {
	case "reactive":
		variant.Policy = apcontrol.Reactive{}
	case "static":
		variant.Policy = apcontrol.Static{}
	}
	return variant
}

func (t trialFlags) settings() (apsettings.Tree, error) {
	if t.deployment == "thibodeaux" {
		return apsettings.Parse("thibodeaux.toml", examples.Thibodeaux)
	}
	return apsettings.Parse("cavyhaven.toml", examples.Cavyhaven)
}

func (a *app) try(ctx context.Context, flags *loadFlags, entries int, trial trialFlags) error {
	settings, err := trial.settings()
	if err != nil {
		return err
	}
	logs, err := createLogFile(trial.logFile)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	logger, err := aplog.New(logs, orDefault(a.logLevel, defaultLogLevel(trial.logFile)), orDefault(a.logFormat, aplog.FormatText))
	if err != nil {
		return err
	}
	standinOptions := apstandin.DefaultOptions()
	standinOptions.ServiceTime = 400 * time.Millisecond
	standinOptions.RebootTime = 500 * time.Millisecond
	standinOptions.ListLag = 200 * time.Millisecond
	cluster, err := aptrial.Start(ctx, aptrial.Options{
		Deployment: trial.deployment, Settings: settings, Entries: entries, Standin: standinOptions, Variant: trial.variant(), Logger: logger,
	})
	if err != nil {
		return err
	}
	report, err := cluster.Run(ctx, flags.options, a.progressWriter())
	if closeErr := cluster.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return a.reportResult(flags.json, report, report.WriteTable, report.Violations())
}

// progressWriter returns standard error if it is a terminal, else a writer that discards the progress output.
func (a *app) progressWriter() io.Writer {
	file, ok := a.errOut.(*os.File)
	if !ok {
		return io.Discard
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return io.Discard
	}
	return file
}

// defaultLogLevel returns error for a trial without a log file, else info.
func defaultLogLevel(file string) string {
	if file == "" {
		return "error"
	}
	return "info"
}

// createLogFile creates or truncates a log file. An empty name discards the log. Errors carry BadValue.
func createLogFile(file string) (io.WriteCloser, error) {
	if file == "" {
		file = os.DevNull
	}
	opened, err := os.Create(file)
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "--log-file")
	}
	return opened, nil
}
