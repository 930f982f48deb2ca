package aprelay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Path is the path at which an entry accepts relayed calls.
const Path = "/relay"

// ServeHTTP carries out the calls that peers send on one connection. They go to the own store only, so no call is
// relayed twice.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrameBytes)
	for {
		if err := s.serveCall(r.Context(), conn); err != nil {
			return
		}
	}
}

// serveCall reads one call, carries it out and writes its reply.
func (s *Store) serveCall(ctx context.Context, conn *websocket.Conn) error {
	idleCtx, cancelIdle := context.WithTimeout(ctx, idleTimeout)
	defer cancelIdle()
	_, data, err := conn.Read(idleCtx)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, maxWait+relayTimeout)
	defer cancel()
	return conn.Write(callCtx, websocket.MessageBinary, apfleet.Encode(s.answer(callCtx, data)))
}

// answer carries out one encoded call. While the own store fails it answers at once, so that the caller can try
// another entry.
func (s *Store) answer(ctx context.Context, data []byte) reply {
	var r request
	if err := apfleet.Decode(data, &r); err != nil {
		return reply{Code: apcode.Of(err), Detail: err.Error()}
	}
	if s.skipOwn(time.Now()) {
		return reply{Code: apcode.StoreUnavailable, Detail: "this entry doesn't reach the store either"}
	}
	result := s.callOwn(ctx, r)
	if result.err != nil {
		result.answer.Code, result.answer.Detail = apcode.Of(result.err), result.err.Error()
	}
	return result.answer
}
