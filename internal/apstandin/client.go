package apstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Client controls a stand-in that runs in another process.
type Client struct{ Address netip.AddrPort }

// Report returns what the backend servers and the store recorded.
func (c Client) Report(ctx context.Context) (Report, error) {
	var report Report
	data, err := c.do(ctx, http.MethodGet, pathReport, nil)
	if err != nil {
		return report, err
	}
	err = apfleet.Decode(data, &report)
	return report, err
}

// Inject injects a fault.
func (c Client) Inject(ctx context.Context, fault Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPost, pathFault, body)
	return err
}

func (c Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, apcode.Wrapf(apcode.PlatformFailed, err, "request %s to the stand-in", path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = apcode.Errorf(apcode.BadValue, "%s", bytes.TrimSpace(data))
	}
	return data, err
}
