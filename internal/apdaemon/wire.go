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

// providers composes a Daemon.
var providers = wire.NewSet(
	newSelf, metrics.NewRegistry, newStore, newStoreClient, newPlatform, NewState, newClaimant, newEntry,
	newNode, newLease, newControl, NewExecutor, newToken, newInitial, newDaemon,
	wire.Bind(new(applatform.Lister), new(*platformhttp.Platform)),
	wire.Bind(new(applatform.Pools), new(*platformhttp.Platform)),
	wire.Bind(new(apentry.Claimer), new(*apclaimant.Claimant)),
)

// New composes an entry from its settings and the addresses that Bind bound. Errors: MissingKey, BadValue, and those of the files that
// the settings name.
func New(config Config, bound Listeners, variant Variant, logger *logrus.Logger) (*Daemon, error) {
	wire.Build(providers)
	return nil, nil
}
