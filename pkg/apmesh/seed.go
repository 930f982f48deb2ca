package apmesh

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"auburnport/pkg/apcode"
)

const seedInterval = time.Second

// seedLoop contacts every seed address that does not belong to an alive or suspect member. The entry there learns
// this entry's address from the heartbeat and connects back.
func (n *Node) seedLoop(ctx context.Context) error {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for {
		for _, address := range n.unknownSeeds() {
			if err := n.introduceTo(ctx, address); err != nil {
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

// unknownSeeds returns the seed addresses that belong to no alive or suspect member.
func (n *Node) unknownSeeds() []netip.AddrPort {
	memberAddresses := make(map[netip.AddrPort]struct{})
	for _, member := range n.Members() {
		memberAddresses[member.Mesh] = struct{}{}
	}
	var unknown []netip.AddrPort
	for _, address := range n.options.Seeds {
		if _, ok := memberAddresses[address]; !ok {
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// introduceTo opens a connection to an address, sends one heartbeat and waits for the reply.
func (n *Node) introduceTo(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := make(http.Header)
	newProof(n.options.Key, n.self.Name, anyEntry, time.Now()).setHeaders(header)
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{HTTPClient: n.client, HTTPHeader: header})
	if err != nil {
		return apcode.Wrapf(apcode.PeerUnreachable, err, "dial seed %s", address)
	}
	defer func() { _ = conn.CloseNow() }()
	heartbeat := n.newHeartbeat(time.Now(), true, true)
	if err := conn.Write(ctx, websocket.MessageBinary, EncodeFrame(heartbeat, heartbeatCall, false)); err != nil {
		return err
	}
	_, _, err = conn.Read(ctx)
	return err
}
