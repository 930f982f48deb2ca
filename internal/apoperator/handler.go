package apoperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

const (
	pathSettings    = "/settings"
	pathExplain     = "/settings/explain"
	pathChange      = "/settings/change"
	pathStatus      = "/status"
	pathWave        = "/wave"
	pathStartWave   = "/wave/start"
	pathPauseWave   = "/wave/pause"
	pathResumeWave  = "/wave/continue"
	pathDisruptVM   = "/vm/disrupt"
	pathReturnVM    = "/vm/return"
	pathMetrics     = "/metrics"
	maxRequestBytes = 1 << 20
)

// Handler serves actions, and the metrics in registry, to operators who send the token.
func Handler(actions Actions, token Token, registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	handleGet(mux, pathSettings, func(*http.Request) (SettingsDump, error) {
		tree, revision := actions.Settings()
		text, err := tree.Format()
		return SettingsDump{Revision: revision, TOML: string(text)}, err
	})
	handleGet(mux, pathExplain, func(r *http.Request) ([]apsettings.Origin, error) {
		tree, _ := actions.Settings()
		path := apsettings.Path(r.URL.Query().Get("Path"))
		return tree.Explain(path), path.Check()
	})
	handleGet(mux, pathStatus, func(*http.Request) (Status, error) { return actions.Status(), nil })
	handleGet(mux, pathWave, func(*http.Request) (WaveStatus, error) { return actions.WaveStatus(), nil })
	handlePost(mux, pathChange, actions.ChangeSettings)
	handlePost(mux, pathStartWave, func(ctx context.Context, request WaveRequest) (ChangeResult, error) {
		if request.Name == "" {
			return ChangeResult{}, apcode.Errorf(apcode.MissingKey, "the name of the wave must be set")
		}
		return actions.StartWave(ctx, request.Name)
	})
	handlePost(mux, pathPauseWave, func(ctx context.Context, _ WaveRequest) (ChangeResult, error) { return actions.PauseWave(ctx, true) })
	handlePost(mux, pathResumeWave, func(ctx context.Context, _ WaveRequest) (ChangeResult, error) { return actions.PauseWave(ctx, false) })
	handlePost(mux, pathDisruptVM, func(ctx context.Context, request VMRequest) (ChangeResult, error) {
		row := apfleet.Disruption{VM: request.VM, Kind: request.Kind, Target: request.Target}
		if err := row.Check(); err != nil {
			return ChangeResult{}, err
		}
		return actions.DisruptVM(ctx, request)
	})
	handlePost(mux, pathReturnVM, func(ctx context.Context, request VMRequest) (ChangeResult, error) {
		return actions.ReturnVM(ctx, request.VM)
	})
	mux.HandleFunc("GET "+pathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	return requireToken(mux, token)
}

// requireToken refuses requests without the token, unless the token is empty.
func requireToken(next http.Handler, token Token) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if len(token) > 0 && subtle.ConstantTimeCompare([]byte(given), token) != 1 {
			writeError(w, apcode.Errorf(apcode.Unauthorized, "operator token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleGet serves the result of read as JSON.
func handleGet[T any](mux *http.ServeMux, path string, read func(*http.Request) (T, error)) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		value, err := read(r)
		writeResult(w, value, err)
	})
}

// handlePost decodes the JSON body, refusing unknown fields, and serves the result of act as JSON.
func handlePost[Q, R any](mux *http.ServeMux, path string, act func(context.Context, Q) (R, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			writeError(w, apcode.Errorf(apcode.BadRequest, "decode the request: %v", err))
			return
		}
		value, err := act(r.Context(), request)
		writeResult(w, value, err)
	})
}

func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	description := apcode.Describe(apcode.Of(err))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(description.Status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{
		Code: description.Code, Name: description.Name, Detail: err.Error(), Action: description.Action,
	})
}
