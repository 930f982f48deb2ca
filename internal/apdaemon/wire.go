//go:build wireinject

package apdaemon

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"
)

// New composes an entry from its settings and the addresses that Bind bound. Errors: MissingKey, BadValue, and those of the files that
// the settings name.
func New(config Config, bound Listeners, variant Variant, logger *logrus.Logger) (*Daemon, error) {
	wire.Build(providers)
	return nil, nil
}
