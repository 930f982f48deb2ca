package apdaemon

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/apentry"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// State is what an entry knows of the fleet: documents and the list of VMs, decoded. It implements
// apmesh.Observer.
type State struct {
	deployment string
	logger     *logrus.Logger
	metrics    metrics.Registry
	changed    chan struct{}

	mu               sync.Mutex
	settings         apsettings.Tree
	settingsRevision apstore.Revision
	owners           apcontrol.OwnersTable
	disruptions      apcontrol.DisruptionsTable
	wave             apcontrol.WaveRow
	registry         apfleet.Registry
	registryRevision apstore.Revision
	list             apfleet.VMList
	// obeyed holds the disruptions that routing obeys.
	obeyed []apfleet.Disruption
	// revision is the highest revision of all documents.
	revision apstore.Revision
	// regressed tells that the store went back behind revision.
	regressed bool
}

// NewState returns a State that knows nothing.
func NewState(config Config, logger *logrus.Logger, registry metrics.Registry) *State {
	return &State{
		deployment:  config.Entry.Deployment,
		logger:      logger,
		metrics:     registry,
		changed:     make(chan struct{}, 1),
		settings:    apsettings.Tree{Nodes: apsettings.NodeTable{}},
		owners:      make(apcontrol.OwnersTable),
		disruptions: make(apcontrol.DisruptionsTable),
	}
}

// DocumentApplied implements apmesh.Observer.
func (s *State) DocumentApplied(doc apstore.Document) {
	s.mu.Lock()
	err := s.apply(doc)
	s.revision = max(s.revision, doc.Revision)
	s.mu.Unlock()
	if err != nil {
		s.logger.WithError(err).WithFields(logrus.Fields{"Event": "DocumentBad", "Key": doc.Key, "Revision": doc.Revision}).Error()
		return
	}
	s.logger.WithFields(logrus.Fields{"Event": "DocumentApplied", "Key": doc.Key, "Revision": doc.Revision}).Debug()
	s.notify()
}

// Revision returns the highest revision of all documents.
func (s *State) Revision() apstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// CheckStore compares the revision that the store gave in an answer with the one that was known
// before it was asked. A store that went back is not written to until it has caught up.
func (s *State) CheckStore(answered, known apstore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regressed = answered < known
	if !s.regressed {
		return
	}
	metrics.GetOrRegisterCounter("Store.Regressed", s.metrics).Inc(1)
	s.logger.WithFields(logrus.Fields{
		"Event": "StoreRegressed", "Offered": answered, "Known": known, "Code": uint16(apcode.StoreRegressed),
	}).Error("the store went back; what it offers is refused")
}

// Regressed returns StoreRegressed while the store is known to have gone back.
func (s *State) Regressed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.regressed {
		return apcode.Errorf(apcode.StoreRegressed, "the store is older than revision %d", s.revision)
	}
	return nil
}

func (s *State) apply(doc apstore.Document) error {
	switch {
	case doc.Key == apfleet.KeySettings:
		tree, err := apsettings.Decode(doc.Body)
		if err != nil {
			return err
		}
		s.settings, s.settingsRevision = tree, doc.Revision
	case doc.Key == apfleet.KeyRegistry:
		var registry apfleet.Registry
		if err := apfleet.Decode(doc.Body, &registry); err != nil {
			return err
		}
		s.registry, s.registryRevision = registry, doc.Revision
	case doc.Key == apfleet.KeyWave:
		var wave apfleet.Wave
		if err := apfleet.Decode(doc.Body, &wave); err != nil {
			return err
		}
		s.wave = apcontrol.WaveRow{Revision: doc.Revision, Wave: wave}
	case doc.Key.HasPrefix(apfleet.PrefixOwners):
		var table apfleet.Ownership
		if err := apfleet.Decode(doc.Body, &table); err != nil {
			return err
		}
		s.owners[table.DataCentre] = apcontrol.OwnersRow{Revision: doc.Revision, Table: table.Owners}
	case doc.Key.HasPrefix(apfleet.PrefixDisruptions):
		var table apfleet.Disruptions
		if err := apfleet.Decode(doc.Body, &table); err != nil {
			return err
		}
		s.disruptions[table.Pool] = apcontrol.DisruptionsRow{Revision: doc.Revision, Rows: table.Rows}
	}
	return nil
}

