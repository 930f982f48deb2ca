package apcommand

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"auburnport/internal/apdaemon"
	"auburnport/internal/apoperator"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// flagRegistrar adds flags and positional arguments to a command.
type flagRegistrar interface {
	Flag(name, help string) *kingpin.FlagClause
	Arg(name, help string) *kingpin.ArgClause
}

// operatorFlags are the flags of commands that send requests to the operator API of an entry.
type operatorFlags struct {
	address   string
	tokenFile string
}

func (f *operatorFlags) add(command flagRegistrar) {
	command.Flag("entry", "Operator address of an entry.").Default("127.0.0.1:8301").Envar("AUBURNPORT_ENTRY").StringVar(&f.address)
	command.Flag("token-file", "File that holds the operator token.").Envar("AUBURNPORT_TOKEN_FILE").StringVar(&f.tokenFile)
}

func (f *operatorFlags) client() (*apoperator.Client, error) {
	address, err := parseAddress("--entry", f.address)
	if err != nil {
		return nil, err
	}
	token, err := apdaemon.ReadSecret(f.tokenFile)
	return apoperator.NewClient(address, token), err
}

func (a *app) addSettings() {
	settings := a.kingpin.Command("settings", "Read and change the settings tree.")
	a.addSettingsCheck(settings)
	a.addSettingsTree(settings)
	a.addSettingsExplain(settings)
	a.addSettingsChange(settings, "set", "Set a value at a node.", false)
	a.addSettingsChange(settings, "unset", "Remove a value from a node, which then inherits it again.", true)
}

func (a *app) addSettingsCheck(settings *kingpin.CmdClause) {
	var file string
	check := a.addCommand(settings, "check", "Check the settings file of an entry, or a settings tree, without starting an entry.", func(context.Context) error {
		return a.checkSettings(file)
	})
	check.Arg("file", "Settings file.").Required().StringVar(&file)
}

// checkSettings validates a file as a settings tree if it has Nodes, else as the settings file of an entry.
func (a *app) checkSettings(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return apcode.Wrapf(apcode.MissingKey, err, "read the settings file")
	}
	if apsettings.LooksLikeTree(data) {
		_, err = apsettings.Parse(file, data)
	} else {
		_, err = apdaemon.ParseConfig(file, data)
	}
	if err == nil {
		_, _ = fmt.Fprintf(a.out, "%s is valid\n", file)
	}
	return err
}

func (a *app) addSettingsTree(settings *kingpin.CmdClause) {
	var flags operatorFlags
	tree := a.addCommand(settings, "tree", "Print the whole settings tree as TOML.", func(ctx context.Context) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		dump, err := client.Settings(ctx)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(a.out, "# revision %d\n%s", dump.Revision, dump.TOML)
		return nil
	})
	flags.add(tree)
}

func (a *app) addSettingsExplain(settings *kingpin.CmdClause) {
	var flags operatorFlags
	var path, key string
	explain := a.addCommand(settings, "explain", "Print each value in force at a path and the node that set it.", func(ctx context.Context) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		origins, err := client.Explain(ctx, apsettings.Path(path))
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
		for _, o := range origins {
			if key == "" || key == o.Key {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", o.Key, o.Value, orDefault(string(o.Path), "(default)"))
			}
		}
		return w.Flush()
	})
	flags.add(explain)
	explain.Arg("path", "Path such as /deployment/-/pool/service.").Required().StringVar(&path)
	explain.Arg("key", "Print only this key.").StringVar(&key)
}

func (a *app) addSettingsChange(settings *kingpin.CmdClause, name, help string, unset bool) {
	var flags operatorFlags
	var path, key, value string
	var ifRevision uint64
	var wait bool
	command := a.addCommand(settings, name, help, func(ctx context.Context) error {
		return a.changeSettings(ctx, &flags, apoperator.SettingsChange{
			Path: apsettings.Path(path), Key: key, Value: value, Unset: unset, IfRevision: apstore.Revision(ifRevision), Wait: wait,
		})
	})
	flags.add(command)
	command.Flag("if-revision", "Refuse the change unless the settings are at this revision.").Uint64Var(&ifRevision)
	command.Flag("wait", "Wait until every entry has applied the change.").BoolVar(&wait)
	command.Arg("path", "Path of the node.").Required().StringVar(&path)
	command.Arg("key", "Name of the setting.").Required().StringVar(&key)
	if !unset {
		command.Arg("value", "New value.").Required().StringVar(&value)
	}
}

func (a *app) changeSettings(ctx context.Context, flags *operatorFlags, change apoperator.SettingsChange) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	result, err := client.Change(ctx, change)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "accepted at revision %d\n", result.Revision)
	if change.Wait {
		_, _ = fmt.Fprintf(a.out, "in force at %d of %d entries after %v\n", result.InForce, result.Entries, result.Elapsed.Round(time.Millisecond))
		if result.InForce < result.Entries {
			return apcode.Errorf(apcode.PeerUnreachable, "%d entries have not applied the change yet", result.Entries-result.InForce)
		}
	}
	return nil
}
