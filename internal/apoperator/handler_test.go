package apoperator_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"auburnport/internal/apoperator"
	"auburnport/pkg/apcode"
)

// unusedActions panics when any action is called.
type unusedActions struct{ apoperator.Actions }

func TestHandlerRequiresToken(t *testing.T) {
	token := apoperator.Token("0123456789abcdef")
	handler := apoperator.Handler(unusedActions{}, token, metrics.NewRegistry())
	statusFor := func(authorization string) int {
		request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
		request.Header.Set("Authorization", authorization)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Code
	}
	assert.Equal(t, statusFor(""), http.StatusUnauthorized)
	assert.Equal(t, statusFor("Bearer 0123456789abcdee"), http.StatusUnauthorized)
	assert.Equal(t, statusFor("Bearer 0123456789abcdef"), http.StatusOK)
}

func TestInvalidRequestsReturnCode(t *testing.T) {
	server := httptest.NewServer(apoperator.Handler(unusedActions{}, nil, metrics.NewRegistry()))
	defer server.Close()
	client := apoperator.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	_, err := client.StartWave(t.Context(), "")
	assert.Assert(t, apcode.Is(err, apcode.MissingKey), "%v", err)
	_, err = client.DisruptVM(t.Context(), apoperator.VMRequest{VM: "vm-1"})
	assert.Assert(t, apcode.Is(err, apcode.BadMessage), "%v", err)
}
