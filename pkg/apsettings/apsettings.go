// Package apsettings holds the tree of settings: each node inherits from its parent and overrides
// only what differs.
package apsettings

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Values are the settings of one node. A nil field is inherited.
type Values struct {
	// IdempotentMethods lists the HTTP methods that may be repeated; others are non-idempotent.
	IdempotentMethods *[]string `toml:"IdempotentMethods,omitempty" cbor:"IdempotentMethods,omitempty"`
	// Deadline is the time within which a caller is answered; it is positive.
	Deadline *Duration `toml:"Deadline,omitempty" cbor:"Deadline,omitempty"`
	// AttemptTimeout bounds one attempt of an idempotent request; it is positive.
	AttemptTimeout *Duration `toml:"AttemptTimeout,omitempty" cbor:"AttemptTimeout,omitempty"`
	// Linger is how long after the deadline an attempt is still awaited to learn its outcome.
	Linger *Duration `toml:"Linger,omitempty" cbor:"Linger,omitempty"`
	// ConnectionFresh is how long an idle connection counts as known to be live.
	ConnectionFresh *Duration `toml:"ConnectionFresh,omitempty" cbor:"ConnectionFresh,omitempty"`
	// MaxAttempts bounds the attempts of one request; at least 1.
	MaxAttempts *int `toml:"MaxAttempts,omitempty" cbor:"MaxAttempts,omitempty"`
	// RetryShare is the share of live requests that may be retries, 0 to 1.
	RetryShare *float64 `toml:"RetryShare,omitempty" cbor:"RetryShare,omitempty"`
	// QueueLimit bounds the requests that wait at one entry for one service; at least 0.
	QueueLimit *int `toml:"QueueLimit,omitempty" cbor:"QueueLimit,omitempty"`
	// MaxBody bounds a request's body in bytes.
	MaxBody *int `toml:"MaxBody,omitempty" cbor:"MaxBody,omitempty"`
	// Slots is how many requests an instance runs at once; at least 1.
	Slots *int `toml:"Slots,omitempty" cbor:"Slots,omitempty"`
	// Connections is how many connections an instance accepts from all entries; at least 1.
	Connections *int `toml:"Connections,omitempty" cbor:"Connections,omitempty"`
	// EjectShare is the greatest share of a service's instances that may be ejected, 0 to 1.
	EjectShare *float64 `toml:"EjectShare,omitempty" cbor:"EjectShare,omitempty"`
	// Size is the number of VMs that the pool is built for; at least 0.
	Size *int `toml:"Size,omitempty" cbor:"Size,omitempty"`
	// MinAvailable is the availability budget: planned stops keep at least as many VMs available.
	MinAvailable *int `toml:"MinAvailable,omitempty" cbor:"MinAvailable,omitempty"`
	// RackReserve keeps the budget even if the pool's largest rack fails during a planned stop.
	RackReserve *bool `toml:"RackReserve,omitempty" cbor:"RackReserve,omitempty"`
	// Spare marks the pool from which others borrow.
	Spare *bool `toml:"Spare,omitempty" cbor:"Spare,omitempty"`
	// DrainTimeout is after how long a drain that has not completed is rolled back.
	DrainTimeout *Duration `toml:"DrainTimeout,omitempty" cbor:"DrainTimeout,omitempty"`
	// WaveParallel bounds the VMs that a maintenance wave stops at once; at least 1.
	WaveParallel *int `toml:"WaveParallel,omitempty" cbor:"WaveParallel,omitempty"`
	// BufferWeight is the cost of one idle VM for an hour.
	BufferWeight *float64 `toml:"BufferWeight,omitempty" cbor:"BufferWeight,omitempty"`
	// MoveWeight is the cost of one move.
	MoveWeight *float64 `toml:"MoveWeight,omitempty" cbor:"MoveWeight,omitempty"`
	// ExpectedTurn is how long a pool's peak of demand is expected to last before any was seen; 0 when unknown.
	ExpectedTurn *Duration `toml:"ExpectedTurn,omitempty" cbor:"ExpectedTurn,omitempty"`
	// ClaimWindow is how long a request id is remembered.
	ClaimWindow *Duration `toml:"ClaimWindow,omitempty" cbor:"ClaimWindow,omitempty"`
}

// Resolved holds the settings in force at one node; every field is set.
type Resolved struct {
	IdempotentMethods []string
	Deadline          time.Duration
	AttemptTimeout    time.Duration
	Linger            time.Duration
	ConnectionFresh   time.Duration
	MaxAttempts       int
	RetryShare        float64
	QueueLimit        int
	MaxBody           int
	Slots             int
	Connections       int
	EjectShare        float64
	Size              int
	MinAvailable      int
	RackReserve       bool
	Spare             bool
	DrainTimeout      time.Duration
	WaveParallel      int
	BufferWeight      float64
	MoveWeight        float64
	ExpectedTurn      time.Duration
	ClaimWindow       time.Duration
}

// Defaults returns the settings of a tree without nodes.
func Defaults() Resolved {
	return Resolved{
		Deadline:        2 * time.Second,
		AttemptTimeout:  time.Second,
		Linger:          5 * time.Second,
		ConnectionFresh: 2 * time.Second,
		MaxAttempts:     3,
		RetryShare:      0.1,
		QueueLimit:      256,
		MaxBody:         1 << 20,
		Slots:           8,
		Connections:     64,
		EjectShare:      0.5,
		RackReserve:     true,
		DrainTimeout:    30 * time.Second,
		WaveParallel:    2,
		BufferWeight:    1,
		MoveWeight:      1,
		ClaimWindow:     10 * time.Minute,
	}
}

