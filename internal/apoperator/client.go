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

// Client is a client of the operators' API of one entry.
type Client struct {
	base   string
	token  Token
	client *http.Client
}

// NewClient returns a client of the entry that serves operators at address.
func NewClient(address netip.AddrPort, token Token) *Client {
	return &Client{base: "http://" + address.String(), token: token, client: &http.Client{Timeout: clientTimeout}}
}

// Settings returns the whole settings tree.
func (c *Client) Settings(ctx context.Context) (SettingsDump, error) {
	return call[SettingsDump](ctx, c, http.MethodGet, pathSettings, nil)
}

// Explain returns each value that applies at a path, and the node of the tree that sets it.
func (c *Client) Explain(ctx context.Context, path apsettings.Path) ([]apsettings.Origin, error) {
	return call[[]apsettings.Origin](ctx, c, http.MethodGet, pathExplain+"?Path="+url.QueryEscape(string(path)), nil)
}

// Change sets or unsets one value of the settings.
func (c *Client) Change(ctx context.Context, change SettingsChange) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, pathChange, change)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, pathStatus, nil)
}

// Wave returns the progress of the latest maintenance wave.
func (c *Client) Wave(ctx context.Context) (WaveStatus, error) {
	return call[WaveStatus](ctx, c, http.MethodGet, pathWave, nil)
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, name string) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, pathStartWave, WaveRequest{Name: name})
}

// PauseWave pauses the running wave if paused is true, and resumes it otherwise.
func (c *Client) PauseWave(ctx context.Context, paused bool) (ChangeResult, error) {
	path := pathResumeWave
	if paused {
		path = pathPauseWave
	}
	return call[ChangeResult](ctx, c, http.MethodPost, path, WaveRequest{})
}

// DisruptVM drains, reboots or moves a VM.
func (c *Client) DisruptVM(ctx context.Context, request VMRequest) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, pathDisruptVM, request)
}

// ReturnVM cancels the drain or the move of a VM.
func (c *Client) ReturnVM(ctx context.Context, id apfleet.VMID) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, pathReturnVM, VMRequest{VM: id})
}

// call sends a request with an optional JSON body and decodes the response.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	var buffer bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buffer).Encode(body); err != nil {
			return result, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &buffer)
	if err != nil {
		return result, apcode.Wrapf(apcode.BadAddress, err, "create a request to %s", c.base)
	}
	request.Header.Set("Authorization", "Bearer "+string(c.token))
	response, err := c.client.Do(request)
	if err != nil {
		return result, apcode.Wrapf(apcode.PeerUnreachable, err, "call the entry at %s", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return result, decodeError(response)
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, apcode.Wrapf(apcode.BadMessage, err, "decode the response to %s", path)
	}
	return result, nil
}

// decodeError turns an error response into an error with the same code. It removes the number and name of the code from
// the detail, because Errorf adds them again.
func decodeError(response *http.Response) error {
	var failure ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&failure); err != nil || failure.Code == apcode.OK {
		return apcode.Errorf(apcode.BadMessage, "unexpected response with HTTP status %s", response.Status)
	}
	_, detail, found := strings.Cut(failure.Detail, ": ")
	if !found {
		detail = failure.Detail
	}
	return apcode.Errorf(failure.Code, "%s (%s)", detail, failure.Action)
}
