package apcontrol

import (
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// PoolSummary is the state of a pool as shown to operators.
type PoolSummary struct {
	Pool         apfleet.PoolName    `json:"Pool"`
	Service      apfleet.ServiceName `json:"Service"`
	Size         int                 `json:"Size"`
	Owned        int                 `json:"Owned"`
	Available    int                 `json:"Available"`
	MinAvailable int                 `json:"MinAvailable"`
	Disrupted    int                 `json:"Disrupted"`
	// Demand is the number of requests in flight or waiting, summed over all entries.
	Demand int `json:"Demand"`
}

// Summarise returns a summary of each pool.
func Summarise(tables *Tables) []PoolSummary {
	v := newView(tables, &poolCache{})
	summaries := make([]PoolSummary, 0, len(v.pools))
	for _, pool := range v.pools {
		summaries = append(summaries, PoolSummary{
			Pool: pool.name, Service: pool.service, Size: pool.settings.Size, Owned: len(pool.vms),
			Available: pool.available, MinAvailable: pool.settings.MinAvailable, Disrupted: len(pool.disruptions),
			Demand: v.demandFor(pool.service),
		})
	}
	return summaries
}

func (v *view) demandFor(service apfleet.ServiceName) int {
	total := 0
	for _, report := range v.demandReports() {
		for _, demand := range report.Demands {
			if demand.Service == service {
				total += demand.Demand
			}
		}
	}
	return total
}

// PlanDisruption returns the intent that records a disruption requested by an operator.
// Errors: NoSuchVM, NoSuchPool, VMDisrupted, BudgetExceeded, BadValue.
func PlanDisruption(tables *Tables, id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) (OpenDisruptions, error) {
	v := newView(tables, &poolCache{})
	i, ok := v.vmIndex[id]
	if !ok || v.vms[i].pool == noIndex {
		return OpenDisruptions{}, apcode.Errorf(apcode.NoSuchVM, "VM %s is not in the platform's list or belongs to no pool", id)
	}
	pool := v.pools[v.vms[i].pool]
	if err := v.checkMoveTarget(pool.name, kind, target); err != nil {
		return OpenDisruptions{}, err
	}
	if d := v.vms[i].disruption; d != nil {
		return OpenDisruptions{}, apcode.Errorf(apcode.VMDisrupted, "VM %s already has a disruption of kind %s in progress (%s)", id, d.Kind, d.Reason)
	}
	if !v.budgetAllows(i) {
		return OpenDisruptions{}, apcode.Errorf(apcode.BudgetExceeded,
			"cannot disrupt VM %s: pool %s has %d VMs available and MinAvailable is %d; with RackReserve, its largest rack is kept in reserve", id, pool.name, pool.available, pool.settings.MinAvailable)
	}
	v.openDisruption(i, kind, target, "an operator asked for it")
	plan, ok := v.openIntents()[0].(OpenDisruptions)
	if !ok {
		return OpenDisruptions{}, apcode.Errorf(apcode.BadMessage, "no disruption was planned for VM %s", id)
	}
	return plan, nil
}

func (v *view) checkMoveTarget(current apfleet.PoolName, kind apfleet.DisruptionKind, target apfleet.PoolName) error {
	if kind != apfleet.DisruptMove {
		return nil
	}
	if _, ok := v.poolIndex[target]; !ok {
		return apcode.Errorf(apcode.NoSuchPool, "target pool %s does not exist", target)
	}
	if target == current {
		return apcode.Errorf(apcode.BadValue, "the VM already belongs to pool %s", target)
	}
	return nil
}
