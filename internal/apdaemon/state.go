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

// State is what an entry knows of the fleet: the decoded documents and the list of VMs. It implements apmesh.Observer
// and is safe for concurrent use.
type State struct {
	deployment string
	logger     *logrus.Logger
	metrics    metrics.Registry
	// changed has room for one value; it receives one after each change.
	changed chan struct{}

	mu               sync.Mutex
	settings         apsettings.Tree
	settingsRevision apstore.Revision
	owners           apcontrol.OwnersTable
	disruptions      apcontrol.DisruptionsTable
	wave             apcontrol.WaveRow
	registry         apfleet.Registry
	registryRevision apstore.Revision
	vmList           apfleet.VMList
	// appliedDisruptions holds the disruptions that routing takes into account.
	appliedDisruptions []apfleet.Disruption
	// revision is the highest revision of all documents.
	revision apstore.Revision
	// storeRegressed is true while the store's own revision is lower than revision.
	storeRegressed bool
}

// NewState returns an empty State.
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
	err := s.applyDocument(doc)
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

// CheckStoreRevision compares the revision in an answer of the store with the revision that was known before the call.
// If the store's is lower, it lost data, for example by a restore from an old copy. Control, changes of settings, waves
// and ReturnVM then stop at this entry until a later answer is as new as the revision known before that call.
func (s *State) CheckStoreRevision(answered, known apstore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeRegressed = answered < known
	if !s.storeRegressed {
		return
	}
	metrics.GetOrRegisterCounter("Store.Regressed", s.metrics).Inc(1)
	s.logger.WithFields(logrus.Fields{
		"Event": "StoreRegressed", "Offered": answered, "Known": known, "Code": uint16(apcode.StoreRegressed),
	}).Error("store returned a revision lower than one already seen; its older documents are refused")
}

// RegressionError returns StoreRegressed while the store is behind a revision already seen, and nil otherwise.
func (s *State) RegressionError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeRegressed {
		return apcode.Errorf(apcode.StoreRegressed, "store is behind the known revision %d", s.revision)
	}
	return nil
}

// applyDocument decodes a document and replaces the one known before. The caller must hold s.mu.
func (s *State) applyDocument(doc apstore.Document) error {
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

// SetVMList replaces the list of VMs if list has a higher version.
func (s *State) SetVMList(list apfleet.VMList) {
	s.mu.Lock()
	newer := list.Version > s.vmList.Version
	if newer {
		s.vmList = list
	}
	s.mu.Unlock()
	if newer {
		s.notify()
	}
}

// notify signals a change without blocking.
func (s *State) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Ready reports whether the settings, the registered entries and the list of VMs are known. They are needed to serve
// callers.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settingsRevision != 0 && s.registryRevision != 0 && s.vmList.Version != 0
}

// VMListVersion returns the version of the list of VMs.
func (s *State) VMListVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vmList.Version
}

// VMList returns the list of VMs.
func (s *State) VMList() apfleet.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vmList
}

// Settings returns the current settings and their revision.
func (s *State) Settings() (apsettings.Tree, apstore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings, s.settingsRevision
}

// Wave returns the latest maintenance wave.
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
		VMs:              s.vmList.VMs,
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

// Fleet returns the services and instances that requests are routed to, and the disruptions that this takes into
// account. The instances are shared by the given number of entries.
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
	for _, vm := range s.vmList.VMs {
		if vm.State != apfleet.VMLive && vm.State != apfleet.VMLeaving {
			continue
		}
		if owner, ok := s.owners[vm.DataCentre].Table[vm.ID]; !ok || !s.poolHasService(owner, vm.Service) {
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

// poolHasService reports whether the settings assign a service to a pool.
func (s *State) poolHasService(pool apfleet.PoolName, service apfleet.ServiceName) bool {
	_, ok := s.settings.Nodes[apsettings.ServicePath(s.deployment, pool, service)]
	return ok
}

// SetAppliedDisruptions records the disruptions that routing now takes into account.
func (s *State) SetAppliedDisruptions(rows []apfleet.Disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedDisruptions = rows
}

// AppliedDisruptions returns a copy of the disruptions that routing takes into account.
func (s *State) AppliedDisruptions() []apfleet.Disruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.appliedDisruptions)
}

// Registry returns the registered entries.
func (s *State) Registry() apfleet.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry
}
