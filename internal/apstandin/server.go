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

// Standin is the platform and the backend servers in one process.
type Standin struct {
	Fleet   *Fleet
	Store   *Store
	Workers *Workers

	memory   *memory.Store
	listener net.Listener
	group    *errgroup.Group
}

// New starts the backend servers and listens at address.
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
	inner := memory.New()
	return &Standin{Fleet: fleet, Store: NewStore(inner), Workers: standinWorkers(fleet), memory: inner, listener: listener, group: group}, nil
}

// standinWorkers returns a worker for each VM: 32 processors, 64 GB and two accelerators, whose tasks take
// half as much again as they declare.
func standinWorkers(fleet *Fleet) *Workers {
	capacity := applatform.Resources{Processors: 32_000, Memory: 64 << 30, Accelerators: 2}
	var rows []applatform.Worker
	for _, vm := range fleet.Now().VMs {
		rows = append(rows, applatform.Worker{Worker: vm.ID, Rack: vm.Rack, Capacity: capacity})
	}
	return NewWorkers(WorkerOptions{UsageFactor: 1.5, UsageLag: 2 * time.Second}, rows)
}

// Address returns where the platform answers.
func (s *Standin) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until ctx ends.
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
	mux.HandleFunc("POST "+pathFault, s.serveFault)
	return mux
}

// Fault asks a stand-in for a fault.
type Fault struct {
	// Kind is one of FaultKinds.
	Kind string `json:"Kind"`
	// Target is a VM, a rack or, for StoreLoseReplies, a number.
	Target string `json:"Target"`
	// Count is the number of replies to lose.
	Count int `json:"Count"`
	// Delay comes before every call of the store.
	Delay time.Duration `json:"Delay"`
}

// FaultKinds returns the kinds of faults.
func FaultKinds() []string {
	return []string{
		"StoreDown", "StoreSlow", "StoreLoseReplies", "StoreHeal", "VMSilence", "VMFailFast", "VMCutAnswers",
		"VMCloseAfterRun", "VMRefuse", "VMHeal", "VMKill", "VMRestore", "RackKill", "RackRestore",
	}
}

func (s *Standin) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&fault)
	if err == nil {
		err = s.Inject(fault)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Inject brings a fault about. Errors: NoSuchVM, BadValue.
func (s *Standin) Inject(fault Fault) error {
	if faults, ok := storeFaults(fault); ok {
		s.Store.SetFaults(faults)
		return nil
	}
	id := apfleet.VMID(fault.Target)
	if faults, ok := vmFaults(fault.Kind); ok {
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
		return apcode.Errorf(apcode.BadValue, "fault %q is none of %v", fault.Kind, FaultKinds())
	}
	return nil
}

// storeFaults returns the faults of the store that a kind stands for.
func storeFaults(fault Fault) (StoreFaults, bool) {
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

// vmFaults returns the faults of a VM that a kind stands for.
func vmFaults(kind string) (Faults, bool) {
	switch kind {
	case "VMFailFast":
		return Faults{FailFast: true}, true
	case "VMCutAnswers":
		return Faults{CutAnswers: true}, true
	case "VMCloseAfterRun":
		return Faults{CloseAfterRun: true}, true
	case "VMRefuse":
		return Faults{Refuse: true}, true
	case "VMHeal":
		return Faults{}, true
	default:
		return Faults{}, false
	}
}
