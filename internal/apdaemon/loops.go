package apdaemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/apentry"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apstore"
)

// report is what this entry tells the others in each heartbeat. Disruptions are read before the
// requests in flight, so that a VM that is reported empty stays empty.
func (d *Daemon) report() apmesh.Report {
	_, revision := d.state.Settings()
	report := apmesh.Report{
		Leaving:  d.isLeaving(),
		Demands:  d.entry.Demands(),
		Loads:    d.entry.Loads(),
		Settings: revision,
		Holder:   d.holds(),
		Down:     d.entry.Down(),
	}
	for _, row := range d.state.Obeyed() {
		report.Drains = append(report.Drains, apmesh.DrainReport{
			VM: row.VM, Operation: row.Operation, InFlight: d.entry.InFlightTo(row.VM),
		})
	}
	return report
}

func (d *Daemon) holds() bool { return d.held.Load() }

// share applies what the other entries reported, and gives waiting requests their turn.
func (d *Daemon) share(now time.Time) {
	var remotes []apentry.Remote
	for _, member := range d.node.Members() {
		if member.Name != d.self.Name {
			remotes = append(remotes, apentry.Remote{Entry: member.Name, Report: member.Report})
		}
	}
	if members := len(remotes) + 1; int64(members) != d.members.Swap(int64(members)) {
		d.state.notify()
	}
	d.entry.ApplyRemote(now, d.self.Name, remotes)
}

// watchState applies each change of the state to routing.
func (d *Daemon) watchState(ctx context.Context) error {
	for {
		select {
		case <-d.state.changed:
		case <-ctx.Done():
			return nil
		}
		fleet, disruptions := d.state.Fleet(int(max(d.members.Load(), 1)))
		d.entry.SetFleet(fleet)
		d.state.SetObeyed(disruptions)
		d.claimant.SetWindow(d.claimWindow())
		registry := d.state.Registry()
		d.claimant.SetRegistry(registry)
		d.node.Learn(registry.Entries)
		d.metricsGauges(fleet)
	}
}

func (d *Daemon) metricsGauges(fleet apentry.Fleet) {
	for _, service := range fleet.Services {
		metrics.GetOrRegisterGauge("Fleet."+string(service.Name)+".Instances", d.metrics).Update(int64(len(service.Instances)))
	}
}

// refreshList asks the platform for the list of VMs.
func (d *Daemon) refreshList(ctx context.Context, _ time.Time) {
	list, err := d.lister.List(ctx, d.state.ListVersion())
	if err != nil {
		metrics.GetOrRegisterCounter("Platform.ListFailed", d.metrics).Inc(1)
		return
	}
	if len(list.VMs) > 0 {
		d.state.SetList(list)
	}
}

// relayCount is how many entries of a deployment watch the store.
const relayCount = 2

// isRelay reports whether this entry is one of those that watch the store.
func (d *Daemon) isRelay() bool {
	mine := xxhash.Sum64String("relay/" + string(d.self.Name))
	above := 0
	for _, member := range d.node.Members() {
		if xxhash.Sum64String("relay/"+string(member.Name)) > mine {
			above++
		}
	}
	return above < relayCount
}

// relay watches the store on behalf of all entries while this entry is one of the relays.
func (d *Daemon) relay(ctx context.Context) error {
	var after apstore.Revision
	for ctx.Err() == nil {
		if !d.isRelay() || !d.joined.Load() {
			apstore.Pause(ctx, idleRelay)
			after = 0
			continue
		}
		known := d.state.Revision()
		page, err := d.store.Watch(ctx, apfleet.KeyPrefix, after, watchWait)
		if err != nil {
			metrics.GetOrRegisterCounter("Store.WatchFailed", d.metrics).Inc(1)
			apstore.Pause(ctx, relayRetry)
			after = 0
			continue
		}
		d.state.CheckStore(page.Revision, known)
		after = d.publishAll(page, after)
	}
	return nil
}

// publishAll applies the values of a page and returns the revision from which to watch on.
func (d *Daemon) publishAll(page apstore.Page, after apstore.Revision) apstore.Revision {
	for _, value := range page.Values {
		doc, err := apstore.Open(value)
		if err != nil {
			d.logger.WithError(err).WithFields(logrus.Fields{"Event": "DocumentBad", "Key": value.Key}).Error()
			continue
		}
		d.node.Publish(doc)
		after = max(after, value.Revision)
	}
	return after
}

// controlTick runs the systems once when this entry holds the control lease.
func (d *Daemon) controlTick(ctx context.Context, now time.Time) {
	d.controlling.Lock()
	defer d.controlling.Unlock()
	if d.isLeaving() || !d.joined.Load() || !d.state.Ready() {
		return
	}
	if !d.holds() && d.otherHolder() {
		return
	}
	if d.state.Regressed() != nil {
		return
	}
	grant := d.lease.Step(ctx, now)
	if d.held.Swap(grant.Held) != grant.Held {
		d.logger.WithFields(logrus.Fields{"Event": "ControlLease", "Held": grant.Held, "Epoch": grant.Epoch}).Info()
	}
	if !grant.Held {
		return
	}
	started := time.Now()
	tables := d.state.Tables(now, grant.Epoch, d.everyMember())
	intents := d.control.Step(tables)
	metrics.GetOrRegisterTimer("Control.Tick", d.metrics).UpdateSince(started)
	d.executor.Run(ctx, intents, func() bool { return d.lease.Held(time.Now()).Held })
}

