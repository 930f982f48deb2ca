package apowner

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// followInbox passes new jobs and requests to cancel to the loop.
func (o *Owner) followInbox(ctx context.Context) error {
	tail := apstore.Tail{Ledger: o.config.Ledger, Prefix: apjournal.InboxPrefix(o.config.Shard), Wait: watchWait, Backoff: watchBackoff}
	return tail.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			o.config.Log("InboxUnread", map[string]any{"Shard": o.config.Shard, "Error": update.Err})
			return
		}
		o.post(ctx, func(now time.Time) { o.inbox(update, now) })
	})
}

func (o *Owner) inbox(update apstore.Update, now time.Time) {
	for _, event := range update.Events {
		id, cancel, ok := apjournal.InboxID(o.config.Shard, event.Value.Key)
		if !ok || cancel || event.Removed || o.shard.Has(id) {
			continue
		}
		job, err := apjournal.DecodeJob(event.Value.Data)
		if err != nil {
			o.config.Log("JobUnreadable", map[string]any{"Job": id, "Error": err})
			continue
		}
		age := min(max(time.Since(job.Submitted), 0), time.Second)
		o.shard.Submit(job, age, now)
	}
	for _, event := range update.Events {
		if id, cancel, ok := apjournal.InboxID(o.config.Shard, event.Value.Key); ok && cancel && !event.Removed {
			o.shard.Cancel(id, now)
		}
	}
}

// followWorkers passes registrations of the shard's workers to the loop.
func (o *Owner) followWorkers(ctx context.Context) error {
	tail := apstore.Tail{
		Ledger: o.config.Ledger, Prefix: o.config.Registry.Prefix(), Wait: watchWait, Gap: registryGap, Backoff: watchBackoff,
	}
	return tail.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			o.config.Log("WorkersUnread", map[string]any{"Shard": o.config.Shard, "Error": update.Err})
			return
		}
		o.post(ctx, func(now time.Time) { o.register(update, now) })
	})
}

func (o *Owner) register(update apstore.Update, now time.Time) {
	o.holdDue = true
	present := make(map[apjob.WorkerID]bool)
	for _, event := range update.Events {
		id := o.config.Registry.ID(event.Value.Key)
		if event.Removed {
			o.shard.Unregister(id)
			continue
		}
		info, err := o.config.Registry.Parse(event.Value.Key, event.Value.Data)
		if err != nil {
			o.config.Log("WorkerUnreadable", map[string]any{"Worker": id, "Error": err})
			continue
		}
		if info.Service != apfleet.ServiceName(o.config.Shard) {
			o.shard.Unregister(id)
			continue
		}
		present[id] = true
		o.shard.Register(info, now)
	}
	if !update.Reset {
		return
	}
	for _, target := range o.shard.Workers() {
		if !present[target.ID] {
			o.shard.Unregister(target.ID)
		}
	}
}

// hold makes sure that every worker with runs, or that may get some, is held.
func (o *Owner) hold(ctx context.Context) {
	for _, target := range o.shard.Workers() {
		if o.held[target.ID] {
			continue
		}
		o.held[target.ID] = true
		o.calls.Go(func() error {
			o.holdWorker(ctx, target.ID)
			return nil
		})
	}
}

// question is one order to hold, or the end of holding.
type question struct {
	to    apworker.Target
	order apworker.HoldOrder
	more  bool
	// peers is how many workers the shard holds.
	peers int
}

// holdWorker asks one worker for reports until it is no longer wanted.
func (o *Owner) holdWorker(ctx context.Context, id apjob.WorkerID) {
	answers := make(chan question, 1)
	for {
		if !o.post(ctx, func(now time.Time) { answers <- o.question(id, now) }) {
			return
		}
		var next question
		select {
		case next = <-answers:
		case <-ctx.Done():
			return
		}
		if !next.more {
			return
		}
		asked := time.Now()
		report, err := o.config.Workers.Hold(ctx, next.to, next.order)
		if ctx.Err() != nil {
			return
		}
		o.post(ctx, func(now time.Time) { o.reported(id, report, err, asked, now) })
		apstore.Pause(ctx, holdPause(report, err, next.peers))
	}
}

