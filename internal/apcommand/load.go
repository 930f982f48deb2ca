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

// loadFlags are the flags of commands that send load.
type loadFlags struct {
	options apload.Options
	json    bool
}

func (f *loadFlags) add(a *app, name, help string, run func(context.Context) error) flagger {
	f.options = apload.DefaultOptions()
	command := a.command(a.kingpin, name, help, run)
	command.Flag("mean", "Mean rate of each service in requests per second.").Default("200").Float64Var(&f.options.Mean)
	command.Flag("turn", "How long one service asks for five times its mean.").Default("8s").DurationVar(&f.options.Turn)
	command.Flag("steady", "Send the mean rate to every service instead of turns.").BoolVar(&f.options.Steady)
	command.Flag("non-idempotent", "Share of requests that must not be repeated.").Default("0.2").Float64Var(&f.options.NonIdempotent)
	command.Flag("load-seed", "Seed of the requests.").Default("1").Uint64Var(&f.options.Seed)
	command.Flag("json", "Print the result as JSON.").BoolVar(&f.json)
	return command
}

func (a *app) addLoad() {
	var flags loadFlags
	var entries, services []string
	var standin string
	command := flags.add(a, "load", "Send callers' requests and check what was promised.", func(ctx context.Context) error {
		return a.load(ctx, &flags, entries, services, standin)
	})
	command.Flag("duration", "How long to send requests.").Default("30s").DurationVar(&flags.options.Duration)
	command.Flag("entry", "Address of an entry; repeat for more.").Default("127.0.0.1:8101", "127.0.0.1:8102", "127.0.0.1:8103").StringsVar(&entries)
	command.Flag("service", "Name of a service; repeat for more.").
		Default("search", "vet-intake", "foster-log", "booking", "back-office").StringsVar(&services)
	command.Flag("standin", "Address of the stand-in whose records are compared.").Default("127.0.0.1:7000").StringVar(&standin)
}

func (a *app) load(ctx context.Context, flags *loadFlags, entries, services []string, standin string) error {
	for _, text := range entries {
		address, err := parseAddress("--entry", text)
		if err != nil {
			return err
		}
		if !address.Addr().IsLoopback() {
			return apcode.Errorf(apcode.BadAddress, "--entry %s: load is sent to loopback only", text)
		}
		flags.options.Entries = append(flags.options.Entries, address)
	}
	for _, name := range services {
		flags.options.Services = append(flags.options.Services, apfleet.ServiceName(name))
	}
	at, err := parseAddress("--standin", standin)
	if err != nil {
		return err
	}
	load := apload.New(flags.options)
	if err := load.Run(ctx); err != nil {
		return err
	}
	report, err := apstandin.Client{Address: at}.Report(ctx)
	if err != nil {
		return err
	}
	result := load.Result(report)
	return a.finish(flags.json, result, result.Write, result.Broken())
}

// finish prints a result and fails when an invariant was broken.
func (a *app) finish(asJSON bool, result any, write func(io.Writer), broken int) error {
	if asJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else {
		write(a.out)
	}
	if broken > 0 {
		return apcode.Errorf(apcode.InvariantBroken, "%d times", broken)
	}
	return nil
}

func (a *app) addTry() {
	var flags loadFlags
	var entries int
	var deployment, strategy, policy, logFile string
	command := flags.add(a, "try", "Run stand-ins, entries and callers in one process for less than a minute.", func(ctx context.Context) error {
		return a.try(ctx, &flags, entries, trialChoice{deployment, strategy, policy, logFile})
	})
	command.Flag("duration", "How long to send requests.").Default("24s").DurationVar(&flags.options.Duration)
	command.Flag("entries", "Number of entries.").Default("9").IntVar(&entries)
	command.Flag("deployment", "Example settings: cavyhaven or thibodeaux.").Default("cavyhaven").EnumVar(&deployment, "cavyhaven", "thibodeaux")
	command.Flag("strategy", "How slots are shared among entries.").Default("least-loaded").EnumVar(&strategy, "least-loaded", "two-choices", "owned-slots")
	command.Flag("policy", "How moves between pools are decided.").Default("planned").EnumVar(&policy, "planned", "reactive", "static")
	command.Flag("log-file", "File for log lines; none by default.").StringVar(&logFile)
}

// trialChoice is what a trial compares.
type trialChoice struct {
	deployment, strategy, policy, logFile string
}

func (t trialChoice) variant() apdaemon.Variant {
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

func (t trialChoice) settings() (apsettings.Tree, error) {
	if t.deployment == "thibodeaux" {
		return apsettings.Parse("thibodeaux.toml", examples.Thibodeaux)
	}
	return apsettings.Parse("cavyhaven.toml", examples.Cavyhaven)
}

func (a *app) try(ctx context.Context, flags *loadFlags, entries int, choice trialChoice) error {
	settings, err := choice.settings()
	if err != nil {
		return err
	}
	logs, err := openLog(choice.logFile)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	logger, err := aplog.New(logs, orDefault(a.logLevel, logLevel(choice.logFile)), orDefault(a.logFormat, aplog.FormatText))
	if err != nil {
		return err
	}
	options := apstandin.DefaultOptions()
	options.ServiceTime = 400 * time.Millisecond
	options.RebootTime = 500 * time.Millisecond
	options.ListLag = 200 * time.Millisecond
	cluster, err := aptrial.Start(ctx, aptrial.Options{
		Deployment: choice.deployment, Settings: settings, Entries: entries, Standin: options, Variant: choice.variant(), Logger: logger,
	})
	if err != nil {
		return err
	}
	report, err := cluster.Run(ctx, flags.options, a.progress())
	if closing := cluster.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	return a.finish(flags.json, report, report.Write, report.Broken())
}

// progress returns where progress is shown: a terminal or nowhere.
func (a *app) progress() io.Writer {
	file, ok := a.err.(*os.File)
	if !ok {
		return io.Discard
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return io.Discard
	}
	return file
}

func logLevel(file string) string {
	if file == "" {
		return "error"
	}
	return "info"
}

func openLog(file string) (io.WriteCloser, error) {
	if file == "" {
		file = os.DevNull
	}
	opened, err := os.Create(file)
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "--log-file")
	}
	return opened, nil
}
