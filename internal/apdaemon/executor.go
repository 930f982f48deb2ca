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

// Publisher sends documents to the other entries.
type Publisher interface {
	// Publish applies a document here and sends it to the other entries.
	Publish(doc apstore.Document)
}

// Executor carries out the intents of the control loop: it writes documents and sends orders to the platform.
type Executor struct {
	client    *apstore.Client
	pools     applatform.Pools
	publisher Publisher
	logger    *logrus.Logger
	metrics   metrics.Registry
	// acceptedOrders holds when the platform last accepted each order. Orders accepted within orderRepeatInterval
	// are not sent again.
	acceptedOrders map[orderKey]time.Time
}

// orderKey identifies an order to the platform.
type orderKey struct {
	vm     apfleet.VMID
	number uint64
}

// NewExecutor returns an Executor that publishes the documents it writes to node.
func NewExecutor(client *apstore.Client, pools applatform.Pools, node *apmesh.Node, logger *logrus.Logger, registry metrics.Registry) *Executor {
	return &Executor{
		client: client, pools: pools, publisher: node, logger: logger, metrics: registry,
		acceptedOrders: make(map[orderKey]time.Time),
	}
}

// orderRepeatInterval is the shortest time between two calls for the same order.
const orderRepeatInterval = 2 * time.Second

// Run carries out intents one after another and stops when held reports that the control lease is lost.
func (x *Executor) Run(ctx context.Context, intents []apcontrol.Intent, held func() bool) {
	for _, intent := range intents {
		if !held() {
			return
		}
		if order, ok := intent.(apcontrol.PlatformOrder); ok && x.recentlyAccepted(order) {
			continue
		}
		err := x.execute(ctx, intent)
		x.logIntent(intent, err)
	}
}

// recentlyAccepted reports whether the platform accepted the same order within orderRepeatInterval. It forgets older
// orders.
func (x *Executor) recentlyAccepted(order apcontrol.PlatformOrder) bool {
	now := time.Now()
	for key, at := range x.acceptedOrders {
		if now.Sub(at) > orderRepeatInterval {
			delete(x.acceptedOrders, key)
		}
	}
	_, ok := x.acceptedOrders[orderKey{order.VM, order.Number}]
	return ok
}

func (x *Executor) execute(ctx context.Context, intent apcontrol.Intent) error {
	switch i := intent.(type) {
	case apcontrol.AssignOwners:
		return x.assignOwners(ctx, i)
	case apcontrol.SwapOwner:
		return x.swapOwner(ctx, i)
	case apcontrol.OpenDisruptions:
		return x.openDisruptions(ctx, i)
	case apcontrol.CloseDisruption:
		return x.closeDisruption(ctx, i)
	case apcontrol.PlatformOrder:
		return x.sendOrder(ctx, i)
	case apcontrol.PauseWave:
		return x.updateWave(ctx, func(w *apfleet.Wave) { w.Paused, w.Reason = true, i.Reason })
	case apcontrol.EndWave:
		return x.updateWave(ctx, func(w *apfleet.Wave) { w.Ended = time.Now().UTC() })
	case apcontrol.Unregister:
		return x.unregister(ctx, i)
	default:
		return apcode.Errorf(apcode.BadMessage, "unknown intent type %T", intent)
	}
}

// logIntent logs the outcome of an intent. Disruptions that are opened together get a line each.
func (x *Executor) logIntent(intent apcontrol.Intent, err error) {
	if opened, ok := intent.(apcontrol.OpenDisruptions); ok {
		for _, row := range opened.Rows {
			x.logOutcome(logrus.Fields{
				"Event": "OpenDisruption", "Pool": opened.Pool, "VM": row.VM, "Kind": row.Kind, "Target": row.Target, "Reason": row.Reason,
			}, err)
		}
		return
	}
	x.logOutcome(intentFields(intent), err)
}

// logOutcome logs one line and counts it; a failure is logged as a warning with its result code.
func (x *Executor) logOutcome(fields logrus.Fields, err error) {
	line := x.logger.WithFields(fields)
	metrics.GetOrRegisterCounter("Control.Intents", x.metrics).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("Control.FailedIntents", x.metrics).Inc(1)
		line.WithError(err).WithField("Code", uint16(apcode.Of(err))).Warn()
		return
	}
	line.Info()
}

// intentFields returns the log fields of an intent other than OpenDisruptions.
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

