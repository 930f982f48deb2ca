package apsoak

import "auburnport/platform/emulator"

// Kind is what a step of a script does.
type Kind uint8

// Kinds of steps.
const (
	// KindKill ends entries with SIGKILL, KindTerm with SIGTERM. Both restart them.
	KindKill Kind = iota
	KindTerm
	// KindPause suspends entries for a while with SIGSTOP.
	KindPause
	// KindRollingRestart restarts all entries in turn, as an upgrade does.
	KindRollingRestart
	// KindReload makes entries reload their settings file.
	KindReload
	// The kinds KindLinkDelayed to KindLinkSilenced disturb the links of entries to the store.
	KindLinkDelayed
	KindLinkCut
	KindLinkDeaf
	KindLinkMute
	KindLinkReset
	KindLinkSilenced
	// The kinds KindWorkerLinkDelayed to KindWorkerLinkSilenced disturb the links to workers.
	KindWorkerLinkDelayed
	KindWorkerLinkCut
	KindWorkerLinkDeaf
	KindWorkerLinkMute
	KindWorkerLinkReset
	KindWorkerLinkSilenced
	// The kinds KindStoreBusy to KindStoreLate make the store misbehave towards entries.
	KindStoreBusy
	KindStoreReset
	KindStoreSilent
	KindStoreSlow
	KindStoreLost
	KindStoreLate
	// KindCompact drops the store's history.
	KindCompact
	// KindWorkerCrash ends workers without notice, which come back. KindWorkerRebirth does so to workers that come back as
	// another kind. KindWorkerDrain ends them with notice.
	KindWorkerCrash
	KindWorkerRebirth
	KindWorkerDrain
	// The kinds KindWorkerFails to KindWorkerLate make workers misbehave.
	KindWorkerFails
	KindWorkerHangs
	KindWorkerSlow
	KindWorkerLate
	// KindClocksOff makes the clocks of some workers slow for the whole run.
	KindClocksOff
	// KindAdvisorMove gives the advisor another address.
	KindAdvisorMove
	// KindConfig commits a new configuration, KindWave requests the maintenance of machines.
	KindConfig
	KindWave
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{
		"Kill", "Term", "Pause", "Roll", "Reload",
		"LinkDelayed", "LinkCut", "LinkDeaf", "LinkMute", "LinkReset", "LinkSilenced",
		"WorkerLinkDelayed", "WorkerLinkCut", "WorkerLinkDeaf", "WorkerLinkMute", "WorkerLinkReset", "WorkerLinkSilenced",
		"StoreBusy", "StoreReset", "StoreSilent", "StoreSlow", "StoreLost", "StoreLate", "Compact",
		"WorkerCrash", "WorkerRebirth", "WorkerDrain", "WorkerFails", "WorkerHangs", "WorkerSlow", "WorkerLate",
		"ClocksOff", "AdvisorMove", "Config", "Wave",
	}[k]
}

// between reports whether k is one of the kinds from first to last.
func (k Kind) between(first, last Kind) bool { return first <= k && k <= last }

// onWorkers reports whether the kind affects a share of the workers.
func (k Kind) onWorkers() bool {
	return k.between(KindWorkerLinkDelayed, KindWorkerLinkSilenced) || k.between(KindWorkerCrash, KindWorkerLate)
}

// impairs reports whether the kind is an impairment, by which checks excuse what is near. The others are planned changes,
// or within what workers always may do.
func (k Kind) impairs() bool {
	switch k {
	case KindReload, KindWorkerDrain, KindClocksOff, KindAdvisorMove, KindConfig, KindWave:
		return false
	default:
		return true
	}
}

// linkState returns the link state of the kinds that disturb links.
func (k Kind) linkState() LinkState {
	if k.between(KindWorkerLinkDelayed, KindWorkerLinkSilenced) {
		return LinkDelayed + LinkState(k-KindWorkerLinkDelayed)
	}
	return LinkDelayed + LinkState(k-KindLinkDelayed)
}

// storeFault returns the fault of the kinds KindStoreBusy to KindStoreLate.
func (k Kind) storeFault() apemulator.StoreFault {
	return apemulator.StoreFaultBusy + apemulator.StoreFault(k-KindStoreBusy)
}

// workerFault returns the fault of the kinds KindWorkerFails to KindWorkerLate.
func (k Kind) workerFault() apemulator.WorkerFault {
	return apemulator.WorkerFaultFails + apemulator.WorkerFault(k-KindWorkerFails)
}
