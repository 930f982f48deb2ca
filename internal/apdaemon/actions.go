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

const forcePoll = 10 * time.Millisecond

// Settings implements apoperator.Actions.
func (d *Daemon) Settings() (apsettings.Tree, apstore.Revision) { return d.state.Settings() }

// ChangeSettings implements apoperator.Actions.
func (d *Daemon) ChangeSettings(ctx context.Context, change apoperator.SettingsChange) (apoperator.Accepted, error) {
	started := time.Now()
	if err := d.state.Regressed(); err != nil {
		return apoperator.Accepted{}, err
	}
	before, revision := d.state.Settings()
	if change.IfRevision != 0 && change.IfRevision != revision {
		return apoperator.Accepted{}, d.conflict(change, revision)
	}
	after, err := change.Apply(before)
	if err != nil {
		return apoperator.Accepted{}, err
	}
	doc, err := d.client.SwapAt(ctx, apfleet.KeySettings, revision, func(apstore.Document) ([]byte, error) {
		return apfleet.Encode(after), nil
	})
	if apcode.Is(err, apcode.StoreConflict) {
		return apoperator.Accepted{}, d.lost(ctx, before, revision)
	}
	if err != nil {
		return apoperator.Accepted{}, err
	}
	d.node.Publish(doc)
	d.logger.WithFields(logrus.Fields{
		"Event": "SettingsChanged", "Path": change.Path, "Key": change.Key, "Value": change.Value, "Revision": doc.Revision,
	}).Info()
	accepted := apoperator.Accepted{Revision: doc.Revision}
	if change.Wait {
		accepted.InForce, accepted.Entries = d.waitInForce(ctx, doc.Revision)
		accepted.Elapsed = time.Since(started)
	}
	return accepted, nil
}

func (d *Daemon) conflict(change apoperator.SettingsChange, revision apstore.Revision) error {
	return apcode.Errorf(apcode.SettingsConflict, "settings are at revision %d, not %d", revision, change.IfRevision)
}

// lost tells the loser of a race what the winner changed.
func (d *Daemon) lost(ctx context.Context, before apsettings.Tree, revision apstore.Revision) error {
	doc, err := d.client.Read(ctx, apfleet.KeySettings)
	if err != nil {
		return err
	}
	if doc.Revision < revision {
		return apcode.Errorf(apcode.StoreRegressed, "the store is at revision %d, older than %d", doc.Revision, revision)
	}
	d.node.Publish(doc)
	winner, err := apsettings.Decode(doc.Body)
	if err != nil {
		return err
	}
	return apcode.Errorf(apcode.SettingsConflict, "the winner's revision is %d: %s", doc.Revision, before.Diff(winner))
}

// waitInForce waits until every entry reports the revision, and returns how many do.
func (d *Daemon) waitInForce(ctx context.Context, revision apstore.Revision) (inForce, entries int) {
	for {
		inForce, entries = d.inForce(revision)
		if inForce == entries {
			return inForce, entries
		}
		select {
		case <-ctx.Done():
			return inForce, entries
		case <-time.After(forcePoll):
		}
	}
}

func (d *Daemon) inForce(revision apstore.Revision) (inForce, entries int) {
	for _, member := range d.node.Members() {
		entries++
		if member.Report.Settings >= revision {
			inForce++
		}
	}
	return inForce, entries
}

// Status implements apoperator.Actions.
func (d *Daemon) Status() apoperator.Status {
	list := d.state.List()
	tables := d.state.Tables(time.Now(), 0, d.everyMember())
	status := apoperator.Status{Entry: d.self.Name, Deployment: d.config.Entry.Deployment, Wave: d.WaveStatus()}
	_, status.SettingsRevision = d.state.Settings()
	for _, member := range tables.Entries {
		status.Entries = append(status.Entries, apoperator.EntryStatus{
			Name: member.Name, State: member.State.String(), Holder: member.Report.Holder,
			Leaving: member.Report.Leaving, Settings: member.Report.Settings,
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
	progress := apcontrol.WaveProgress(wave, d.state.List().VMs)
	return apoperator.WaveStatus{Wave: wave, Total: progress.Total, Done: progress.Done}
}

// StartWave implements apoperator.Actions.
func (d *Daemon) StartWave(ctx context.Context, name string) (apoperator.Accepted, error) {
	list := d.state.List()
	return d.update(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var last apfleet.Wave
		if err := decodeOptional(doc.Body, &last); err != nil {
			return nil, err
		}
		if last.Active() {
			return nil, apcode.Errorf(apcode.WaveActive, "wave %s is under way", last.Name)
		}
		wave := apfleet.Wave{Name: name, Started: time.Now().UTC(), Generations: make(apfleet.GenerationTable)}
		for _, vm := range list.VMs {
			wave.Generations[vm.ID] = vm.Generation
		}
		return apfleet.Encode(wave), nil
	})
}

// PauseWave implements apoperator.Actions.
func (d *Daemon) PauseWave(ctx context.Context, paused bool) (apoperator.Accepted, error) {
	return d.update(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var wave apfleet.Wave
		if err := decodeOptional(doc.Body, &wave); err != nil {
			return nil, err
		}
		if !wave.Active() {
			return nil, apcode.Errorf(apcode.NoSuchWave, "no wave is under way")
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
func (d *Daemon) DisruptVM(ctx context.Context, order apoperator.VMOrder) (apoperator.Accepted, error) {
	tables := d.state.Tables(time.Now(), 0, d.everyMember())
	plan, err := apcontrol.PlanDisruption(tables, order.VM, order.Kind, order.Target)
	if err != nil {
		return apoperator.Accepted{}, err
	}
	doc, err := d.client.SwapAt(ctx, apfleet.DisruptionsKey(plan.Pool), plan.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: plan.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		table.Rows = append(table.Rows, plan.Rows...)
		return apfleet.Encode(table), nil
	})
	return d.accept(doc, err)
}

// ReturnVM implements apoperator.Actions.
func (d *Daemon) ReturnVM(ctx context.Context, id apfleet.VMID) (apoperator.Accepted, error) {
	tables := d.state.Tables(time.Now(), 0, nil)
	for pool, table := range tables.Disruptions {
		row, ok := table.Find(id)
		if !ok || row.Kind == apfleet.DisruptReboot {
			continue
		}
		return d.update(ctx, apfleet.DisruptionsKey(pool), func(doc apstore.Document) ([]byte, error) {
			var present apfleet.Disruptions
			if err := apfleet.Decode(doc.Body, &present); err != nil {
				return nil, err
			}
			return apfleet.Encode(present.Taken(id)), nil
		})
	}
	return apoperator.Accepted{}, apcode.Errorf(apcode.NoSuchVM, "%s is neither drained nor being moved", id)
}

func (d *Daemon) update(ctx context.Context, key apfleet.Key, change apstore.Change) (apoperator.Accepted, error) {
	if err := d.state.Regressed(); err != nil {
		return apoperator.Accepted{}, err
	}
	doc, err := d.client.Update(ctx, key, change)
	return d.accept(doc, err)
}

func (d *Daemon) accept(doc apstore.Document, err error) (apoperator.Accepted, error) {
	if err != nil {
		return apoperator.Accepted{}, err
	}
	d.node.Publish(doc)
	return apoperator.Accepted{Revision: doc.Revision}, nil
}
