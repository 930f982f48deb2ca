package apowner

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// watchInbox posts new jobs and cancel requests to the loop.
func (o *Owner) watchInbox(ctx context.Context) error {
	watcher := apstore.Watcher{Store: o.config.Store, Prefix: apjournal.InboxPrefix(o.config.Shard), Timeout: watchTimeout, Backoff: watchBackoff}
	return watcher.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			o.config.Log("InboxUnread", map[string]any{"Shard": o.config.Shard, "Error": update.Err})
			return
		}
		o.post(ctx, func(now time.Time) { o.applyInbox(update, now) })
	})
}

// maxNewJobAge bounds the age of a job that arrives while this entry owns the shard. It is computed from the
// wall clock of another entry, which may be wrong.
const maxNewJobAge = time.Second

func (o *Owner) applyInbox(update apstore.Update, now time.Time) {
	for _, event := range update.Events {
		id, cancel, ok := apjournal.ParseInboxKey(o.config.Shard, event.Value.Key)
		if !ok || cancel || event.Removed || o.scheduler.HasJob(id) {
			continue
		}
		if progressKey := apjournal.ProgressKey(o.config.Shard, id); slices.Contains(o.unreadable, progressKey) {
			// The job isn't new: its tasks may be done.
			o.config.Log("JobUnreadable", map[string]any{"Job": id, "Key": progressKey})
			continue
		}
		job, err := apjournal.DecodeJob(event.Value.Data)
		if err != nil {
			o.config.Log("JobUnreadable", map[string]any{"Job": id, "Error": err})
			continue
		}
		age := min(max(time.Since(job.Submitted), 0), maxNewJobAge)
		o.scheduler.Submit(job, age, now)
	}
	for _, event := range update.Events {
		if id, cancel, ok := apjournal.ParseInboxKey(o.config.Shard, event.Value.Key); ok && cancel && !event.Removed {
			o.scheduler.Cancel(id, now)
		}
	}
}

// watchRegistrations posts changes of worker registrations to the loop.
func (o *Owner) watchRegistrations(ctx context.Context) error {
	watcher := apstore.Watcher{
		Store: o.config.Store, Prefix: o.config.Registry.Prefix(), Timeout: watchTimeout, Delay: registryPollInterval, Backoff: watchBackoff,
	}
	return watcher.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			o.config.Log("WorkersUnread", map[string]any{"Shard": o.config.Shard, "Error": update.Err})
			return
		}
		o.post(ctx, func(now time.Time) { o.applyRegistrations(update, now) })
	})
}

func (o *Owner) applyRegistrations(update apstore.Update, now time.Time) {
	o.pollDue = true
	present := make(map[apjob.WorkerID]bool)
	for _, event := range update.Events {
		id := o.config.Registry.ID(event.Value.Key)
		if event.Removed {
			o.scheduler.Unregister(id)
			continue
		}
		info, err := o.config.Registry.Parse(event.Value.Key, event.Value.Data)
		if err != nil {
			o.config.Log("WorkerUnreadable", map[string]any{"Worker": id, "Error": err})
			o.scheduler.Unregister(id)
			continue
		}
		if info.Service != apfleet.ServiceName(o.config.Shard) {
			o.scheduler.Unregister(id)
			continue
		}
		present[id] = true
		o.scheduler.Register(info, now)
	}
	if !update.Snapshot {
		return
	}
	for _, target := range o.scheduler.WorkersToPoll() {
		if !present[target.ID] {
			o.scheduler.Unregister(target.ID)
		}
	}
}

// pollWorkers starts a polling goroutine for every worker that the scheduler wants reports from and that has
// none.
func (o *Owner) pollWorkers(ctx context.Context) {
	for _, target := range o.scheduler.WorkersToPoll() {
		if o.polled[target.ID] != nil {
			continue
		}
		o.polled[target.ID] = func() {}
		o.calls.Go(func() error {
			o.pollWorker(ctx, target.ID)
			return nil
		})
	}
}

