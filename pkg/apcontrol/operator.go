package apcontrol

import (
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// PoolSummary is what operators see of a pool.
type PoolSummary struct {
	Pool         apfleet.PoolName    `json:"Pool"`
	Service      apfleet.ServiceName `json:"Service"`
	Size         int                 `json:"Size"`
	Owned        int                 `json:"Owned"`
	Available    int                 `json:"Available"`
	MinAvailable int                 `json:"MinAvailable"`
	Disrupted    int                 `json:"Disrupted"`
	// InFlight and Waiting requests are summed over all entries.
	Demand int `json:"Demand"`
}

// Summarise returns a summary of each pool.
func Summarise(tables *Tables) []PoolSummary {
	v := newView(tables, &poolCache{})
	summaries := make([]PoolSummary, 0, len(v.pools))
	for _, pool := range v.pools {
		summaries = append(summaries, PoolSummary{
			Pool: pool.name, Service: pool.service, Size: pool.settings.Size, Owned: len(pool.vms),
			Available: pool.available, MinAvailable: pool.settings.MinAvailable, Disrupted: len(pool.rows),
			Demand: v.demandOf(pool.service),
		})
	}
	return summaries
}

func (v *view) demandOf(service apfleet.ServiceName) int {
	total := 0
	for _, report := range v.reports() {
		for _, demand := range report.Demands {
			if demand.Service == service {
				total += demand.Demand
			}
		}
	}
	return total
}

// PlanDisruption returns the record of a stop that an operator asks for.
// Errors: NoSuchVM, NoSuchPool, VMDisrupted, BudgetExceeded, BadValue.
func PlanDisruption(tables *Tables, id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) (OpenDisruptions, error) {
	v := newView(tables, &poolCache{})
	i, ok := v.byVM[id]
	if !ok || v.vms[i].pool == noPool {
		return OpenDisruptions{}, apcode.Errorf(apcode.NoSuchVM, "%s is not listed or belongs to no pool", id)
	}
	pool := v.pools[v.vms[i].pool]
	if err := v.checkTarget(pool.name, kind, target); err != nil {
		return OpenDisruptions{}, err
	}
	if d := v.vms[i].disruption; d != nil {
		return OpenDisruptions{}, apcode.Errorf(apcode.VMDisrupted, "%s: a %s is under way (%s)", id, d.Kind, d.Reason)
	}
	if !v.admits(i) {
		return OpenDisruptions{}, apcode.Errorf(apcode.BudgetExceeded,
			"%s: pool %s has %d VMs available, MinAvailable is %d and a rack is held in reserve", id, pool.name, pool.available, pool.settings.MinAvailable)
	}
	v.open(i, kind, target, "an operator asked for it")
	plan, ok := v.opened()[0].(OpenDisruptions)
	if !ok {
		return OpenDisruptions{}, apcode.Errorf(apcode.BadMessage, "no stop was planned for %s", id)
	}
	return plan, nil
}

func (v *view) checkTarget(from apfleet.PoolName, kind apfleet.DisruptionKind, target apfleet.PoolName) error {
	if kind != apfleet.DisruptMove {
		return nil
	}
	if _, ok := v.byPool[target]; !ok {
		return apcode.Errorf(apcode.NoSuchPool, "%s", target)
	}
	if target == from {
		return apcode.Errorf(apcode.BadValue, "the VM already belongs to %s", target)
	}
	return nil
}
