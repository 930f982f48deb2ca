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

// Client asks a stand-in in another process.
type Client struct{ Address netip.AddrPort }

// Report returns what the backend servers recorded.
func (c Client) Report(ctx context.Context) (Report, error) {
	var report Report
	data, err := c.call(ctx, http.MethodGet, pathReport, nil)
	if err != nil {
		return report, err
	}
	err = apfleet.Decode(data, &report)
	return report, err
}

// Inject brings a fault about.
func (c Client) Inject(ctx context.Context, fault Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, http.MethodPost, pathFault, body)
	return err
}

func (c Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, apcode.Wrapf(apcode.PlatformFailed, err, "%s", path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = apcode.Errorf(apcode.BadValue, "%s", bytes.TrimSpace(data))
	}
	return data, err
}