// SetList replaces the list of VMs by a newer one.
func (s *State) SetList(list apfleet.VMList) {
	s.mu.Lock()
	newer := list.Version > s.list.Version
	if newer {
		s.list = list
	}
	s.mu.Unlock()
	if newer {
		s.notify()
	}
}

func (s *State) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Ready reports whether enough is known to answer callers.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settingsRevision != 0 && s.registryRevision != 0 && s.list.Version != 0
}

// ListVersion returns the version of the list of VMs.
func (s *State) ListVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Version
}

// List returns the list of VMs.
func (s *State) List() apfleet.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Settings returns the settings in force and their revision.
func (s *State) Settings() (apsettings.Tree, apstore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings, s.settingsRevision
}

// Wave returns the last wave.
func (s *State) Wave() apfleet.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wave.Wave
}

// Tables returns the input of a control tick.
func (s *State) Tables(now time.Time, epoch uint64, entries []apmesh.Member) *apcontrol.Tables {
	s.mu.Lock()
	defer s.mu.Unlock()
	tables := &apcontrol.Tables{
		Now:              now,
		Deployment:       s.deployment,
		Settings:         s.settings,
		SettingsRevision: s.settingsRevision,
		VMs:              s.list.VMs,
		Owners:           make(apcontrol.OwnersTable, len(s.owners)),
		Disruptions:      make(apcontrol.DisruptionsTable, len(s.disruptions)),
		Wave:             s.wave,
		Registry:         s.registry,
		Entries:          entries,
		Epoch:            epoch,
		Revision:         s.revision,
	}
	for dc, row := range s.owners {
		tables.Owners[dc] = row
	}
	for pool, row := range s.disruptions {
		tables.Disruptions[pool] = row
	}
	return tables
}

// Fleet returns what routing needs, and the disruptions that it obeys then.
func (s *State) Fleet(members int) (apentry.Fleet, []apfleet.Disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []apfleet.Disruption
	disrupted := make(map[apfleet.VMID]struct{})
	for _, table := range s.disruptions {
		for _, row := range table.Rows {
			rows = append(rows, row)
			disrupted[row.VM] = struct{}{}
		}
	}
	instances := make(map[apfleet.ServiceName][]aproute.Instance)
	for _, vm := range s.list.VMs {
		if vm.State != apfleet.VMLive && vm.State != apfleet.VMLeaving {
			continue
		}
		if owner, ok := s.owners[vm.DataCentre].Table[vm.ID]; !ok || !s.serves(owner, vm.Service) {
			continue
		}
		_, leaving := disrupted[vm.ID]
		instances[vm.Service] = append(instances[vm.Service], aproute.Instance{
			ID: vm.ID, Address: vm.Address, Leaving: leaving || vm.State == apfleet.VMLeaving,
		})
	}
	fleet := apentry.Fleet{Members: members}
	for _, path := range s.settings.Services(s.deployment) {
		fleet.Services = append(fleet.Services, apentry.Service{
			Name: path.Service(), Settings: s.settings.Resolve(path), Instances: instances[path.Service()],
		})
	}
	return fleet, rows
}

// serves reports whether a service is assigned to a pool.
func (s *State) serves(pool apfleet.PoolName, service apfleet.ServiceName) bool {
	_, ok := s.settings.Nodes[apsettings.ServicePath(s.deployment, pool, service)]
	return ok
}

// SetObeyed records the disruptions that routing obeys from now on.
func (s *State) SetObeyed(rows []apfleet.Disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.obeyed = rows
}

// Obeyed returns the disruptions that routing obeys.
func (s *State) Obeyed() []apfleet.Disruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.obeyed)
}

// Registry returns the table of entries.
func (s *State) Registry() apfleet.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry
}
