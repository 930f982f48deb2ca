// Command auburnport-node runs one entry of auburnport on the users' platform. It reads the settings file that the
// platform provides and serves until SIGTERM or SIGINT. On SIGHUP it reads the settings file again. An entry here
// schedules jobs of callers on workers; auburnport serve runs an entry that proxies requests to backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"auburnport/internal/aplog"
	"auburnport/internal/apnode"
	"auburnport/platform"
)

const (
	// memoryLimitShare is the fraction of the memory limit in the settings that becomes the soft memory limit of
	// the Go runtime.
	memoryLimitShare = 0.5
	bytesPerMegabyte = 1 << 20
	// reloadInterval is how often the settings file is read again: it may change without a signal.
	reloadInterval = 3 * time.Second
)

func main() {
	app := kingpin.New("auburnport-node", "One entry of auburnport on the users' platform.")
	file := app.Flag("settings", "Settings file. Default: the path that the platform sets in AUBURNPORT_NODE_FILE, else its standard path.").Default(apadapter.SettingsFile()).String()
	level := app.Flag("log-level", "Log level: error, warn, info or debug.").Default("info").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *level); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file, level string) error {
	settings, err := apadapter.ReadSettings(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB*bytesPerMegabyte)))
	logWriter := aplog.NewAsyncWriter()
	logger, err := aplog.New(logWriter, level, aplog.FormatText)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The log writer and the reload loop run until the node has shut down, so they do not end with ctx.
	logCtx, stopLog := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	group.Go(func() error { return logWriter.Run(logCtx, os.Stdout) })
	node := apnode.New(settings, logger)
	group.Go(func() error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		readSettings := func() (apadapter.Settings, error) { return apadapter.ReadSettings(file) }
		for {
			select {
			case <-logCtx.Done():
				return nil
			case <-hangups:
				node.Reload(readSettings, true)
			case <-ticker.C:
				node.Reload(readSettings, false)
			}
		}
	})
	err = node.Run(ctx)
	stopLog()
	_ = group.Wait()
	return err
}
