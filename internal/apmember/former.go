package apmember

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"auburnport/internal/aplog"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
)

const (
	// formerCheckInterval is how often a change of the settings is looked for. It costs no call.
	formerCheckInterval = time.Second
	// formerScanInterval is the time between two scans while a shard may be a former one.
	formerScanInterval = 10 * time.Second
	// formerSettleTime is how long after a change of the settings a job may still be stored in the shard of a removed
	// service: entries use older settings for some seconds, and a write may be carried out late.
	formerSettleTime = 30 * time.Second
)

// Former finds the shards that hold jobs, or have workers, although no pool in force has their name. It reads the store after a change of the
// settings, and while there are such shards. Use NewFormer.
type Former struct {
	store  apstore.TransactionalStore
	log    aplog.EventFunc
	shards atomic.Pointer[[]apjournal.Shard]

	// version is that of the settings at the last scan, changedAt when it was first seen.
	version   uint64
	changedAt time.Time
	scannedAt time.Time
	// listed means that the last scan found a shard without a pool in force, whether it needs an owner or not.
	listed bool
}

// NewFormer returns a Former that knows no shards yet.
func NewFormer(store apstore.TransactionalStore, log aplog.EventFunc) *Former {
	return &Former{store: store, log: log}
}

// Shards returns the shards found last.
func (f *Former) Shards() []apjournal.Shard {
	if found := f.shards.Load(); found != nil {
		return *found
	}
	return nil
}

// Run looks for shards until ctx ends. table returns the settings in force, or nil while there are none.
func (f *Former) Run(ctx context.Context, table func() *apqueue.Table) error {
	ticker := time.NewTicker(formerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			t := table()
			if t == nil {
				continue
			}
			f.noteVersion(t.Version, now)
			if f.due(now) {
				f.scan(ctx, t.Pools(), now)
			}
		}
	}
}

// noteVersion starts the scans that follow a change of the settings.
func (f *Former) noteVersion(version uint64, now time.Time) {
	if version != f.version {
		f.version, f.changedAt, f.scannedAt, f.listed = version, now, time.Time{}, true
	}
}

// due reports whether the store should be read now.
func (f *Former) due(now time.Time) bool {
	if now.Sub(f.scannedAt) < formerScanInterval {
		return false
	}
	return len(f.Shards()) > 0 || f.listed && now.Sub(f.changedAt) < formerSettleTime
}

func (f *Former) scan(ctx context.Context, pools []apfleet.ServiceName, now time.Time) {
	page, err := f.store.Scan(ctx, apjournal.PrefixWaiting)
	if err != nil {
		f.log("FormerShardsUnread", map[string]any{"Error": err})
		return
	}
	f.scannedAt, f.listed = now, false
	var found []apjournal.Shard
	for _, value := range page.Values {
		shard, ok := apjournal.ParseWaitingKey(value.Key)
		if !ok || slices.Contains(pools, apfleet.ServiceName(shard)) {
			continue
		}
		f.listed = true
		var counts apjournal.WaitingCounts
		if apfleet.Decode(value.Data, &counts) == nil && (counts.HoldsJobs || counts.HasWorkers) {
			found = append(found, shard)
		}
	}
	if !slices.Equal(found, f.Shards()) {
		f.log("FormerShards", map[string]any{"Shards": found})
	}
	f.shards.Store(&found)
}
