package apstandin

import (
	"io"
	"net/http"
	"net/netip"
)

// PassThrough is a reverse proxy to one fixed address, without routing or admission control. Benchmarks
// compare entries with it.
type PassThrough struct {
	target    netip.AddrPort
	transport *http.Transport
}

// NewPassThrough returns a proxy to target.
func NewPassThrough(target netip.AddrPort) *PassThrough {
	return &PassThrough{target: target, transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// ServeHTTP implements http.Handler.
func (p *PassThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	outgoing := r.Clone(r.Context())
	outgoing.RequestURI = ""
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = p.target.String()
	response, err := p.transport.RoundTrip(outgoing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
