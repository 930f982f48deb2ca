package apcontrol

import "time"

// Options configures a Control.
type Options struct {
	// Policy decides which VMs move between pools.
	Policy Policy
	// UnregisterAfter is how long an entry must be dead before it is unregistered, so that disruptions no
	// longer wait for it.
	UnregisterAfter time.Duration
	// Balance configures the balancer's policies.
	Balance BalanceOptions
}

// Option sets a field of Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{Policy: Planned{}, UnregisterAfter: 10 * time.Second, Balance: DefaultBalanceOptions()}
}

// WithPolicy sets the policy that decides moves between pools.
func WithPolicy(policy Policy) Option {
	return func(o *Options) { o.Policy = policy }
}

// WithBalance configures the balancer's policies.
func WithBalance(balance BalanceOptions) Option {
	return func(o *Options) { o.Balance = balance }
}
