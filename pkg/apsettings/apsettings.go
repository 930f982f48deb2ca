// Package apsettings implements the settings tree, in which a node inherits every setting that it does
// not set itself.
package apsettings

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Values holds the settings that one node sets. A nil field is inherited.
type Values struct {
	// IdempotentMethods lists the HTTP methods whose requests may run more than once; requests with any
	// other method are non-idempotent.
	IdempotentMethods *[]string `toml:"IdempotentMethods,omitempty" cbor:"IdempotentMethods,omitempty"`
	// Deadline limits the time until a caller is answered; it is positive.
	Deadline *Duration `toml:"Deadline,omitempty" cbor:"Deadline,omitempty"`
	// AttemptTimeout limits one attempt to send an idempotent request; it is positive.
	AttemptTimeout *Duration `toml:"AttemptTimeout,omitempty" cbor:"AttemptTimeout,omitempty"`
	// Linger is how long an attempt whose time limit has passed continues in the background, so that its
	// outcome becomes known; it is positive.
	Linger *Duration `toml:"Linger,omitempty" cbor:"Linger,omitempty"`
	// ConnectionFresh is how long an idle connection is considered usable before it is closed; it is positive.
	ConnectionFresh *Duration `toml:"ConnectionFresh,omitempty" cbor:"ConnectionFresh,omitempty"`
	// MaxAttempts is the maximum number of attempts to send one request; at least 1.
	MaxAttempts *int `toml:"MaxAttempts,omitempty" cbor:"MaxAttempts,omitempty"`
	// RetryShare is the number of retries allowed per new request, from 0 to 1; unused retries are saved up to a
	// fixed number.
	RetryShare *float64 `toml:"RetryShare,omitempty" cbor:"RetryShare,omitempty"`
	// QueueLimit is the maximum number of requests that wait at one entry for one service; at least 0.
	QueueLimit *int `toml:"QueueLimit,omitempty" cbor:"QueueLimit,omitempty"`
	// MaxBody is the maximum size of a request body in bytes; at least 0.
	MaxBody *int `toml:"MaxBody,omitempty" cbor:"MaxBody,omitempty"`
	// Slots is the number of requests that an instance runs concurrently; at least 1.
	Slots *int `toml:"Slots,omitempty" cbor:"Slots,omitempty"`
	// Connections is the number of connections that an instance accepts from all entries together; at least 1.
	Connections *int `toml:"Connections,omitempty" cbor:"Connections,omitempty"`
	// EjectShare is the maximum share of a service's instances that may be ejected from routing, from 0 to 1.
	EjectShare *float64 `toml:"EjectShare,omitempty" cbor:"EjectShare,omitempty"`
	// Size is the number of VMs that the pool is planned to have; at least 0.
	Size *int `toml:"Size,omitempty" cbor:"Size,omitempty"`
	// MinAvailable is the availability budget: the number of VMs that planned stops always leave available;
	// at least 0.
	MinAvailable *int `toml:"MinAvailable,omitempty" cbor:"MinAvailable,omitempty"`
	// RackReserve makes planned stops keep the availability budget even if the pool's largest rack fails
	// during a planned stop.
	RackReserve *bool `toml:"RackReserve,omitempty" cbor:"RackReserve,omitempty"`
	// Spare marks the spare pool, from which other pools borrow VMs.
	Spare *bool `toml:"Spare,omitempty" cbor:"Spare,omitempty"`
	// DrainTimeout is the time after which an incomplete drain is rolled back; it is positive.
	DrainTimeout *Duration `toml:"DrainTimeout,omitempty" cbor:"DrainTimeout,omitempty"`
	// WaveParallel is the maximum number of VMs that a maintenance wave stops at the same time; at least 1.
	WaveParallel *int `toml:"WaveParallel,omitempty" cbor:"WaveParallel,omitempty"`
	// BufferWeight is the cost of keeping one VM idle for an hour. It is checked and stored, but no policy uses it.
	BufferWeight *float64 `toml:"BufferWeight,omitempty" cbor:"BufferWeight,omitempty"`
	// MoveWeight is the cost of moving one VM to another pool, in the unit of apcontrol's ShortfallWeight.
	MoveWeight *float64 `toml:"MoveWeight,omitempty" cbor:"MoveWeight,omitempty"`
	// ExpectedTurn is the expected duration of a pool's demand peak, used until one has been observed; 0 if
	// unknown.
	ExpectedTurn *Duration `toml:"ExpectedTurn,omitempty" cbor:"ExpectedTurn,omitempty"`
	// ClaimWindow is how long a request id is remembered; it is positive.
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

// Defaults returns the built-in settings, which are in force in a tree without nodes.
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

// Tree is the whole settings tree, which the store keeps as one value.
type Tree struct {
	// Nodes holds the nodes by path. Check rejects a malformed path.
	Nodes NodeTable `toml:"Nodes" cbor:"Nodes"`
}

// Check returns BadPath or BadValue for the first invalid node in path order, or else DuplicateKey for a
// service that is assigned twice.
func (t Tree) Check() error {
	for _, path := range t.Paths() {
		if err := path.Check(); err != nil {
			return err
		}
		if err := t.Nodes[path].check(path); err != nil {
			return err
		}
	}
	return t.checkServiceNames()
}

// checkServiceNames returns DuplicateKey if two services have the same name, even in different deployments. Nodes for
// one data centre do not count: they belong to the same service.
func (t Tree) checkServiceNames() error {
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

// Paths returns the paths of all nodes, sorted.
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

// Resolve returns the settings in force at a path. Each value comes from the nearest node that sets it.
// At the same depth, the node of the path's data centre takes precedence over that of any data centre.
func (t Tree) Resolve(path Path) Resolved {
	resolved := Defaults()
	out := reflect.ValueOf(&resolved).Elem()
	chain := path.inheritanceChain()
	for i := len(chain) - 1; i >= 0; i-- {
		node, ok := t.Nodes[chain[i]]
		if !ok {
			continue
		}
		applyNode(out, reflect.ValueOf(node))
	}
	return resolved
}

// applyNode copies the fields that a node sets to the fields of the same name in out.
func applyNode(out, node reflect.Value) {
	for i := range node.NumField() {
		field := node.Field(i)
		if field.IsNil() {
			continue
		}
		target := out.FieldByName(node.Type().Field(i).Name)
		target.Set(field.Elem().Convert(target.Type()))
	}
}

// Origin is a value in force and the node that sets it.
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
		origins = append(origins, Origin{Key: key, Value: formatValue(resolved.Field(i)), Path: t.definingNode(path, key)})
	}
	return origins
}