// otherHolder reports whether another entry says that it holds the control lease, so that the store
// need not be asked.
func (d *Daemon) otherHolder() bool {
	for _, member := range d.node.Members() {
		if member.Name != d.self.Name && member.State == apmesh.MemberAlive && member.Report.Holder {
			return true
		}
	}
	return false
}

// everyMember returns all known entries, this one included.
func (d *Daemon) everyMember() []apmesh.Member {
	self := apmesh.Member{Registration: d.self, Report: d.report()}
	return append(d.node.Known(), self)
}

// join registers this entry and takes the documents from the store. While the store is away the
// documents come from peers.
func (d *Daemon) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.tryJoin(ctx)
		if err == nil {
			d.joined.Store(true)
			d.logger.WithFields(logrus.Fields{"Event": "Joined", "Entry": d.self.Name, "Incarnation": d.self.Incarnation}).Info()
			return
		}
		d.logger.WithError(err).WithField("Event", "JoinFailed").Warn()
		d.attachFromPeers()
		apstore.Pause(ctx, joinRetry)
	}
}

func (d *Daemon) tryJoin(ctx context.Context) error {
	doc, err := d.client.Update(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Join(time.Now().UTC(), d.self, d.claimWindow())), nil
	})
	if err != nil {
		return err
	}
	known := d.state.Revision()
	page, err := d.store.List(ctx, apfleet.KeyPrefix)
	if err != nil {
		return err
	}
	d.state.CheckStore(page.Revision, known)
	d.publishAll(page, 0)
	d.node.Publish(doc)
	d.attach()
	return d.createSettings(ctx)
}

// attachFromPeers lets this entry work before the store answers, once its peers have told it of the
// registered entries.
func (d *Daemon) attachFromPeers() {
	if registry := d.state.Registry(); len(registry.Entries) > 0 {
		d.attach()
	}
}

// attach lets this entry claim request ids once it knows the registered entries.
func (d *Daemon) attach() {
	registry := d.state.Registry()
	d.node.Learn(registry.Entries)
	d.claimant.SetRegistry(registry)
	if d.attached.CompareAndSwap(false, true) {
		d.claimant.Attach(d.node)
	}
}

// claimWindow returns how long former views of entries are remembered.
func (d *Daemon) claimWindow() time.Duration {
	settings, _ := d.state.Settings()
	return settings.ViewWindow(d.config.Entry.Deployment)
}

// createSettings writes the settings tree of a deployment that has none.
func (d *Daemon) createSettings(ctx context.Context) error {
	if _, revision := d.state.Settings(); revision != 0 || d.initial == nil {
		return nil
	}
	doc, err := d.client.SwapAt(ctx, apfleet.KeySettings, 0, func(apstore.Document) ([]byte, error) {
		return apfleet.Encode(*d.initial), nil
	})
	if apcode.Is(err, apcode.StoreConflict) {
		doc, err = d.client.Read(ctx, apfleet.KeySettings)
	}
	if err != nil {
		return err
	}
	d.node.Publish(doc)
	return nil
}

// leave answers what is in flight, hands claims over, gives the lease and the registration up.
func (d *Daemon) leave(ctx context.Context, s servers) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	close(d.leaving)
	d.logger.WithFields(logrus.Fields{"Event": "Leaving", "Entry": d.self.Name, "InFlight": d.entry.InFlight()}).Info()
	apstore.Pause(ctx, leaveNotice)
	d.entry.Leave()
	d.releaseLease(ctx)
	_ = s.caller.Shutdown(ctx)
	_ = d.entry.Wait()
	handedOver := d.claimant.HandOver(ctx)
	if d.joined.Load() {
		d.deregister(ctx, handedOver)
	}
	d.node.Leave(ctx, apmesh.Left{Member: d.self.Member()})
	_ = s.operator.Shutdown(ctx)
	_ = s.mesh.Close()
	d.logger.WithFields(logrus.Fields{"Event": "Left", "Entry": d.self.Name, "HandedOver": handedOver}).Info()
}

// releaseLease gives the control lease up once the tick under way has ended.
func (d *Daemon) releaseLease(ctx context.Context) {
	d.controlling.Lock()
	defer d.controlling.Unlock()
	d.held.Store(false)
	if err := d.lease.Release(ctx); err != nil {
		d.logger.WithError(err).WithField("Event", "LeaseNotReleased").Warn()
	}
}

func (d *Daemon) deregister(ctx context.Context, handedOver bool) {
	doc, err := d.client.Update(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Leave(time.Now().UTC(), d.self.Member(), handedOver, d.claimWindow())), nil
	})
	if err != nil {
		d.logger.WithError(err).WithField("Event", "NotDeregistered").Warn()
		return
	}
	d.node.Publish(doc)
}
