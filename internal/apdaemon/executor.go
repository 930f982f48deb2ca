package apdaemon

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apstore"
)

// Publisher spreads documents.
type Publisher interface {
	Publish(doc apstore.Document)
}

// Executor carries intents out.
type Executor struct {
	client    *apstore.Client
	pools     applatform.Pools
	publisher Publisher
	logger    *logrus.Logger
	metrics   metrics.Registry
	// confirmed holds the orders that the platform accepted lately, which need no second call.
	confirmed map[orderKey]time.Time
}

// orderKey names an order to the platform.
type orderKey struct {
	vm     apfleet.VMID
	number uint64
}

// NewExecutor returns an Executor.
func NewExecutor(client *apstore.Client, pools applatform.Pools, node *apmesh.Node, logger *logrus.Logger, registry metrics.Registry) *Executor {
	return &Executor{
		client: client, pools: pools, publisher: node, logger: logger, metrics: registry,
		confirmed: make(map[orderKey]time.Time),
	}
}

const repeatOrderAfter = 2 * time.Second

// Run carries intents out one after the other while the lease is held.
func (x *Executor) Run(ctx context.Context, intents []apcontrol.Intent, held func() bool) {
	for _, intent := range intents {
		if !held() {
			return
		}
		if order, ok := intent.(apcontrol.PlatformOrder); ok && x.repeated(order) {
			continue
		}
		err := x.execute(ctx, intent)
		x.log(intent, err)
	}
}

// repeated reports whether the platform accepted the same order a moment ago.
func (x *Executor) repeated(order apcontrol.PlatformOrder) bool {
	now := time.Now()
	for key, at := range x.confirmed {
		if now.Sub(at) > repeatOrderAfter {
			delete(x.confirmed, key)
		}
	}
	_, ok := x.confirmed[orderKey{order.VM, order.Number}]
	return ok
}

func (x *Executor) execute(ctx context.Context, intent apcontrol.Intent) error {
	switch i := intent.(type) {
	case apcontrol.AssignOwners:
		return x.assign(ctx, i)
	case apcontrol.SwapOwner:
		return x.swapOwner(ctx, i)
	case apcontrol.OpenDisruptions:
		return x.open(ctx, i)
	case apcontrol.CloseDisruption:
		return x.close(ctx, i)
	case apcontrol.PlatformOrder:
		return x.order(ctx, i)
	case apcontrol.PauseWave:
		return x.changeWave(ctx, func(w *apfleet.Wave) { w.Paused, w.Reason = true, i.Reason })
	case apcontrol.EndWave:
		return x.changeWave(ctx, func(w *apfleet.Wave) { w.Ended = time.Now().UTC() })
	case apcontrol.Unregister:
		return x.unregister(ctx, i)
	default:
		return apcode.Errorf(apcode.BadMessage, "unknown intent %T", intent)
	}
}

// log writes one line for each decision; stops that are opened together have a line each.
func (x *Executor) log(intent apcontrol.Intent, err error) {
	if opened, ok := intent.(apcontrol.OpenDisruptions); ok {
		for _, row := range opened.Rows {
			x.logLine(logrus.Fields{
				"Event": "OpenDisruption", "Pool": opened.Pool, "VM": row.VM, "Kind": row.Kind, "Target": row.Target, "Reason": row.Reason,
			}, err)
		}
		return
	}
	x.logLine(intentFields(intent), err)
}

func (x *Executor) logLine(fields logrus.Fields, err error) {
	line := x.logger.WithFields(fields)
	metrics.GetOrRegisterCounter("Control.Intents", x.metrics).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("Control.FailedIntents", x.metrics).Inc(1)
		line.WithError(err).WithField("Code", uint16(apcode.Of(err))).Warn()
		return
	}
	line.Info()
}

