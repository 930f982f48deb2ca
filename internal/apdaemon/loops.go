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

// report returns what this entry sends to the others in each heartbeat. The disruptions are read before the requests
// in flight: routing already avoids these VMs, so one reported without requests gets none later.
func (d *Daemon) report() apmesh.Report {
	_, revision := d.state.Settings()
	report := apmesh.Report{
		Leaving:           d.isLeaving(),
		Demands:           d.entry.Demands(),
		Loads:             d.entry.Loads(),
		SettingsRevision:  revision,
		HoldsControlLease: d.holdsLease(),
		UnreachableVMs:    d.entry.Down(),
	}
	for _, row := range d.state.AppliedDisruptions() {
		report.Drains = append(report.Drains, apmesh.DrainReport{
			VM: row.VM, Operation: row.Operation, InFlight: d.entry.InFlightTo(row.VM),
		})
	}
	return report
}

// holdsLease reports whether this entry holds the control lease.
func (d *Daemon) holdsLease() bool { return d.leaseHeld.Load() }

// applyReports applies the demand and load that the other entries reported, and dispatches queued requests.
func (d *Daemon) applyReports(now time.Time) {
	var remotes []apentry.RemoteReport
	for _, member := range d.node.Members() {
		if member.Name != d.self.Name {
			remotes = append(remotes, apentry.RemoteReport{Entry: member.Name, Report: member.Report})
		}
	}
	if members := len(remotes) + 1; int64(members) != d.memberCount.Swap(int64(members)) {
		d.state.notify()
	}
	d.entry.ApplyRemoteReports(now, d.self.Name, remotes)
}

// applyStateChanges applies each change of the state to routing, to the claims of request ids and to the mesh.
func (d *Daemon) applyStateChanges(ctx context.Context) error {
	for {
		select {
		case <-d.state.changed:
		case <-ctx.Done():
			return nil
		}
		fleet, disruptions := d.state.Fleet(int(max(d.memberCount.Load(), 1)))
		d.entry.SetFleet(fleet)
		d.state.SetAppliedDisruptions(disruptions)
		d.claimant.SetViewWindow(d.viewWindow())
		registry := d.state.Registry()
		d.claimant.SetRegistry(registry)
		d.node.AddEntries(registry.Entries)
		d.updateInstanceGauges(fleet)
	}
}

// updateInstanceGauges sets the number of instances of each service.
func (d *Daemon) updateInstanceGauges(fleet apentry.Fleet) {
	for _, service := range fleet.Services {
		metrics.GetOrRegisterGauge("Fleet."+string(service.Name)+".Instances", d.metrics).Update(int64(len(service.Instances)))
	}
}

// refreshVMList fetches the list of VMs from the platform if it has changed.
func (d *Daemon) refreshVMList(ctx context.Context, _ time.Time) {
	list, err := d.lister.List(ctx, d.state.VMListVersion())
	if err != nil {
		metrics.GetOrRegisterCounter("Platform.ListFailed", d.metrics).Inc(1)
		return
	}
	// An empty list means that the known version is still current.
	if len(list.VMs) > 0 {
		d.state.SetVMList(list)
	}
}

// relayCount is how many entries of a deployment watch the store and publish its changes to the others.
const relayCount = 2

// isRelay reports whether this entry should watch the store. Those do whose names have the highest hashes, so that the
// entries agree on them without coordination.
func (d *Daemon) isRelay() bool {
	own := xxhash.Sum64String("relay/" + string(d.self.Name))
	higher := 0
	for _, member := range d.node.Members() {
		if xxhash.Sum64String("relay/"+string(member.Name)) > own {
			higher++
		}
	}
	return higher < relayCount
}

// watchStore watches the store and publishes its changes to all entries while this entry is a relay. After an error,
// or a time in which this entry was no relay, it starts again from revision 0.
func (d *Daemon) watchStore(ctx context.Context) error {
	var after apstore.Revision
	for ctx.Err() == nil {
		if !d.isRelay() || !d.joined.Load() {
			apstore.Sleep(ctx, relayCheckInterval)
			after = 0
			continue
		}
		known := d.state.Revision()
		page, err := d.store.Watch(ctx, apfleet.KeyPrefix, after, watchTimeout)
		if err != nil {
			metrics.GetOrRegisterCounter("Store.WatchFailed", d.metrics).Inc(1)
			apstore.Sleep(ctx, watchRetryDelay)
			after = 0
			continue
		}
		d.state.CheckStoreRevision(page.Revision, known)
		after = d.publishPage(page, after)
	}
	return nil
}

// publishPage publishes the documents of a page and returns the revision after which to watch next. It logs and skips
// documents that cannot be decoded.
func (d *Daemon) publishPage(page apstore.Page, after apstore.Revision) apstore.Revision {
	for _, value := range page.Values {
		doc, err := apstore.DecodeDocument(value)
		if err != nil {
			d.logger.WithError(err).WithFields(logrus.Fields{"Event": "DocumentBad", "Key": value.Key}).Error()
			continue
		}
		d.node.Publish(doc)
		after = max(after, value.Revision)
	}
	return after
}

