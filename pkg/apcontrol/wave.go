package apcontrol

import (
	"cmp"
	"fmt"
	"slices"

	"auburnport/pkg/apfleet"
)

// Progress counts the VMs of a wave.
type Progress struct {
	Total, Done int
}

// WaveProgress returns how far a wave is, given the list of VMs. A VM that is no longer listed
// counts as done.
func WaveProgress(wave apfleet.Wave, vms []apfleet.VM) Progress {
	progress := Progress{Total: len(wave.Generations)}
	listed := make(map[apfleet.VMID]uint64, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm.Generation
	}
	for id, generation := range wave.Generations {
		now, ok := listed[id]
		if !ok || now > generation {
			progress.Done++
		}
	}
	return progress
}

// maintain stops the next VMs of the wave: one rack at a time, a single VM first, never beyond the
// pools' budgets.
func (c *Control) maintain(v *view) []Intent {
	wave := v.Wave.Wave
	if !wave.Active() || wave.Paused {
		return nil
	}
	if row, ok := v.overdue(); ok {
		return []Intent{PauseWave{Reason: fmt.Sprintf("%s did not come back", row.VM)}}
	}
	progress := WaveProgress(wave, v.VMs)
	open := v.openReboots()
	if progress.Done == progress.Total && len(open) == 0 {
		return []Intent{EndWave{}}
	}
	limit := v.Settings.Resolve(deploymentPath(v.Deployment)).WaveParallel
	if progress.Done == 0 {
		limit = 1
	}
	v.stopNext(wave, open, limit)
	return nil
}

// openReboots returns the VMs that are being rebooted.
func (v *view) openReboots() []int {
	var open []int
	for i := range v.vms {
		d := v.vms[i].disruption
		if d != nil && d.Kind == apfleet.DisruptReboot {
			open = append(open, i)
		}
	}
	return open
}

// stopNext stops the next VMs of a wave.
func (v *view) stopNext(wave apfleet.Wave, open []int, limit int) {
	candidates := v.waveCandidates(wave)
	rack := apfleet.Rack("")
	if len(open) > 0 {
		rack = v.vms[open[0]].Rack
	}
	stopped := len(open)
	for _, i := range candidates {
		vm := &v.vms[i]
		if stopped >= limit {
			break
		}
		if rack != "" && vm.Rack != rack {
			continue
		}
		if !v.writable(vm.pool) || !v.admits(i) {
			continue
		}
		rack = vm.Rack
		stopped++
		v.open(i, apfleet.DisruptReboot, "", "wave "+wave.Name)
	}
}

// writable reports whether the pool's table of disruptions has not been changed in this tick.
func (v *view) writable(pool int) bool { return !v.pools[pool].written }

// waveCandidates returns the VMs that the wave has not rebooted, rack by rack, the racks whose pools have
// most headroom first.
func (v *view) waveCandidates(wave apfleet.Wave) []int {
	headroom := make(map[apfleet.Rack]int)
	var candidates []int
	for i := range v.vms {
		vm := &v.vms[i]
		generation, listed := wave.Generations[vm.ID]
		if !listed || vm.Generation > generation || vm.disruption != nil || vm.pool == noPool || vm.State != apfleet.VMLive {
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
