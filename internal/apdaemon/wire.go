//go:build wireinject

package apdaemon

import (
	"github.com/google/wire"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/apclaimant"
	"auburnport/internal/apentry"
	"auburnport/internal/applatform"
	platformhttp "auburnport/internal/applatform/http"
)

// providers is the set of Wire providers of a Daemon.
var providers = wire.NewSet(
	newRegistration, metrics.NewRegistry, newStore, newStoreClient, newPlatform, NewState, newClaimant, newEntry,
	newNode, newLease, newControl, NewExecutor, newToken, newInitialSettings, newDaemon,
	wire.Bind(new(applatform.Lister), new(*platformhttp.Platform)),
	wire.Bind(new(applatform.Pools), new(*platformhttp.Platform)),
	wire.Bind(new(apentry.Claimer), new(*apclaimant.Claimant)),
)

// New wires an entry from its configuration and the listeners that Bind opened. Errors: MissingKey, BadValue, and those
// of the files that the configuration names.
func New(config Config, bound Listeners, variant Variant, logger *logrus.Logger) (*Daemon, error) {
	wire.Build(providers)
	return nil, nil
}
