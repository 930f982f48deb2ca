package apdaemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"auburnport/internal/apoperator"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// settingsPollInterval is how often a waiting settings change checks whether every entry has applied it.
const settingsPollInterval = 10 * time.Millisecond

// Settings implements apoperator.Actions.
func (d *Daemon) Settings() (apsettings.Tree, apstore.Revision) { return d.state.Settings() }

// ChangeSettings implements apoperator.Actions.
func (d *Daemon) ChangeSettings(ctx context.Context, change apoperator.SettingsChange) (apoperator.ChangeResult, error) {
	started := time.Now()
	if err := d.state.RegressionError(); err != nil {
		return apoperator.ChangeResult{}, err
	}
	before, revision := d.state.Settings()
	if change.IfRevision != 0 && change.IfRevision != revision {
		return apoperator.ChangeResult{}, d.revisionMismatchError(change, revision)
	}
	after, err := change.Apply(before)
	if err != nil {
		return apoperator.ChangeResult{}, err
	}
	doc, err := d.client.UpdateAt(ctx, apfleet.KeySettings, revision, func(apstore.Document) ([]byte, error) {
		return apfleet.Encode(after), nil
	})
	if apcode.Is(err, apcode.StoreConflict) {
		return apoperator.ChangeResult{}, d.concurrentChangeError(ctx, before, revision)
	}
	if err != nil {
		return apoperator.ChangeResult{}, err
	}
	d.node.Publish(doc)
	d.logger.WithFields(logrus.Fields{
		"Event": "SettingsChanged", "Path": change.Path, "Key": change.Key, "Value": change.Value, "Revision": doc.Revision,
	}).Info()
	result := apoperator.ChangeResult{Revision: doc.Revision}
	if change.Wait {
		result.InForce, result.Entries = d.waitInForce(ctx, doc.Revision)
		result.Elapsed = time.Since(started)
	}
	return result, nil
}

func (d *Daemon) revisionMismatchError(change apoperator.SettingsChange, revision apstore.Revision) error {
	return apcode.Errorf(apcode.SettingsConflict, "settings are at revision %d, but the change expects revision %d", revision, change.IfRevision)
}

// concurrentChangeError returns the error for a settings change that lost to a concurrent one. It shows what the
// other change set.
func (d *Daemon) concurrentChangeError(ctx context.Context, before apsettings.Tree, revision apstore.Revision) error {
	doc, err := d.client.Read(ctx, apfleet.KeySettings)
	if err != nil {
		return err
	}
	if doc.Revision < revision {
		return apcode.Errorf(apcode.StoreRegressed, "the store is at revision %d, behind the known revision %d", doc.Revision, revision)
	}
	d.node.Publish(doc)
	current, err := apsettings.Decode(doc.Body)
	if err != nil {
		return err
	}
	return apcode.Errorf(apcode.SettingsConflict, "a concurrent change was written first, at revision %d: %s", doc.Revision, before.Diff(current))
}

// waitInForce waits until every entry reports that it has applied the settings revision, or until ctx ends.
// It returns how many entries have applied it, and the number of entries.
func (d *Daemon) waitInForce(ctx context.Context, revision apstore.Revision) (inForce, entries int) {
	for {
		inForce, entries = d.countInForce(revision)
		if inForce == entries {
			return inForce, entries
		}
		select {
		case <-ctx.Done():
			return inForce, entries
		case <-time.After(settingsPollInterval):
		}
	}
}

// countInForce returns how many entries report that they have applied the settings revision, and the number of entries.
func (d *Daemon) countInForce(revision apstore.Revision) (inForce, entries int) {
	for _, member := range d.node.Members() {
		entries++
		if member.Report.SettingsRevision >= revision {
			inForce++
		}
	}
	return inForce, entries
}

// Status implements apoperator.Actions.
func (d *Daemon) Status() apoperator.Status {
	list := d.state.VMList()
	tables := d.state.Tables(time.Now(), 0, d.allMembers())
	status := apoperator.Status{Entry: d.self.Name, Deployment: d.config.Entry.Deployment, Wave: d.WaveStatus()}
	_, status.SettingsRevision = d.state.Settings()
	for _, member := range tables.Entries {
		status.Entries = append(status.Entries, apoperator.EntryStatus{
			Name: member.Name, State: member.State.String(), Holder: member.Report.HoldsControlLease,
			Leaving: member.Report.Leaving, Settings: member.Report.SettingsRevision,
		})
	}
	status.Pools = apcontrol.Summarise(tables)
	for _, vm := range list.VMs {
		row := apoperator.VMStatus{VM: vm, State: vm.State.String(), Pool: tables.Owners[vm.DataCentre].Table[vm.ID]}
		if disruption, ok := tables.Disruptions[row.Pool].Find(vm.ID); ok {
			row.Disruption = disruption.Kind.String()
		}
		status.VMs = append(status.VMs, row)
	}
	return status
}

