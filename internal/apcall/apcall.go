// Package apcall sends messages as HTTP POST requests and serves them.
package apcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// MaxMessageBytes is the maximum size of a message and of a reply. Handle refuses a longer message with an empty reply;
// Post cuts a longer reply off.
const MaxMessageBytes = 8 << 20

// Post sends a message and returns the reply. It sends the message once: net/http does not retry it. It does not look
// at the HTTP status of the reply.
func Post(ctx context.Context, client *http.Client, url string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(message))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't resend the message on another connection.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes))
}

// Handle registers a handler that passes each message posted to path to serve and returns the reply.
func Handle(mux *http.ServeMux, path string, serve func(ctx context.Context, message []byte) []byte) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		message, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
		if err != nil {
			return
		}
		_, _ = w.Write(serve(r.Context(), message))
	})
}