// definingNode returns the path of the node from which a path gets the value of a key, or "" if the value is
// the default.
func (t Tree) definingNode(path Path, key string) Path {
	for _, p := range path.inheritanceChain() {
		node, ok := t.Nodes[p]
		if ok && !reflect.ValueOf(node).FieldByName(key).IsNil() {
			return p
		}
	}
	return ""
}

// Keys returns the names of all settings.
func Keys() []string {
	valuesType := reflect.TypeFor[Values]()
	keys := make([]string, 0, valuesType.NumField())
	for i := range valuesType.NumField() {
		keys = append(keys, valuesType.Field(i).Name)
	}
	return keys
}

func unknownKeyError(key string) error {
	return apcode.Errorf(apcode.UnknownKey, "key %q is not known; the known keys are %s", key, strings.Join(Keys(), ", "))
}

// maxClockSkew is added to the view window, because the times of views and claims come from the clocks of different
// entries.
const maxClockSkew = time.Minute

// ViewWindow returns how long former views of the registry of entries are remembered. It covers the longest
// time for which any service of the deployment remembers request ids.
func (t Tree) ViewWindow(deployment string) time.Duration {
	window := t.Resolve(Path("/" + deployment)).ClaimWindow
	for _, path := range t.Services(deployment) {
		window = max(window, t.Resolve(path).ClaimWindow)
	}
	return window + maxClockSkew
}