// WaveStatus implements apoperator.Actions.
func (d *Daemon) WaveStatus() apoperator.WaveStatus {
	wave := d.state.Wave()
	progress := apcontrol.WaveProgress(wave, d.state.VMList().VMs)
	return apoperator.WaveStatus{Wave: wave, Total: progress.Total, Done: progress.Done}
}

// StartWave implements apoperator.Actions.
func (d *Daemon) StartWave(ctx context.Context, name string) (apoperator.ChangeResult, error) {
	list := d.state.VMList()
	return d.updateDocument(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var previous apfleet.Wave
		if err := decodeOptional(doc.Body, &previous); err != nil {
			return nil, err
		}
		if previous.Active() {
			return nil, apcode.Errorf(apcode.WaveActive, "wave %s is still in progress", previous.Name)
		}
		wave := apfleet.Wave{Name: name, Started: time.Now().UTC(), Generations: make(apfleet.GenerationTable)}
		for _, vm := range list.VMs {
			wave.Generations[vm.ID] = vm.Generation
		}
		return apfleet.Encode(wave), nil
	})
}

// PauseWave implements apoperator.Actions.
func (d *Daemon) PauseWave(ctx context.Context, paused bool) (apoperator.ChangeResult, error) {
	return d.updateDocument(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var wave apfleet.Wave
		if err := decodeOptional(doc.Body, &wave); err != nil {
			return nil, err
		}
		if !wave.Active() {
			return nil, apcode.Errorf(apcode.NoSuchWave, "no wave is in progress")
		}
		wave.Paused = paused
		wave.Reason = ""
		if paused {
			wave.Reason = "paused by an operator"
		}
		return apfleet.Encode(wave), nil
	})
}

// DisruptVM implements apoperator.Actions.
func (d *Daemon) DisruptVM(ctx context.Context, request apoperator.VMRequest) (apoperator.ChangeResult, error) {
	tables := d.state.Tables(time.Now(), 0, d.allMembers())
	plan, err := apcontrol.PlanDisruption(tables, request.VM, request.Kind, request.Target)
	if err != nil {
		return apoperator.ChangeResult{}, err
	}
	doc, err := d.client.UpdateAt(ctx, apfleet.DisruptionsKey(plan.Pool), plan.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: plan.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		table.Rows = append(table.Rows, plan.Rows...)
		return apfleet.Encode(table), nil
	})
	return d.publishChange(doc, err)
}

// ReturnVM implements apoperator.Actions.
func (d *Daemon) ReturnVM(ctx context.Context, id apfleet.VMID) (apoperator.ChangeResult, error) {
	tables := d.state.Tables(time.Now(), 0, nil)
	for pool, table := range tables.Disruptions {
		row, ok := table.Find(id)
		if !ok || row.Kind == apfleet.DisruptReboot {
			continue
		}
		return d.updateDocument(ctx, apfleet.DisruptionsKey(pool), func(doc apstore.Document) ([]byte, error) {
			var current apfleet.Disruptions
			if err := apfleet.Decode(doc.Body, &current); err != nil {
				return nil, err
			}
			return apfleet.Encode(current.WithCancelled(id)), nil
		})
	}
	return apoperator.ChangeResult{}, apcode.Errorf(apcode.NoSuchVM, "VM %s is neither drained nor being moved to another pool", id)
}

// updateDocument changes a document in the store and publishes it, unless the store has regressed.
func (d *Daemon) updateDocument(ctx context.Context, key apfleet.Key, change apstore.Change) (apoperator.ChangeResult, error) {
	if err := d.state.RegressionError(); err != nil {
		return apoperator.ChangeResult{}, err
	}
	doc, err := d.client.Update(ctx, key, change)
	return d.publishChange(doc, err)
}

// publishChange publishes a document that was written successfully; it returns err otherwise.
func (d *Daemon) publishChange(doc apstore.Document, err error) (apoperator.ChangeResult, error) {
	if err != nil {
		return apoperator.ChangeResult{}, err
	}
	d.node.Publish(doc)
	return apoperator.ChangeResult{Revision: doc.Revision}, nil
}
