package apmesh

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"auburnport/pkg/apcode"
)

const seedEvery = time.Second

// seed shows itself to every seed that is not a known member, which then connects back.
func (n *Node) seed(ctx context.Context) error {
	ticker := time.NewTicker(seedEvery)
	defer ticker.Stop()
	for {
		for _, address := range n.unknownSeeds() {
			if err := n.greet(ctx, address); err != nil {
				n.options.Logger.WithError(err).WithField("Event", "SeedUnreachable").WithField("Address", address).Debug()
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) unknownSeeds() []netip.AddrPort {
	known := make(map[netip.AddrPort]struct{})
	for _, member := range n.Members() {
		known[member.Mesh] = struct{}{}
	}
	var unknown []netip.AddrPort
	for _, address := range n.options.Seeds {
		if _, ok := known[address]; !ok {
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// greet sends one heartbeat to an address.
func (n *Node) greet(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := make(http.Header)
	newProof(n.options.Key, n.self.Name, anyEntry, time.Now()).set(header)
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{HTTPClient: n.client, HTTPHeader: header})
	if err != nil {
		return apcode.Wrapf(apcode.PeerUnreachable, err, "dial seed %s", address)
	}
	defer func() { _ = conn.CloseNow() }()
	beat := n.heartbeat(time.Now(), true, true)
	if err := conn.Write(ctx, websocket.MessageBinary, EncodeFrame(beat, heartbeatCall, false)); err != nil {
		return err
	}
	_, _, err = conn.Read(ctx)
	return err
}