// NodeTable maps paths to nodes.
type NodeTable map[Path]Values

// Tree is the whole tree of settings and one value of the store.
type Tree struct {
	// Nodes holds no node with a malformed path.
	Nodes NodeTable `toml:"Nodes" cbor:"Nodes"`
}

// Check returns BadPath or BadValue for the first bad node in the order of paths.
func (t Tree) Check() error {
	for _, path := range t.Paths() {
		if err := path.Check(); err != nil {
			return err
		}
		if err := t.Nodes[path].check(path); err != nil {
			return err
		}
	}
	return t.checkNames()
}

// checkNames returns DuplicateKey for a pool or service name used at two places of one deployment.
func (t Tree) checkNames() error {
	seen := make(map[apfleet.ServiceName]Path)
	for _, path := range t.Paths() {
		if path.Depth() != DepthService || path.DataCentre() != AnyDataCentre {
			continue
		}
		if other, ok := seen[path.Service()]; ok {
			return apcode.Errorf(apcode.DuplicateKey, "service %s is assigned at %s and at %s", path.Service(), other, path)
		}
		seen[path.Service()] = path
	}
	return nil
}

// Paths returns the paths of all nodes in order.
func (t Tree) Paths() []Path {
	paths := make([]Path, 0, len(t.Nodes))
	for path := range t.Nodes {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

// Services returns the path of each service of a deployment.
func (t Tree) Services(deployment string) []Path {
	var paths []Path
	for _, path := range t.Paths() {
		if path.Deployment() == deployment && path.Depth() == DepthService && path.DataCentre() == AnyDataCentre {
			paths = append(paths, path)
		}
	}
	return paths
}

// Pools returns the path of each pool of a deployment.
func (t Tree) Pools(deployment string) []Path {
	var paths []Path
	for _, path := range t.Paths() {
		if path.Deployment() == deployment && path.Depth() == DepthPool && path.DataCentre() == AnyDataCentre {
			paths = append(paths, path)
		}
	}
	return paths
}

// ServiceOf returns the path of the service that is assigned to a pool.
func (t Tree) ServiceOf(deployment string, pool apfleet.PoolName) (Path, bool) {
	for _, path := range t.Services(deployment) {
		if path.Pool() == pool {
			return path, true
		}
	}
	return "", false
}

// Resolve returns the settings in force at a path: the nearest node that sets a value wins, and of
// two equally near ones that of the named data centre.
func (t Tree) Resolve(path Path) Resolved {
	resolved := Defaults()
	out := reflect.ValueOf(&resolved).Elem()
	chain := path.chain()
	for i := len(chain) - 1; i >= 0; i-- {
		node, ok := t.Nodes[chain[i]]
		if !ok {
			continue
		}
		overlay(out, reflect.ValueOf(node))
	}
	return resolved
}

// overlay copies the fields that a node sets.
func overlay(out, node reflect.Value) {
	for i := range node.NumField() {
		field := node.Field(i)
		if field.IsNil() {
			continue
		}
		target := out.FieldByName(node.Type().Field(i).Name)
		target.Set(field.Elem().Convert(target.Type()))
	}
}

// Origin tells where a value in force was set.
type Origin struct {
	Key   string `json:"Key"`
	Value string `json:"Value"`
	// Path is empty when the value is the built-in default.
	Path Path `json:"Path"`
}

// Explain returns each value in force at a path with the node that set it.
func (t Tree) Explain(path Path) []Origin {
	resolved := reflect.ValueOf(t.Resolve(path))
	origins := make([]Origin, 0, resolved.NumField())
	for i := range resolved.NumField() {
		key := resolved.Type().Field(i).Name
		origins = append(origins, Origin{Key: key, Value: formatValue(resolved.Field(i)), Path: t.setBy(path, key)})
	}
	return origins
}

func (t Tree) setBy(path Path, key string) Path {
	for _, p := range path.chain() {
		node, ok := t.Nodes[p]
		if ok && !reflect.ValueOf(node).FieldByName(key).IsNil() {
			return p
		}
	}
	return ""
}

// Keys returns the names of all settings.
func Keys() []string {
	kind := reflect.TypeFor[Values]()
	keys := make([]string, 0, kind.NumField())
	for i := range kind.NumField() {
		keys = append(keys, kind.Field(i).Name)
	}
	return keys
}

func unknownKey(key string) error {
	return apcode.Errorf(apcode.UnknownKey, "%q; known keys are %s", key, strings.Join(Keys(), ", "))
}

// clockMargin bounds the difference between the clocks of two entries.
const clockMargin = time.Minute

// ViewWindow returns how long former views of entries are remembered: as long as any service of the
// deployment remembers request ids.
func (t Tree) ViewWindow(deployment string) time.Duration {
	window := t.Resolve(Path("/" + deployment)).ClaimWindow
	for _, path := range t.Services(deployment) {
		window = max(window, t.Resolve(path).ClaimWindow)
	}
	return window + clockMargin
}
