package apdaemon

import (
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/apclaimant"
	"auburnport/internal/apentry"
	"auburnport/internal/apoperator"
	"auburnport/internal/applatform"
	platformhttp "auburnport/internal/applatform/http"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
	storehttp "auburnport/pkg/apstore/http"
)

const storeTimeout = 2 * time.Second

// Variant selects the routing strategy and the control policy; nil means the default.
type Variant struct {
	Strategy aproute.Strategy
	Policy   apcontrol.Policy
}

func newRegistration(config Config) apfleet.Registration {
	return apfleet.Registration{
		Name:        config.Entry.Name,
		Incarnation: uint64(time.Now().UnixNano()),
		Mesh:        config.Entry.MeshAddress,
		DataCentre:  config.Entry.DataCentre,
	}
}

func newStore(config Config) apstore.Store {
	return storehttp.New(config.Platform.StoreAddress, storeTimeout)
}

func newStoreClient(store apstore.Store) *apstore.Client { return apstore.NewClient(store) }

func newPlatform(config Config) *platformhttp.Platform {
	return platformhttp.New(config.Platform.PoolsAddress)
}

func newClaimant(self apfleet.Registration) *apclaimant.Claimant { return apclaimant.New(self) }

func newEntry(claimer apentry.Claimer, logger *logrus.Logger, registry metrics.Registry, variant Variant, self apfleet.Registration) *apentry.Entry {
	opts := []apentry.Option{apentry.WithLogger(logger), apentry.WithMetrics(registry), apentry.WithSeed(self.Incarnation)}
	if variant.Strategy != nil {
		opts = append(opts, apentry.WithStrategy(variant.Strategy))
	}
	return apentry.New(claimer, opts...)
}

func newNode(config Config, self apfleet.Registration, claimant *apclaimant.Claimant, state *State, logger *logrus.Logger, registry metrics.Registry) (*apmesh.Node, error) {
	key, err := ReadSecret(config.Mesh.KeyFile)
	if err != nil {
		return nil, err
	}
	return apmesh.New(self, claimant, state,
		apmesh.WithKey(key), apmesh.WithSeeds(config.Entry.Seeds),
		apmesh.WithLogger(logger), apmesh.WithMetrics(registry),
	), nil
}

func newLease(config Config, store apstore.Store, self apfleet.Registration) *aplease.Lease {
	return aplease.New(store, apfleet.ControlKey(config.Entry.Region), self.Name)
}

func newControl(variant Variant) *apcontrol.Control {
	if variant.Policy == nil {
		return apcontrol.New()
	}
	return apcontrol.New(apcontrol.WithPolicy(variant.Policy))
}

func newToken(config Config) (apoperator.Token, error) {
	secret, err := ReadSecret(config.Operator.TokenFile)
	return apoperator.Token(secret), err
}

// newInitialSettings reads the settings file that is written when the deployment has no settings. It returns nil when no
// file is configured.
func newInitialSettings(config Config) (*apsettings.Tree, error) {
	if config.Fleet.SettingsFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(config.Fleet.SettingsFile)
	if err != nil {
		return nil, apcode.Wrapf(apcode.MissingKey, err, "Fleet.SettingsFile")
	}
	tree, err := apsettings.Parse(config.Fleet.SettingsFile, data)
	return &tree, err
}

func newDaemon(
	config Config, self apfleet.Registration, logger *logrus.Logger, registry metrics.Registry, store apstore.Store,
	client *apstore.Client, lister applatform.Lister, state *State, claimant *apclaimant.Claimant, entry *apentry.Entry,
	node *apmesh.Node, lease *aplease.Lease, control *apcontrol.Control, executor *Executor, token apoperator.Token,
	initialSettings *apsettings.Tree, bound Listeners,
) *Daemon {
	return &Daemon{
		config: config, self: self, logger: logger, metrics: registry, store: store, client: client, lister: lister,
		state: state, claimant: claimant, entry: entry, node: node, lease: lease, control: control,
		executor: executor, token: token, initialSettings: initialSettings, leaving: make(chan struct{}),
		listeners: bound,
	}
}