func intentFields(intent apcontrol.Intent) logrus.Fields {
	switch i := intent.(type) {
	case apcontrol.AssignOwners:
		return logrus.Fields{"Event": "AssignOwners", "DataCentre": i.DataCentre, "VMs": len(i.Owners)}
	case apcontrol.SwapOwner:
		return logrus.Fields{"Event": "SwapOwner", "VM": i.VM, "From": i.From, "To": i.To}
	case apcontrol.CloseDisruption:
		return logrus.Fields{"Event": "CloseDisruption", "Pool": i.Pool, "VM": i.VM, "Reason": i.Reason}
	case apcontrol.PlatformOrder:
		return logrus.Fields{"Event": "PlatformOrder", "Order": i.Order, "VM": i.VM, "Number": i.Number, "Service": i.Service}
	case apcontrol.PauseWave:
		return logrus.Fields{"Event": "PauseWave", "Reason": i.Reason}
	case apcontrol.Unregister:
		return logrus.Fields{"Event": "Unregister", "Entry": i.Member.Name}
	default:
		return logrus.Fields{"Event": "EndWave"}
	}
}

func (x *Executor) assign(ctx context.Context, i apcontrol.AssignOwners) error {
	return x.swapAt(ctx, apfleet.OwnersKey(i.DataCentre), i.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Ownership{DataCentre: i.DataCentre, Owners: make(apfleet.OwnerTable)}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		for vm, pool := range i.Owners {
			if _, owned := table.Owners[vm]; !owned {
				table.Owners[vm] = pool
			}
		}
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) swapOwner(ctx context.Context, i apcontrol.SwapOwner) error {
	return x.update(ctx, apfleet.OwnersKey(i.DataCentre), func(doc apstore.Document) ([]byte, error) {
		var table apfleet.Ownership
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		if owner := table.Owners[i.VM]; owner != i.From {
			return nil, apcode.Errorf(apcode.StoreConflict, "%s belongs to %s, not to %s", i.VM, owner, i.From)
		}
		table.Owners[i.VM] = i.To
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) open(ctx context.Context, i apcontrol.OpenDisruptions) error {
	return x.swapAt(ctx, apfleet.DisruptionsKey(i.Pool), i.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: i.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		for _, row := range i.Rows {
			if _, ok := table.Find(row.VM); ok {
				return nil, apcode.Errorf(apcode.VMDisrupted, "%s", row.VM)
			}
			table.Rows = append(table.Rows, row)
		}
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) close(ctx context.Context, i apcontrol.CloseDisruption) error {
	return x.update(ctx, apfleet.DisruptionsKey(i.Pool), func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: i.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		return apfleet.Encode(table.Without(i.VM)), nil
	})
}

func (x *Executor) order(ctx context.Context, i apcontrol.PlatformOrder) error {
	operation := applatform.Operation{VM: i.VM, Number: i.Number, Service: i.Service}
	var err error
	switch i.Order {
	case apcontrol.OrderDrain:
		err = x.pools.Drain(ctx, operation)
	case apcontrol.OrderRestart:
		err = x.pools.Restart(ctx, operation)
	case apcontrol.OrderReturn:
		err = x.pools.Return(ctx, operation)
	}
	if err == nil {
		x.confirmed[orderKey{i.VM, i.Number}] = time.Now()
	}
	return err
}

func (x *Executor) changeWave(ctx context.Context, change func(*apfleet.Wave)) error {
	return x.update(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var wave apfleet.Wave
		if err := apfleet.Decode(doc.Body, &wave); err != nil {
			return nil, err
		}
		change(&wave)
		return apfleet.Encode(wave), nil
	})
}

func (x *Executor) unregister(ctx context.Context, i apcontrol.Unregister) error {
	return x.update(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Leave(time.Now().UTC(), i.Member, false, i.Window)), nil
	})
}

func (x *Executor) swapAt(ctx context.Context, key apfleet.Key, at apstore.Revision, change apstore.Change) error {
	doc, err := x.client.SwapAt(ctx, key, at, change)
	return x.publish(doc, err)
}

func (x *Executor) update(ctx context.Context, key apfleet.Key, change apstore.Change) error {
	doc, err := x.client.Update(ctx, key, change)
	return x.publish(doc, err)
}

func (x *Executor) publish(doc apstore.Document, err error) error {
	if err == nil {
		x.publisher.Publish(doc)
	}
	return err
}

// decodeOptional decodes a body unless it is empty.
func decodeOptional[T apfleet.Checker](body []byte, value *T) error {
	if len(body) == 0 {
		return nil
	}
	return apfleet.Decode(body, value)
}