// pollRequest is the next poll of a worker. wanted is false when polling must stop.
type pollRequest struct {
	target apworker.Target
	order  apworker.PollOrder
	wanted bool
	// polledWorkers is the number of workers with a polling goroutine.
	polledWorkers int
	// ctx ends when the poll is given up. cancel must be called after it.
	ctx    context.Context //nolint:containedctx // made by the loop for one call of the polling goroutine.
	cancel context.CancelFunc
}

// pollWorker polls one worker until the scheduler no longer wants its reports.
func (o *Owner) pollWorker(ctx context.Context, id apjob.WorkerID) {
	requests := make(chan pollRequest, 1)
	for {
		if !o.post(ctx, func(now time.Time) { requests <- o.nextPoll(ctx, id, now) }) {
			return
		}
		var next pollRequest
		select {
		case next = <-requests:
		case <-ctx.Done():
			return
		}
		if !next.wanted {
			return
		}
		sentAt := time.Now()
		report, err := o.config.Workers.Poll(next.ctx, next.target, next.order)
		givenUp := next.ctx.Err() != nil
		next.cancel()
		if ctx.Err() != nil {
			return
		}
		o.post(ctx, func(now time.Time) { o.handleReport(id, next.order.Fence, report, err, sentAt, now) })
		if !givenUp {
			apstore.Sleep(ctx, pollDelay(report, err, next.polledWorkers))
		}
	}
}

// pollDelay returns the delay before a worker is polled again. After ended runs it grows with the number of
// workers, so that on a large pool under a burst the ends of several tasks share a report.
func pollDelay(report apworker.Report, err error, polledWorkers int) time.Duration {
	switch {
	case err != nil:
		return pollBackoff
	case len(report.Ends) > 0:
		return max(minEndedPollDelay, time.Duration(polledWorkers)*endedPollDelayPerWorker)
	default:
		return 0
	}
}

func (o *Owner) nextPoll(ctx context.Context, id apjob.WorkerID, now time.Time) pollRequest {
	target, ok := o.scheduler.PollTarget(id)
	if !ok {
		delete(o.polled, id)
		return pollRequest{}
	}
	order, _ := o.scheduler.Poll(id, now)
	switch {
	case !o.scheduler.WorkerAnswers(id, now):
	case o.scheduler.WorkerHasRuns(id) && order.Deadline == 0:
		order.Wait = unextendedPollTimeout
	case o.scheduler.WorkerHasRuns(id):
		order.Wait = busyPollTimeout
	default:
		order.Wait = idlePollTimeout
	}
	request := pollRequest{target: target, order: order, wanted: true, polledWorkers: len(o.polled)}
	request.ctx, request.cancel = context.WithCancel(ctx)
	o.polled[id] = request.cancel
	return request
}

func (o *Owner) handleReport(id apjob.WorkerID, fence uint64, report apworker.Report, err error, sentAt, now time.Time) {
	if err != nil {
		o.scheduler.PollFailed(id)
	}
	switch apcode.Of(err) {
	case apcode.OK:
		o.scheduler.ApplyReport(id, report, sentAt, now)
	case apcode.StaleFence:
		o.checkFence(id, fence, err)
	case apcode.WorkerGone:
		o.scheduler.WorkerUnreachable(id)
	case apcode.WorkerChanged:
		o.scheduler.WorkerReplaced(id, now)
	default:
		o.config.Log("WorkerSilent", map[string]any{"Shard": o.config.Shard, "Worker": id, "Error": err})
	}
}

// giveUpPoll ends the poll of a worker that may have restarted. The next poll has a higher fence, so that the present process
// refuses the earlier one, which would acknowledge its ends.
func (o *Owner) giveUpPoll(id apjob.WorkerID) {
	if cancel := o.polled[id]; cancel != nil {
		cancel()
	}
}

// checkFence ends the owner if a worker refused a call because of another owner's fence. A call that was overtaken by one
// under a raised fence of this owner is no sign of that.
func (o *Owner) checkFence(id apjob.WorkerID, fence uint64, err error) {
	if fence >= o.scheduler.Fence(id) {
		o.fatalErr = err
	}
}

