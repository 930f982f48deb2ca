package apnode

import (
	"time"

	"auburnport/internal/apintake"
	"auburnport/internal/apmember"
	"auburnport/platform"
)

// thousandths of a core are the unit of an entry's weight.
const thousandths = 1000

func newStore(r *reporter, settings apadapter.Settings) *apadapter.Store {
	return apadapter.NewStore(r.client(0), settings.Store)
}

func newWorkers(r *reporter) *apadapter.Workers {
	return apadapter.NewWorkers(r.client(workerConnections))
}

func newMachines(r *reporter, settings apadapter.Settings) *apadapter.Machines {
	return apadapter.NewMachines(r.count(apadapter.NewOrderClient(apadapter.MachineTimeout)), settings.Machines, settings.Node)
}

func newIntake(r *reporter, store *apadapter.Store, settings apadapter.Settings) *apintake.Intake {
	options := apintake.DefaultOptions()
	options.MaxSettingsAge = time.Duration(freshness * float64(settings.Bounds.Config))
	return apintake.New(store, options, r.logRequest)
}

func newCallers(intake *apintake.Intake) *apadapter.Callers {
	return apadapter.NewCallers(intake, time.Now)
}

// newNode joins the parts. The membership runs the shards, which are the node's.
func newNode(settings apadapter.Settings, r *reporter, store *apadapter.Store, workers *apadapter.Workers,
	machines *apadapter.Machines, intake *apintake.Intake, callers *apadapter.Callers,
) *Node {
	n := &Node{
		settings: settings, reporter: r, store: store, workers: workers, machines: machines,
		advisorClient: r.client(1), intake: intake, callers: callers,
	}
	n.current.Store(&settings)
	membership := apmember.DefaultOptions()
	membership.TTL = max(membership.TTL, settings.MinTTL)
	membership.Weight = int(settings.CPUShare * thousandths)
	n.member = apmember.New(store, settings.Node, n.shards, n.own, n.logEvent, membership)
	return n
}