// holdPause returns the pause before a worker is asked again. After ends it grows with the number of
// workers: on a large pool under a burst the ends of several tasks share a report.
func holdPause(report apworker.Report, err error, peers int) time.Duration {
	switch {
	case err != nil:
		return holdBackoff
	case len(report.Ended) > 0:
		return max(storeBackoff, time.Duration(peers)*reportShare)
	default:
		return 0
	}
}

func (o *Owner) question(id apjob.WorkerID, now time.Time) question {
	target, ok := o.shard.Target(id)
	if !ok {
		delete(o.held, id)
		return question{}
	}
	order, _ := o.shard.Hold(id, now)
	switch {
	case order.Deadline == 0:
	case o.shard.Busy(id):
		order.Wait = busyHold
	default:
		order.Wait = idleHold
	}
	return question{to: target, order: order, more: true, peers: len(o.held)}
}

func (o *Owner) reported(id apjob.WorkerID, report apworker.Report, err error, asked, now time.Time) {
	switch apcode.Of(err) {
	case apcode.OK:
		o.shard.Report(id, report, asked, now)
	case apcode.StaleFence:
		o.fatal = err
	case apcode.WorkerChanged, apcode.WorkerGone:
		o.shard.Gone(id, now)
	default:
		o.config.Log("WorkerSilent", map[string]any{"Shard": o.config.Shard, "Worker": id, "Error": err})
	}
}

// send carries out the orders that are due.
func (o *Owner) send(ctx context.Context, now time.Time) {
	orders := o.shard.NextOrders(now, maxOrders-o.underWay)
	o.underWay += len(orders)
	for _, order := range orders {
		o.calls.Go(func() error {
			began := time.Now()
			id, run, stop, err := o.carryOut(ctx, order)
			o.config.Observe("order", time.Since(began))
			o.post(ctx, func(now time.Time) {
				o.underWay--
				o.answered(id, run, stop, err, now)
			})
			return nil
		})
	}
	if full := o.underWay >= maxOrders; full != o.ordersFull {
		o.ordersFull = full
		o.config.Log("OrdersDelayed", map[string]any{"Shard": o.config.Shard, "UnderWay": o.underWay, "Delayed": full})
	}
}

func (o *Owner) carryOut(ctx context.Context, order apscheduler.Order) (apjob.WorkerID, apjob.RunKey, bool, error) {
	switch order := order.(type) {
	case apscheduler.Start:
		_, err := o.config.Workers.Start(ctx, order.To, order.Order)
		return order.To.ID, order.Order.Run, false, err
	case apscheduler.Stop:
		_, err := o.config.Workers.Stop(ctx, order.To, order.Order)
		return order.To.ID, order.Order.Run, true, err
	case apscheduler.Pace:
		_, err := o.config.Workers.Pace(ctx, order.To, order.Order)
		return order.To.ID, apjob.RunKey{}, false, err
	default:
		return "", apjob.RunKey{}, false, nil
	}
}

func (o *Owner) answered(id apjob.WorkerID, run apjob.RunKey, stop bool, err error, now time.Time) {
	if apcode.Is(err, apcode.StaleFence) {
		o.fatal = err
		return
	}
	o.shard.Answered(id, run, stop, err, now)
}

// ask puts the oldest question to the advisor, one at a time, for it serves an entry's calls in turn.
func (o *Owner) ask(ctx context.Context) {
	o.questions = append(o.questions, o.shard.TakeQuestions()...)
	if o.asking || o.config.Advisor == nil || len(o.questions) == 0 {
		return
	}
	o.asking = true
	question := o.questions[0]
	o.questions = o.questions[1:]
	o.calls.Go(func() error {
		began := time.Now()
		answer, err := o.config.Advisor.Advise(ctx, question.Step, question.Workers)
		o.config.Observe("advice", time.Since(began))
		o.post(ctx, func(now time.Time) {
			o.asking = false
			o.shard.Advise(question, answer, err, now)
		})
		return nil
	})
}
