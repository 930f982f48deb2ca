package apcontrol

import (
	"cmp"
	"fmt"
	"slices"

	"auburnport/pkg/apfleet"
)

// Progress counts all VMs of a wave and those that are done.
type Progress struct {
	Total, Done int
}

// WaveProgress returns the progress of a wave, given the list of VMs. A VM counts as done once it has booted
// since the wave started, or if it is no longer listed.
func WaveProgress(wave apfleet.Wave, vms []apfleet.VM) Progress {
	progress := Progress{Total: len(wave.Generations)}
	listed := make(map[apfleet.VMID]uint64, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm.Generation
	}
	for id, generation := range wave.Generations {
		current, ok := listed[id]
		if !ok || current > generation {
			progress.Done++
		}
	}
	return progress
}

// advanceWave opens the next reboots of the wave within the availability budgets of the pools, one rack at a
// time. Until the first VM is done, it reboots only one. It pauses the wave if a reboot or move is overdue,
// and ends the wave when every VM is done.
func (c *Control) advanceWave(v *view) []Intent {
	wave := v.Wave.Wave
	if !wave.Active() || wave.Paused {
		return nil
	}
	if row, ok := v.overdueDisruption(); ok {
		return []Intent{PauseWave{Reason: fmt.Sprintf("%s did not come back", row.VM)}}
	}
	progress := WaveProgress(wave, v.VMs)
	reboots := v.openReboots()
	if progress.Done == progress.Total && len(reboots) == 0 {
		return []Intent{EndWave{}}
	}
	limit := v.Settings.Resolve(deploymentPath(v.Deployment)).WaveParallel
	if progress.Done == 0 {
		limit = 1
	}
	v.openWaveReboots(wave, reboots, limit)
	return nil
}

// openReboots returns the indexes of the VMs that have an open reboot.
func (v *view) openReboots() []int {
	var reboots []int
	for i := range v.vms {
		d := v.vms[i].disruption
		if d != nil && d.Kind == apfleet.DisruptReboot {
			reboots = append(reboots, i)
		}
	}
	return reboots
}

// openWaveReboots opens reboots of the wave's next VMs until limit reboots are open.
func (v *view) openWaveReboots(wave apfleet.Wave, reboots []int, limit int) {
	candidates := v.waveCandidates(wave)
	rack := apfleet.Rack("")
	if len(reboots) > 0 {
		rack = v.vms[reboots[0]].Rack
	}
	rebooting := len(reboots)
	for _, i := range candidates {
		vm := &v.vms[i]
		if rebooting >= limit {
			break
		}
		if rack != "" && vm.Rack != rack {
			continue
		}
		if !v.tableUnchanged(vm.pool) || !v.budgetAllows(i) {
			continue
		}
		rack = vm.Rack
		rebooting++
		v.openDisruption(i, apfleet.DisruptReboot, "", "wave "+wave.Name)
	}
}

// tableUnchanged reports whether no other intent of this tick changes the pool's disruption table.
func (v *view) tableUnchanged(pool int) bool { return !v.pools[pool].tableChanged }

// waveCandidates returns the indexes of the VMs that the wave can reboot next, grouped by rack. Racks whose
// VMs' pools have the most headroom above MinAvailable come first.
func (v *view) waveCandidates(wave apfleet.Wave) []int {
	headroom := make(map[apfleet.Rack]int)
	var candidates []int
	for i := range v.vms {
		vm := &v.vms[i]
		generation, listed := wave.Generations[vm.ID]
		if !listed || vm.Generation > generation || vm.disruption != nil || vm.pool == noIndex || vm.State != apfleet.VMLive {
			continue
		}
		candidates = append(candidates, i)
		pool := &v.pools[vm.pool]
		headroom[vm.Rack] += pool.available - pool.settings.MinAvailable
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := &v.vms[a], &v.vms[b]
		return cmp.Or(
			cmp.Compare(headroom[y.Rack], headroom[x.Rack]),
			cmp.Compare(x.Rack, y.Rack),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return candidates
}
