package apcontrol

import "time"

// Options configure a Control.
type Options struct {
	// Policy decides moves between pools.
	Policy Policy
	// UnregisterAfter is how long an entry must be dead before planned stops no longer wait for it.
	UnregisterAfter time.Duration
	// Balance tunes the policy Planned.
	Balance BalanceOptions
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{Policy: Planned{}, UnregisterAfter: 10 * time.Second, Balance: DefaultBalanceOptions()}
}

// WithPolicy sets how moves between pools are decided.
func WithPolicy(policy Policy) Option {
	return func(o *Options) { o.Policy = policy }
}

// WithBalance tunes the policy Planned.
func WithBalance(balance BalanceOptions) Option {
	return func(o *Options) { o.Balance = balance }
}
