package apnode

import (
	"net/netip"
	"sync/atomic"
	"time"

	"auburnport/internal/apintake"
	"auburnport/internal/apmember"
	"auburnport/internal/aprelay"
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

// relayAddress returns the address at which an entry relays calls of the others to the store.
func relayAddress(settings apadapter.Settings) netip.AddrPort {
	return netip.AddrPortFrom(settings.CallerAddress.Addr(), settings.FirstPort+relayPortOffset)
}

// peers implements aprelay.Peers. It exists before the node's membership, which knows the peers.
type peers struct {
	member atomic.Pointer[apmember.Member]
}

// Peers implements aprelay.Peers.
func (p *peers) Peers() []netip.AddrPort {
	if member := p.member.Load(); member != nil {
		return member.Peers()
	}
	return nil
}

func newPeers() *peers { return &peers{} }

func newRelay(r *reporter, store *apadapter.Store, p *peers) *aprelay.Store {
	return aprelay.New(store, p, r.logEvent)
}

// newIntake returns an intake that serves callers through the relay, so that they don't notice when the store turns
// this entry away.
func newIntake(r *reporter, relay *aprelay.Store, settings apadapter.Settings) *apintake.Intake {
	options := apintake.DefaultOptions()
	options.MaxSettingsAge = time.Duration(settingsAgeRatio * float64(settings.Bounds.MaxConfigDelay))
	options.TombstoneTTL = max(options.TombstoneTTL, settings.MinTTL)
	return apintake.New(relay, options, r.logRequest)
}

func newCallerHandler(intake *apintake.Intake) *apadapter.CallerHandler {
	return apadapter.NewCallerHandler(intake, time.Now)
}

// newNode builds the node and its membership, which decides which shards this entry owns and calls runShard
// for each of them.
func newNode(settings apadapter.Settings, r *reporter, store *apadapter.Store, p *peers, relay *aprelay.Store, workers *apadapter.Workers,
	machines *apadapter.Machines, intake *apintake.Intake, callerHandler *apadapter.CallerHandler,
) *Node {
	n := &Node{
		startSettings: settings, reporter: r, store: store, relay: relay, workers: workers, machines: machines,
		advisor: apadapter.NewAdvisor(r.newClient(1), settings.AdvisorAddress), intake: intake, callerHandler: callerHandler,
	}
	n.currentSettings.Store(&settings)
	n.lastSettings.Store(&settings)
	membership := apmember.DefaultOptions()
	membership.TTL = max(membership.TTL, settings.MinTTL)
	membership.Weight = int(settings.CPUShare * weightPerCore)
	membership.Relay = relayAddress(settings)
	n.former = apmember.NewFormer(store, n.logEvent)
	n.member = apmember.New(store, settings.Node, n.requiredShards, n.runShard, n.logEvent, membership)
	p.member.Store(n.member)
	return n
}
