package apmachine

import (
	"time"

	"auburnport/pkg/apfleet"
)

const (
	// moveLeadTime is the time from ordering a machine's move to the start of its first task. It includes the move
	// itself, the registration of the worker and its first report.
	moveLeadTime = 2200 * time.Millisecond
	// forecastHorizon is the time within which the work that will be queued when the machines arrive should begin.
	forecastHorizon = time.Second
	// maxTrendAge is the age from which a trend is ignored.
	maxTrendAge = time.Second
)

// Trend describes how fast the queued work of a pool grows.
type Trend struct {
	// ReportedAt and Queued come from the pool's last report.
	ReportedAt time.Time
	Queued     int64
	// Growth is the growth between the last two reports, in thousandths of a core-second per second.
	// PreviousGrowth is that between the two before.
	Growth, PreviousGrowth float64
}

// updateTrends updates the trends of the pools that have sent a new report.
func (t *Tables) updateTrends() {
	if t.Trends == nil {
		t.Trends = make(map[apfleet.ServiceName]Trend)
	}
	for name, pool := range t.Pools {
		last := t.Trends[name]
		if !pool.ReceivedAt.After(last.ReportedAt) {
			continue
		}
		next := Trend{ReportedAt: pool.ReceivedAt, Queued: pool.QueuedWork}
		if elapsed := pool.ReceivedAt.Sub(last.ReportedAt); elapsed < maxTrendAge {
			next.PreviousGrowth = last.Growth
			next.Growth = float64(pool.QueuedWork-last.Queued) / elapsed.Seconds()
		}
		t.Trends[name] = next
	}
}

// forecastQueued returns the work that is expected to be queued when machines that are ordered now arrive. At the
// start of a peak a queue grows to several times its mean within a second, so machines ordered for the present
// queue would arrive seconds late. Growth counts only if it lasts for two reports, because a single large job is
// no trend.
func (t *Tables) forecastQueued(pool apfleet.ServiceName) float64 {
	trend := t.Trends[pool]
	queued := float64(t.Pools[pool].QueuedWork)
	if t.Now.Sub(trend.ReportedAt) >= maxTrendAge {
		return queued
	}
	return queued + max(0, min(trend.Growth, trend.PreviousGrowth))*moveLeadTime.Seconds()
}