// controlTick acquires or renews the control lease and, if this entry holds it, computes the intents of one tick and
// carries them out.
func (d *Daemon) controlTick(ctx context.Context, now time.Time) {
	d.controlMutex.Lock()
	defer d.controlMutex.Unlock()
	if d.isLeaving() || !d.joined.Load() || !d.state.Ready() {
		return
	}
	if !d.holdsLease() && d.otherEntryHoldsLease() {
		return
	}
	if d.state.RegressionError() != nil {
		return
	}
	grant := d.lease.Step(ctx, now)
	if d.leaseHeld.Swap(grant.Held) != grant.Held {
		d.logger.WithFields(logrus.Fields{"Event": "ControlLease", "Held": grant.Held, "Epoch": grant.Epoch}).Info()
	}
	if !grant.Held {
		return
	}
	started := time.Now()
	tables := d.state.Tables(now, grant.Epoch, d.allMembers())
	intents := d.control.Step(tables)
	metrics.GetOrRegisterTimer("Control.Tick", d.metrics).UpdateSince(started)
	d.executor.Run(ctx, intents, func() bool { return d.lease.Held(time.Now()).Held })
}

// otherEntryHoldsLease reports whether another live entry reports that it holds the control lease. It saves asking the
// store for a lease that is taken.
func (d *Daemon) otherEntryHoldsLease() bool {
	for _, member := range d.node.Members() {
		if member.Name != d.self.Name && member.State == apmesh.MemberAlive && member.Report.HoldsControlLease {
			return true
		}
	}
	return false
}

// allMembers returns all known entries, whatever their state, this one included.
func (d *Daemon) allMembers() []apmesh.Member {
	self := apmesh.Member{Registration: d.self, Report: d.report()}
	return append(d.node.Known(), self)
}

// join registers this entry and loads the documents from the store, and retries until both succeed. While the store is
// unavailable, the documents come from peers.
func (d *Daemon) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.tryJoin(ctx)
		if err == nil {
			d.joined.Store(true)
			d.logger.WithFields(logrus.Fields{"Event": "Joined", "Entry": d.self.Name, "Incarnation": d.self.Incarnation}).Info()
			return
		}
		d.logger.WithError(err).WithField("Event", "JoinFailed").Warn()
		d.enableClaimsFromPeers()
		apstore.Sleep(ctx, joinRetryDelay)
	}
}

// tryJoin makes one attempt to register this entry and to load the documents from the store.
func (d *Daemon) tryJoin(ctx context.Context) error {
	doc, err := d.client.Update(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Join(time.Now().UTC(), d.self, d.viewWindow())), nil
	})
	if err != nil {
		return err
	}
	known := d.state.Revision()
	page, err := d.store.List(ctx, apfleet.KeyPrefix)
	if err != nil {
		return err
	}
	d.state.CheckStoreRevision(page.Revision, known)
	d.publishPage(page, 0)
	d.node.Publish(doc)
	d.enableClaims()
	return d.createSettings(ctx)
}

// enableClaimsFromPeers enables claims while the store is unavailable, if peers have sent the registered entries.
func (d *Daemon) enableClaimsFromPeers() {
	if registry := d.state.Registry(); len(registry.Entries) > 0 {
		d.enableClaims()
	}
}

// enableClaims lets this entry claim request ids. It needs the registered entries, because they determine which entry
// owns an id.
func (d *Daemon) enableClaims() {
	registry := d.state.Registry()
	d.node.AddEntries(registry.Entries)
	d.claimant.SetRegistry(registry)
	if d.claimsEnabled.CompareAndSwap(false, true) {
		d.claimant.SetMesh(d.node)
	}
}

// viewWindow returns how long former views of the registry are remembered.
func (d *Daemon) viewWindow() time.Duration {
	settings, _ := d.state.Settings()
	return settings.ViewWindow(d.config.Entry.Deployment)
}

// createSettings writes the initial settings if the deployment has none. If another entry writes them first, it uses
// those.
func (d *Daemon) createSettings(ctx context.Context) error {
	if _, revision := d.state.Settings(); revision != 0 || d.initialSettings == nil {
		return nil
	}
	doc, err := d.client.UpdateAt(ctx, apfleet.KeySettings, 0, func(apstore.Document) ([]byte, error) {
		return apfleet.Encode(*d.initialSettings), nil
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

// leave shuts down gracefully: it fails the health check, refuses new requests, releases the control lease, completes
// the requests in flight, hands over its claims, and removes its registration.
func (d *Daemon) leave(ctx context.Context, s servers) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	close(d.leaving)
	d.logger.WithFields(logrus.Fields{"Event": "Leaving", "Entry": d.self.Name, "InFlight": d.entry.InFlight()}).Info()
	apstore.Sleep(ctx, leaveNoticePeriod)
	d.entry.StopAccepting()
	d.releaseLease(ctx)
	_ = s.caller.Shutdown(ctx)
	_ = d.entry.WaitForAttempts()
	handedOver := d.claimant.HandOver(ctx)
	if d.joined.Load() {
		d.deregister(ctx, handedOver)
	}
	d.node.Leave(ctx, apmesh.Left{Member: d.self.Member()})
	_ = s.operator.Shutdown(ctx)
	_ = s.mesh.Close()
	d.logger.WithFields(logrus.Fields{"Event": "Left", "Entry": d.self.Name, "HandedOver": handedOver}).Info()
}

// releaseLease releases the control lease after the running control tick has ended.
func (d *Daemon) releaseLease(ctx context.Context) {
	d.controlMutex.Lock()
	defer d.controlMutex.Unlock()
	d.leaseHeld.Store(false)
	if err := d.lease.Release(ctx); err != nil {
		d.logger.WithError(err).WithField("Event", "LeaseNotReleased").Warn()
	}
}

// deregister removes this entry from the registry.
func (d *Daemon) deregister(ctx context.Context, handedOver bool) {
	doc, err := d.client.Update(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Leave(time.Now().UTC(), d.self.Member(), handedOver, d.viewWindow())), nil
	})
	if err != nil {
		d.logger.WithError(err).WithField("Event", "NotDeregistered").Warn()
		return
	}
	d.node.Publish(doc)
}
