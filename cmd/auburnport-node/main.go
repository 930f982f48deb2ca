// Command auburnport-node is one entry of auburnport on the users' platform. It reads the settings file
// that the platform lays beside it and serves until SIGTERM.
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
	// memoryShare is the part of the machine's memory limit that the runtime aims at.
	memoryShare = 0.5
	megabyte    = 1 << 20
	// lookEvery is how often the settings file is looked at: it may change without a signal.
	lookEvery = 3 * time.Second
)

func main() {
	app := kingpin.New("auburnport-node", "One entry of auburnport on the users' platform.")
	file := app.Flag("settings", "Settings file; by default the one that the platform names.").Default(apadapter.SettingsFile()).String()
	level := app.Flag("log-level", "One of error, warn, info, debug.").Default("info").String()
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
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory*megabyte)))
	lines := aplog.NewAsync()
	logger, err := aplog.New(lines, level, aplog.FormatText)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	logging, done := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	group.Go(func() error { return lines.Run(logging, os.Stdout) })
	node := apnode.New(settings, logger)
	group.Go(func() error {
		look := time.NewTicker(lookEvery)
		defer look.Stop()
		read := func() (apadapter.Settings, error) { return apadapter.ReadSettings(file) }
		for {
			select {
			case <-logging.Done():
				return nil
			case <-reload:
				node.Reload(read, true)
			case <-look.C:
				node.Reload(read, false)
			}
		}
	})
	err = node.Run(ctx)
	done()
	_ = group.Wait()
	return err
}
