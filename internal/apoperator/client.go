package apoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

const clientTimeout = 30 * time.Second

// Client asks one entry on behalf of an operator.
type Client struct {
	base   string
	token  Token
	client *http.Client
}

// NewClient returns a client of the entry whose operators' address is given.
func NewClient(address netip.AddrPort, token Token) *Client {
	return &Client{base: "http://" + address.String(), token: token, client: &http.Client{Timeout: clientTimeout}}
}

// Settings returns the whole tree.
func (c *Client) Settings(ctx context.Context) (SettingsDump, error) {
	return ask[SettingsDump](ctx, c, http.MethodGet, pathSettings, nil)
}

// Explain returns where each value at a path was set.
func (c *Client) Explain(ctx context.Context, path apsettings.Path) ([]apsettings.Origin, error) {
	return ask[[]apsettings.Origin](ctx, c, http.MethodGet, pathExplain+"?Path="+url.QueryEscape(string(path)), nil)
}

// Change changes one value.
func (c *Client) Change(ctx context.Context, change SettingsChange) (Accepted, error) {
	return ask[Accepted](ctx, c, http.MethodPost, pathChange, change)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return ask[Status](ctx, c, http.MethodGet, pathStatus, nil)
}

// Wave returns how far the last wave is.
func (c *Client) Wave(ctx context.Context) (WaveStatus, error) {
	return ask[WaveStatus](ctx, c, http.MethodGet, pathWave, nil)
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, name string) (Accepted, error) {
	return ask[Accepted](ctx, c, http.MethodPost, pathStartWave, WaveOrder{Name: name})
}

// PauseWave pauses or continues the wave.
func (c *Client) PauseWave(ctx context.Context, paused bool) (Accepted, error) {
	path := pathResumeWave
	if paused {
		path = pathPauseWave
	}
	return ask[Accepted](ctx, c, http.MethodPost, path, WaveOrder{})
}

// DisruptVM drains, reboots or moves a VM.
func (c *Client) DisruptVM(ctx context.Context, order VMOrder) (Accepted, error) {
	return ask[Accepted](ctx, c, http.MethodPost, pathDisruptVM, order)
}

// ReturnVM takes a drain or a move back.
func (c *Client) ReturnVM(ctx context.Context, id apfleet.VMID) (Accepted, error) {
	return ask[Accepted](ctx, c, http.MethodPost, pathReturnVM, VMOrder{VM: id})
}

func ask[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var answer T
	var buffer bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buffer).Encode(body); err != nil {
			return answer, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &buffer)
	if err != nil {
		return answer, apcode.Wrapf(apcode.BadAddress, err, "%s", c.base)
	}
	request.Header.Set("Authorization", "Bearer "+string(c.token))
	response, err := c.client.Do(request)
	if err != nil {
		return answer, apcode.Wrapf(apcode.PeerUnreachable, err, "ask %s", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, readFailure(response)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, apcode.Wrapf(apcode.BadMessage, err, "%s", path)
	}
	return answer, nil
}

func readFailure(response *http.Response) error {
	var failure Failure
	if err := json.NewDecoder(response.Body).Decode(&failure); err != nil || failure.Code == apcode.OK {
		return apcode.Errorf(apcode.BadMessage, "status %s", response.Status)
	}
	_, detail, found := strings.Cut(failure.Detail, ": ")
	if !found {
		detail = failure.Detail
	}
	return apcode.Errorf(failure.Code, "%s (%s)", detail, failure.Action)
}
