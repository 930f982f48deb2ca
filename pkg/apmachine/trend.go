package apmachine

import (
	"time"

	"auburnport/pkg/apfleet"
)

const (
	// lead is how long a machine takes from the order to its first task: the move, its registration and
	// its first report.
	lead = 2200 * time.Millisecond
	// forecastHorizon is the time within which work should begin that will be queued when machines come.
	forecastHorizon = time.Second
	// trendAge is the age from which a trend says nothing any more.
	trendAge = time.Second
)

// Trend is how fast a pool's queue grows, in thousandths of a core.
type Trend struct {
	// At and Queued are those of the last account of the pool.
	At     time.Time
	Queued int64
	// Growth is that between the last two accounts, Before that between the two before.
	Growth, Before float64
}

// observe notes the pools' accounts that are new.
func (t *Tables) observe() {
	if t.Trends == nil {
		t.Trends = make(map[apfleet.ServiceName]Trend)
	}
	for name, pool := range t.Pools {
		last := t.Trends[name]
		if !pool.SeenAt.After(last.At) {
			continue
		}
		next := Trend{At: pool.SeenAt, Queued: pool.Queued}
		if passed := pool.SeenAt.Sub(last.At); passed < trendAge {
			next.Before = last.Growth
			next.Growth = float64(pool.Queued-last.Queued) / passed.Seconds()
		}
		t.Trends[name] = next
	}
}

// forecast returns the work that will be queued when machines that are ordered now have come. It answers the
// start of a turn, in which a queue asks for several times its mean within a second: machines that follow the
// queue come seconds late. Only growth that lasts for two accounts counts, for a single large job ends by
// itself.
func (t *Tables) forecast(pool apfleet.ServiceName) float64 {
	trend := t.Trends[pool]
	queued := float64(t.Pools[pool].Queued)
	if t.Now.Sub(trend.At) >= trendAge {
		return queued
	}
	return queued + max(0, min(trend.Growth, trend.Before))*lead.Seconds()
}
