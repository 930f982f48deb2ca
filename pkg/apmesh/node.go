package apmesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Version is the version of the mesh protocol.
const Version = "1"

// Only every heartbeatsPerHeardList-th heartbeat lists the members that the sender has heard, and only every
// heartbeatsPerPeerList-th one lists the addresses of members. DeadAfter must be longer than heartbeatsPerHeardList
// intervals, because the lists keep members from being declared dead.
const (
	heartbeatsPerHeardList = 4
	heartbeatsPerPeerList  = 20
)

// Path is the HTTP path at which entries accept connections from peers.
const Path = "/mesh"

// Node implements Mesh for one entry.
type Node struct {
	self         apfleet.Registration
	options      Options
	handler      Handler
	observer     Observer
	documents    *documents
	group        *errgroup.Group
	client       *http.Client
	nonces       *nonceCache
	pullRequests chan apfleet.EntryName
	// heartbeatCount is used by the heartbeatLoop goroutine only.
	heartbeatCount uint64

	mu         sync.Mutex
	membership *Membership
	peers      map[apfleet.EntryName]*peer
	reportFunc func() Report
	stopped    bool
	// accepted holds the connections opened by peers, with the functions that end them.
	accepted map[*websocket.Conn]context.CancelFunc
}

// New returns a Node. It connects to peers once Run is called.
func New(self apfleet.Registration, handler Handler, observer Observer, opts ...Option) *Node {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Node{
		self:         self,
		options:      options,
		handler:      handler,
		observer:     observer,
		documents:    newDocuments(),
		client:       &http.Client{Transport: &http.Transport{}},
		nonces:       newNonceCache(),
		membership:   NewMembership(self, opts...),
		peers:        make(map[apfleet.EntryName]*peer),
		accepted:     make(map[*websocket.Conn]context.CancelFunc),
		pullRequests: make(chan apfleet.EntryName, 1),
		reportFunc:   func() Report { return Report{} },
	}
}

// SetReport sets the function that returns this entry's report for each heartbeat.
func (n *Node) SetReport(report func() Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportFunc = report
}

// Run sends heartbeats and maintains connections to all known entries until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group = group
	n.mu.Unlock()
	group.Go(func() error { return n.heartbeatLoop(ctx) })
	group.Go(func() error { return n.seedLoop(ctx) })
	group.Go(func() error { return n.pullLoop(ctx) })
	defer context.AfterFunc(ctx, n.cancelAccepted)()
	return group.Wait()
}

// AddEntries adds entries to the membership.
func (n *Node) AddEntries(registrations []apfleet.Registration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, r := range registrations {
		n.membership.Learn(now, r)
	}
}

// Members implements Mesh.
func (n *Node) Members() []Member {
	report := n.currentReport()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := Member{Registration: n.self, Report: report}
	return append(n.membership.Members(), self)
}

// Known returns all remembered entries in any state, excluding this one.
func (n *Node) Known() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Known()
}

// Document implements Mesh.
func (n *Node) Document(key apfleet.Key) (apstore.Document, bool) { return n.documents.get(key) }

// Revisions returns the revisions of all known documents, sorted by key.
func (n *Node) Revisions() []KeyRevision { return n.documents.revisions() }

// Publish implements Mesh.
func (n *Node) Publish(doc apstore.Document) {
	if !n.applyDocument(doc) {
		return
	}
	message := Documents{Rows: []DocumentRow{DocumentRow(doc)}}
	for _, p := range n.allPeers() {
		_ = p.send(message)
	}
}

// applyDocument applies a document and notifies the observer, unless a revision as high is known already.
func (n *Node) applyDocument(doc apstore.Document) bool {
	if !n.documents.apply(doc) {
		return false
	}
	n.observer.DocumentApplied(doc)
	return true
}

// Call implements Mesh.
func (n *Node) Call(ctx context.Context, to apfleet.EntryName, message Message) (Message, error) {
	if to == n.self.Name {
		return n.handler.HandleMessage(ctx, to, message)
	}
	p, err := n.peer(to)
	if err != nil {
		return nil, err
	}
	return p.call(ctx, message)
}

// Send implements Mesh.
func (n *Node) Send(to apfleet.EntryName, message Message) error {
	if to == n.self.Name {
		_, err := n.handler.HandleMessage(context.Background(), to, message)
		return err
	}
	p, err := n.peer(to)
	if err != nil {
		return err
	}
	return p.send(message)
}

// Leave stops heartbeats and tells every peer that this entry leaves.
func (n *Node) Leave(ctx context.Context, left Left) {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	for _, p := range n.allPeers() {
		_, _ = p.call(ctx, left)
	}
}

func (n *Node) peer(name apfleet.EntryName) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[name]
	if !ok {
		return nil, apcode.Errorf(apcode.PeerUnreachable, "no connection to %s", name)
	}
	return p, nil
}

func (n *Node) allPeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	return peers
}

// heartbeatLoop calls tick at every HeartbeatInterval.
func (n *Node) heartbeatLoop(ctx context.Context) error {
	ticker := time.NewTicker(n.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		n.tick(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// tick updates the membership and the set of peers, then sends a heartbeat to every peer unless Leave was
// called.
func (n *Node) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	n.membership.Tick(now)
	n.syncPeers(ctx)
	stopped := n.stopped
	n.mu.Unlock()
	if stopped {
		return
	}
	n.heartbeatCount++
	heartbeat := n.newHeartbeat(now, n.heartbeatCount%heartbeatsPerPeerList == 1, n.heartbeatCount%heartbeatsPerHeardList == 1)
	data := EncodeFrame(heartbeat, heartbeatCall, false)
	for _, p := range n.allPeers() {
		p.sendHeartbeat(data)
	}
}

// newHeartbeat returns a heartbeat, optionally with the addresses of members and with the names of the
// members heard recently.
func (n *Node) newHeartbeat(now time.Time, withPeers, withHeard bool) Heartbeat {
	report := n.currentReport()
	digest := n.documents.currentDigest()
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeat := Heartbeat{From: n.self, Digest: digest, Report: report}
	if withHeard {
		heartbeat.Heard = n.membership.RecentlyHeard(now)
	}
	if !withPeers {
		return heartbeat
	}
	for _, member := range n.membership.Members() {
		heartbeat.Peers = append(heartbeat.Peers, member.Registration)
	}
	return heartbeat
}

func (n *Node) currentReport() Report {
	n.mu.Lock()
	report := n.reportFunc
	n.mu.Unlock()
	return report()
}

// syncPeers starts a peer for each known entry that has not left. It stops the peers of entries that have
// left, are forgotten or have changed their registration. Callers hold n.mu.
func (n *Node) syncPeers(ctx context.Context) {
	wanted := make(map[apfleet.EntryName]apfleet.Registration)
	for _, member := range n.membership.Known() {
		if member.State != MemberLeft {
			wanted[member.Name] = member.Registration
		}
	}
	for name, p := range n.peers {
		if wanted[name] != p.registration {
			p.stop()
			delete(n.peers, name)
		}
	}
	for name, registration := range wanted {
		if _, ok := n.peers[name]; ok {
			continue
		}
		p := newPeer(n, registration)
		n.peers[name] = p
		n.group.Go(func() error { return p.run(ctx) })
	}
}

// recordAck records that a peer acknowledged a heartbeat.
func (n *Node) recordAck(name apfleet.EntryName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.RecordAck(time.Now(), name)
}

func (n *Node) count(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, n.options.Metrics).Inc(delta)
}