// assignOwners adds owners for VMs without one and leaves other owners as they are.
func (x *Executor) assignOwners(ctx context.Context, intent apcontrol.AssignOwners) error {
	return x.updateAt(ctx, apfleet.OwnersKey(intent.DataCentre), intent.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Ownership{DataCentre: intent.DataCentre, Owners: make(apfleet.OwnerTable)}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		for vm, pool := range intent.Owners {
			if _, owned := table.Owners[vm]; !owned {
				table.Owners[vm] = pool
			}
		}
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) swapOwner(ctx context.Context, intent apcontrol.SwapOwner) error {
	return x.updateDocument(ctx, apfleet.OwnersKey(intent.DataCentre), func(doc apstore.Document) ([]byte, error) {
		var table apfleet.Ownership
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		if owner := table.Owners[intent.VM]; owner != intent.From {
			return nil, apcode.Errorf(apcode.StoreConflict, "VM %s belongs to pool %s, not to %s", intent.VM, owner, intent.From)
		}
		table.Owners[intent.VM] = intent.To
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) openDisruptions(ctx context.Context, intent apcontrol.OpenDisruptions) error {
	return x.updateAt(ctx, apfleet.DisruptionsKey(intent.Pool), intent.Revision, func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: intent.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		for _, row := range intent.Rows {
			if _, ok := table.Find(row.VM); ok {
				return nil, apcode.Errorf(apcode.VMDisrupted, "VM %s already has a planned disruption", row.VM)
			}
			table.Rows = append(table.Rows, row)
		}
		return apfleet.Encode(table), nil
	})
}

func (x *Executor) closeDisruption(ctx context.Context, intent apcontrol.CloseDisruption) error {
	return x.updateDocument(ctx, apfleet.DisruptionsKey(intent.Pool), func(doc apstore.Document) ([]byte, error) {
		table := apfleet.Disruptions{Pool: intent.Pool}
		if err := decodeOptional(doc.Body, &table); err != nil {
			return nil, err
		}
		return apfleet.Encode(table.Without(intent.VM)), nil
	})
}

// sendOrder sends an order to the platform and remembers it if accepted.
func (x *Executor) sendOrder(ctx context.Context, intent apcontrol.PlatformOrder) error {
	operation := applatform.Operation{VM: intent.VM, Number: intent.Number, Service: intent.Service}
	var err error
	switch intent.Order {
	case apcontrol.OrderDrain:
		err = x.pools.Drain(ctx, operation)
	case apcontrol.OrderRestart:
		err = x.pools.Restart(ctx, operation)
	case apcontrol.OrderReturn:
		err = x.pools.Return(ctx, operation)
	}
	if err == nil {
		x.acceptedOrders[orderKey{intent.VM, intent.Number}] = time.Now()
	}
	return err
}

func (x *Executor) updateWave(ctx context.Context, change func(*apfleet.Wave)) error {
	return x.updateDocument(ctx, apfleet.KeyWave, func(doc apstore.Document) ([]byte, error) {
		var wave apfleet.Wave
		if err := apfleet.Decode(doc.Body, &wave); err != nil {
			return nil, err
		}
		change(&wave)
		return apfleet.Encode(wave), nil
	})
}

func (x *Executor) unregister(ctx context.Context, intent apcontrol.Unregister) error {
	return x.updateDocument(ctx, apfleet.KeyRegistry, func(doc apstore.Document) ([]byte, error) {
		var registry apfleet.Registry
		if err := decodeOptional(doc.Body, &registry); err != nil {
			return nil, err
		}
		return apfleet.Encode(registry.Leave(time.Now().UTC(), intent.Member, false, intent.Window)), nil
	})
}

func (x *Executor) updateAt(ctx context.Context, key apfleet.Key, at apstore.Revision, change apstore.Change) error {
	doc, err := x.client.UpdateAt(ctx, key, at, change)
	return x.publishOnSuccess(doc, err)
}

func (x *Executor) updateDocument(ctx context.Context, key apfleet.Key, change apstore.Change) error {
	doc, err := x.client.Update(ctx, key, change)
	return x.publishOnSuccess(doc, err)
}

// publishOnSuccess publishes doc if err is nil, and returns err.
func (x *Executor) publishOnSuccess(doc apstore.Document, err error) error {
	if err == nil {
		x.publisher.Publish(doc)
	}
	return err
}

// decodeOptional decodes body into value. An empty body leaves value unchanged.
func decodeOptional[T apfleet.Checker](body []byte, value *T) error {
	if len(body) == 0 {
		return nil
	}
	return apfleet.Decode(body, value)
}