// sendOrders sends the orders that are due, up to maxInFlightOrders at a time.
func (o *Owner) sendOrders(ctx context.Context, now time.Time) {
	orders := o.scheduler.NextOrders(now, maxInFlightOrders-o.inFlightOrders)
	o.inFlightOrders += len(orders)
	for _, order := range orders {
		select {
		case o.nextOrder <- order:
		default:
			o.calls.Go(func() error {
				o.runSender(ctx, order)
				return nil
			})
		}
	}
	if full := o.inFlightOrders >= maxInFlightOrders; full != o.ordersAtLimit {
		o.ordersAtLimit = full
		o.config.Log("OrdersDelayed", map[string]any{"Shard": o.config.Shard, "UnderWay": o.inFlightOrders, "Delayed": full})
	}
}

// runSender sends an order, and further ones as long as each comes within senderIdleTime after the one before. A call needs
// a deep stack, which each new goroutine would have to grow anew.
func (o *Owner) runSender(ctx context.Context, order apscheduler.Order) {
	idle := time.NewTimer(senderIdleTime)
	defer idle.Stop()
	for {
		started := time.Now()
		result := o.sendOrder(ctx, order)
		o.config.ObserveDuration("order", time.Since(started))
		o.post(ctx, func(now time.Time) {
			o.inFlightOrders--
			o.handleOrderResult(result, now)
		})
		idle.Reset(senderIdleTime)
		select {
		case order = <-o.nextOrder:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// orderResult is the result of a sent order. run is zero for a Pace order.
type orderResult struct {
	worker apjob.WorkerID
	run    apjob.RunKey
	fence  uint64
	// clock is the worker's clock in the answer; 0 if it had none.
	clock time.Duration
	stop  bool
	err   error
}

// sendOrder sends one order.
func (o *Owner) sendOrder(ctx context.Context, order apscheduler.Order) orderResult {
	switch order := order.(type) {
	case apscheduler.Start:
		reply, err := o.config.Workers.Start(ctx, order.To, order.Order)
		return orderResult{worker: order.To.ID, run: order.Order.Run, fence: order.Order.Fence, clock: reply.Clock, err: err}
	case apscheduler.Stop:
		reply, err := o.config.Workers.Stop(ctx, order.To, order.Order)
		return orderResult{worker: order.To.ID, run: order.Order.Run, fence: order.Order.Fence, clock: reply.Clock, stop: true, err: err}
	case apscheduler.Pace:
		_, err := o.config.Workers.Pace(ctx, order.To, order.Order)
		return orderResult{worker: order.To.ID, fence: order.Order.Fence, err: err}
	default:
		return orderResult{}
	}
}

func (o *Owner) handleOrderResult(result orderResult, now time.Time) {
	if apcode.Is(result.err, apcode.StaleFence) {
		o.checkFence(result.worker, result.fence, result.err)
	}
	if result.clock > 0 && o.scheduler.ObserveClock(result.worker, result.clock, now) {
		o.giveUpPoll(result.worker)
	}
	o.scheduler.OrderAnswered(result.worker, result.run, result.stop, result.err, now)
}

// advisorBackoff is the delay before the next question after one that wasn't answered.
const advisorBackoff = 200 * time.Millisecond

// askAdvisor sends the oldest question to the advisor. Only one is sent at a time because the advisor serves
// the calls of an entry one after another.
func (o *Owner) askAdvisor(ctx context.Context) {
	o.questions = append(o.questions, o.scheduler.TakeQuestions()...)
	if o.advisorBusy || o.config.Advisor == nil || len(o.questions) == 0 {
		return
	}
	advisor := o.config.Advisor()
	if advisor == nil {
		return
	}
	o.advisorBusy = true
	question := o.questions[0]
	o.questions = o.questions[1:]
	o.calls.Go(func() error {
		started := time.Now()
		answer, err := advisor.Advise(ctx, question.Step, question.Workers)
		o.config.ObserveDuration("advice", time.Since(started))
		if err != nil {
			apstore.Sleep(ctx, advisorBackoff)
		}
		o.post(ctx, func(now time.Time) {
			o.advisorBusy = false
			o.scheduler.ApplyAdvice(question, answer, err, now)
		})
		return nil
	})
}
