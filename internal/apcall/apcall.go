// Package apcall carries a message over one HTTP POST and the answer back.
package apcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// MaxBytes bounds a message and an answer.
const MaxBytes = 8 << 20

// Post sends a message and returns the answer. net/http does not send it a second time by itself.
func Post(ctx context.Context, client *http.Client, url string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(message))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(io.LimitReader(response.Body, MaxBytes))
}

// Handle serves the messages that are posted to a path.
func Handle(mux *http.ServeMux, path string, serve func(ctx context.Context, message []byte) []byte) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		message, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBytes))
		if err != nil {
			return
		}
		_, _ = w.Write(serve(r.Context(), message))
	})
}
