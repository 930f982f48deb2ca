package apnode

import (
	"time"

	"auburnport/internal/apintake"
	"auburnport/internal/apmember"
	"auburnport/platform"
)

// weightPerCore converts a CPU share to an entry's weight in the membership, in thousandths of a core.
const weightPerCore = 1000

func newStore(r *reporter, settings apadapter.Settings) *apadapter.Store {
	return apadapter.NewStore(r.newClient(0), settings.StoreAddress)
}

func newWorkers(r *reporter) *apadapter.Workers {
	return apadapter.NewWorkers(r.newClient(maxConnsPerWorker))
}

func newMachines(r *reporter, settings apadapter.Settings) *apadapter.Machines {
	return apadapter.NewMachines(r.countCalls(apadapter.NewOrderClient(apadapter.MachineTimeout)), settings.MachinesAddress, settings.Node)
}

func newIntake(r *reporter, store *apadapter.Store, settings apadapter.Settings) *apintake.Intake {
	options := apintake.DefaultOptions()
	options.MaxSettingsAge = time.Duration(settingsAgeRatio * float64(settings.Bounds.MaxConfigDelay))
	return apintake.New(store, options, r.logRequest)
}

func newCallerHandler(intake *apintake.Intake) *apadapter.CallerHandler {
	return apadapter.NewCallerHandler(intake, time.Now)
}

// newNode builds the node and its membership, which decides which shards this entry owns and calls runShard
// for each of them.
func newNode(settings apadapter.Settings, r *reporter, store *apadapter.Store, workers *apadapter.Workers,
	machines *apadapter.Machines, intake *apintake.Intake, callerHandler *apadapter.CallerHandler,
) *Node {
	n := &Node{
		startSettings: settings, reporter: r, store: store, workers: workers, machines: machines,
		advisorClient: r.newClient(1), intake: intake, callerHandler: callerHandler,
	}
	n.currentSettings.Store(&settings)
	membership := apmember.DefaultOptions()
	membership.TTL = max(membership.TTL, settings.MinTTL)
	membership.Weight = int(settings.CPUShare * weightPerCore)
	n.member = apmember.New(store, settings.Node, n.requiredShards, n.runShard, n.logEvent, membership)
	return n
}
