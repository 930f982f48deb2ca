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

// Version is the version of the protocol between entries.
const Version = "1"

// Of this many heartbeats one carries the members that were heard, and one the addresses of members.
const (
	heardEvery = 4
	peersEvery = 20
)

// Path is the HTTP path at which entries accept connections of peers.
const Path = "/mesh"

// Node is the Mesh of one entry.
type Node struct {
	self      apfleet.Registration
	options   Options
	handler   Handler
	observer  Observer
	documents *documents
	group     *errgroup.Group
	client    *http.Client
	nonces    *nonceCache
	pulls     chan apfleet.EntryName
	// beats counts heartbeats; it belongs to the goroutine that sends them.
	beats uint64

	mu         sync.Mutex
	membership *Membership
	peers      map[apfleet.EntryName]*peer
	report     func() Report
	stopped    bool
	// accepted holds the connections that peers opened.
	accepted map[*websocket.Conn]context.CancelFunc
}

// New returns a Node that is not connected yet.
func New(self apfleet.Registration, handler Handler, observer Observer, opts ...Option) *Node {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Node{
		self:       self,
		options:    options,
		handler:    handler,
		observer:   observer,
		documents:  newDocuments(),
		client:     &http.Client{Transport: &http.Transport{}},
		nonces:     newNonceCache(),
		membership: NewMembership(self, opts...),
		peers:      make(map[apfleet.EntryName]*peer),
		accepted:   make(map[*websocket.Conn]context.CancelFunc),
		pulls:      make(chan apfleet.EntryName, 1),
		report:     func() Report { return Report{} },
	}
}

// SetReport sets the function that makes this entry's report for each heartbeat.
func (n *Node) SetReport(report func() Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.report = report
}

// Run keeps connections to all known entries until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group = group
	n.mu.Unlock()
	group.Go(func() error { return n.beat(ctx) })
	group.Go(func() error { return n.seed(ctx) })
	group.Go(func() error { return n.pullLoop(ctx) })
	defer context.AfterFunc(ctx, n.cancelAccepted)()
	return group.Wait()
}

// Learn adds entries by their addresses.
func (n *Node) Learn(registrations []apfleet.Registration) {
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

// Known returns every entry that is remembered, whatever its state, without self.
func (n *Node) Known() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Known()
}

// Document implements Mesh.
func (n *Node) Document(key apfleet.Key) (apstore.Document, bool) { return n.documents.get(key) }

// Revisions lists the revisions of all known documents.
func (n *Node) Revisions() []KeyRevision { return n.documents.revisions() }

// Publish implements Mesh.
func (n *Node) Publish(doc apstore.Document) {
	if !n.apply(doc) {
		return
	}
	message := Documents{Rows: []DocumentRow{DocumentRow(doc)}}
	for _, p := range n.allPeers() {
		_ = p.send(message)
	}
}

func (n *Node) apply(doc apstore.Document) bool {
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

// Leave tells every peer that this entry leaves.
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

// beat sends heartbeats and keeps the set of connections in step with the members.
func (n *Node) beat(ctx context.Context) error {
	ticker := time.NewTicker(n.options.HeartbeatEvery)
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

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	n.membership.Tick(now)
	n.connect(ctx)
	stopped := n.stopped
	n.mu.Unlock()
	if stopped {
		return
	}
	n.beats++
	beat := n.heartbeat(now, n.beats%peersEvery == 1, n.beats%heardEvery == 1)
	data := EncodeFrame(beat, heartbeatCall, false)
	for _, p := range n.allPeers() {
		p.sendHeartbeat(data)
	}
}

// heartbeat returns the next heartbeat, with the addresses of members or those heard lately.
func (n *Node) heartbeat(now time.Time, withPeers, withHeard bool) Heartbeat {
	report := n.currentReport()
	digest := n.documents.summary()
	n.mu.Lock()
	defer n.mu.Unlock()
	beat := Heartbeat{From: n.self, Digest: digest, Report: report}
	if withHeard {
		beat.Heard = n.membership.HeardLately(now)
	}
	if !withPeers {
		return beat
	}
	for _, member := range n.membership.Members() {
		beat.Peers = append(beat.Peers, member.Registration)
	}
	return beat
}

func (n *Node) currentReport() Report {
	n.mu.Lock()
	report := n.report
	n.mu.Unlock()
	return report()
}

// connect starts a peer for each known entry and stops those of entries that are forgotten or left.
func (n *Node) connect(ctx context.Context) {
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

// acked records the confirmation of a heartbeat.
func (n *Node) acked(name apfleet.EntryName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.Acked(time.Now(), name)
}

func (n *Node) count(name string, by int64) {
	metrics.GetOrRegisterCounter(name, n.options.Metrics).Inc(by)
}
