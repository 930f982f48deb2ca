//go:build wireinject

package apnode

import (
	"github.com/google/wire"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/platform"
)

// providers lists the constructors from which Wire builds a Node.
var providers = wire.NewSet(
	newReporter, metrics.NewRegistry, newStore, newWorkers, newMachines, newPeers, newRelay, newIntake, newCallerHandler, newNode,
)

// New builds an entry from its settings.
func New(settings apadapter.Settings, logger *logrus.Logger) *Node {
	wire.Build(providers)
	return nil
}
