package apstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/internal/applatform"
	platformhttp "auburnport/internal/applatform/http"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	storehttp "auburnport/pkg/apstore/http"
	"auburnport/pkg/apstore/memory"
)

const (
	pathReport = "/standin/report"
	pathFault  = "/standin/fault"
)

// Standin is a stand-in for the platform, its store and the backend servers in one process.
type Standin struct {
	Fleet   *Fleet
	Store   *Store
	Workers *Workers

	memory   *memory.Store
	listener net.Listener
	group    *errgroup.Group
}

// New starts the backend servers and listens at address; Run serves the platform there.
func New(options Options, address netip.AddrPort) (*Standin, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadAddress, err, "listen at %s", address)
	}
	group := &errgroup.Group{}
	fleet, err := NewFleet(options, group)
	if err != nil {
		return nil, err
	}
	memoryStore := memory.New()
	return &Standin{Fleet: fleet, Store: NewStore(memoryStore), Workers: newFleetWorkers(fleet), memory: memoryStore, listener: listener, group: group}, nil
}

// newFleetWorkers returns a worker for each VM, with 32 processors, 64 GiB of memory and two
// accelerators. Their tasks use 1.5 times the resources that they declare.
func newFleetWorkers(fleet *Fleet) *Workers {
	capacity := applatform.Resources{Processors: 32_000, Memory: 64 << 30, Accelerators: 2}
	var workers []applatform.Worker
	for _, vm := range fleet.CurrentList().VMs {
		workers = append(workers, applatform.Worker{ID: vm.ID, Rack: vm.Rack, Capacity: capacity})
	}
	return NewWorkers(WorkerOptions{UsageFactor: 1.5, UsageLag: 2 * time.Second}, workers)
}

// Address returns the address of the platform's HTTP server.
func (s *Standin) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until ctx ends, then stops the platform and the backend servers.
func (s *Standin) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.group.Go(func() error {
		_ = server.Serve(s.listener)
		return nil
	})
	<-ctx.Done()
	_ = server.Close()
	s.Fleet.Close()
	return s.group.Wait()
}

// Report returns what the backend servers and the store recorded.
func (s *Standin) Report() Report {
	report := s.Fleet.Report()
	calls := s.memory.Calls()
	report.StoreReads = calls.Reads
	report.StoreWrites = calls.Writes
	report.StoreWatches = calls.Watches
	report.StoreLeases = calls.Leases
	return report
}

func (s *Standin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/store/", storehttp.Handler(s.Store))
	mux.Handle("/platform/", platformhttp.Handler(s.Fleet, s.Fleet))
	mux.Handle("/workers/", platformhttp.WorkersHandler(s.Workers))
	mux.HandleFunc("GET "+pathReport, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(apfleet.Encode(s.Report()))
	})
	mux.HandleFunc("POST "+pathFault, s.handleFault)
	return mux
}

// Fault is a request to inject a fault or, for StoreHeal, VMHeal, VMRestore and RackRestore, to end
// faults.
type Fault struct {
	// Kind is one of FaultKinds.
	Kind string `json:"Kind"`
	// Target is the VM or the rack. Faults of the store have no target.
	Target string `json:"Target"`
	// Count is the number of replies that StoreLoseReplies drops.
	Count int `json:"Count"`
	// Delay is what StoreSlow adds before every call to the store.
	Delay time.Duration `json:"Delay"`
}

// FaultKinds returns the kinds of faults.
func FaultKinds() []string {
	return []string{
		"StoreDown", "StoreSlow", "StoreLoseReplies", "StoreHeal", "VMSilence", "VMFailFast", "VMCutAnswers",
		"VMCloseAfterRun", "VMRefuse", "VMHeal", "VMKill", "VMRestore", "RackKill", "RackRestore",
	}
}

func (s *Standin) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&fault)
	if err == nil {
		err = s.Inject(fault)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Inject injects a fault. Errors: NoSuchVM, BadValue.
func (s *Standin) Inject(fault Fault) error {
	if faults, ok := storeFaultsFor(fault); ok {
		s.Store.SetFaults(faults)
		return nil
	}
	id := apfleet.VMID(fault.Target)
	if faults, ok := vmFaultsFor(fault.Kind); ok {
		return s.Fleet.SetFaults(id, faults)
	}
	switch fault.Kind {
	case "VMSilence":
		return s.Fleet.Silence(id)
	case "VMKill":
		return s.Fleet.Kill(id)
	case "VMRestore":
		return s.Fleet.Restore(id)
	case "RackKill":
		s.Fleet.KillRack(apfleet.Rack(fault.Target))
	case "RackRestore":
		s.Fleet.RestoreRack(apfleet.Rack(fault.Target))
	default:
		return apcode.Errorf(apcode.BadValue, "unknown fault kind %q, must be one of %v", fault.Kind, FaultKinds())
	}
	return nil
}

// storeFaultsFor returns the store faults of a fault kind, or false when the kind is not one of the
// store's.
func storeFaultsFor(fault Fault) (StoreFaults, bool) {
	switch fault.Kind {
	case "StoreDown":
		return StoreFaults{Down: true}, true
	case "StoreSlow":
		return StoreFaults{Delay: fault.Delay}, true
	case "StoreLoseReplies":
		return StoreFaults{LostReplies: fault.Count}, true
	case "StoreHeal":
		return StoreFaults{}, true
	default:
		return StoreFaults{}, false
	}
}

// vmFaultsFor returns the VM faults of a fault kind, or false when the kind sets no VM faults.
func vmFaultsFor(kind string) (VMFaults, bool) {
	switch kind {
	case "VMFailFast":
		return VMFaults{FailFast: true}, true
	case "VMCutAnswers":
		return VMFaults{TruncateResponses: true}, true
	case "VMCloseAfterRun":
		return VMFaults{CloseAfterRun: true}, true
	case "VMRefuse":
		return VMFaults{Refuse: true}, true
	case "VMHeal":
		return VMFaults{}, true
	default:
		return VMFaults{}, false
	}
}
