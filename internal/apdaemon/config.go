package apdaemon

import (
	"net/netip"
	"os"
	"strings"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

// Config is the configuration file of one entry.
type Config struct {
	Entry    EntryConfig    `toml:"Entry"`
	Platform PlatformConfig `toml:"Platform"`
	Mesh     MeshConfig     `toml:"Mesh"`
	Operator OperatorConfig `toml:"Operator"`
	Fleet    FleetConfig    `toml:"Fleet"`
	Log      LogConfig      `toml:"Log"`
}

// EntryConfig is the identity, location and addresses of the entry.
type EntryConfig struct {
	// Name is unique among the deployment's entries.
	Name       apfleet.EntryName  `toml:"Name"`
	Deployment string             `toml:"Deployment"`
	Region     string             `toml:"Region"`
	DataCentre apfleet.DataCentre `toml:"DataCentre"`
	// CallerAddress is the listen address for callers.
	CallerAddress netip.AddrPort `toml:"CallerAddress"`
	// MeshAddress is the listen address for other entries.
	MeshAddress netip.AddrPort `toml:"MeshAddress"`
	// OperatorAddress is the listen address for operators.
	OperatorAddress netip.AddrPort `toml:"OperatorAddress"`
	// Seeds are mesh addresses of other entries, used to join the mesh when the store is unavailable at startup.
	Seeds []netip.AddrPort `toml:"Seeds"`
}

// PlatformConfig has the addresses of the platform's services.
type PlatformConfig struct {
	StoreAddress netip.AddrPort `toml:"StoreAddress"`
	PoolsAddress netip.AddrPort `toml:"PoolsAddress"`
}

// MeshConfig configures how entries authenticate each other.
type MeshConfig struct {
	// KeyFile names the file with the secret that all entries of the deployment share.
	KeyFile string `toml:"KeyFile"`
}

// OperatorConfig configures how operators are authenticated.
type OperatorConfig struct {
	// TokenFile names the file with the token that operators send.
	TokenFile string `toml:"TokenFile"`
}

// FleetConfig configures the settings of the deployment.
type FleetConfig struct {
	// SettingsFile is written to the store when the deployment has no settings yet; empty writes nothing.
	SettingsFile string `toml:"SettingsFile"`
}

// LogConfig configures the log level and format.
type LogConfig struct {
	Level  string `toml:"Level"`
	Format string `toml:"Format"`
}

// ParseConfig decodes and checks a configuration file. Errors name the file, line and key.
func ParseConfig(file string, data []byte) (Config, error) {
	config := Config{Log: LogConfig{Level: "info", Format: "text"}}
	if err := apsettings.DecodeStrict(file, data, &config); err != nil {
		return Config{}, err
	}
	if err := config.Check(); err != nil {
		return Config{}, apsettings.AddLocation(file, data, err)
	}
	return config, nil
}

// Check returns MissingKey or BadAddress for a key that is missing or invalid.
func (c Config) Check() error {
	for key, value := range map[string]string{
		"Entry.Name": string(c.Entry.Name), "Entry.Deployment": c.Entry.Deployment,
		"Entry.Region": c.Entry.Region, "Entry.DataCentre": string(c.Entry.DataCentre),
	} {
		if value == "" {
			return apcode.Errorf(apcode.MissingKey, "%s must be set", key)
		}
	}
	for key, address := range map[string]netip.AddrPort{
		"Entry.CallerAddress": c.Entry.CallerAddress, "Entry.MeshAddress": c.Entry.MeshAddress,
		"Entry.OperatorAddress": c.Entry.OperatorAddress, "Platform.StoreAddress": c.Platform.StoreAddress,
		"Platform.PoolsAddress": c.Platform.PoolsAddress,
	} {
		if !address.IsValid() {
			return apcode.Errorf(apcode.BadAddress, "%s must be an IP address and a port such as 127.0.0.1:8080", key)
		}
	}
	if !c.Entry.MeshAddress.Addr().IsLoopback() && c.Mesh.KeyFile == "" {
		return apcode.Errorf(apcode.MissingKey, "Mesh.KeyFile must be set when Entry.MeshAddress is not a loopback address")
	}
	if !c.Entry.OperatorAddress.Addr().IsLoopback() && c.Operator.TokenFile == "" {
		return apcode.Errorf(apcode.MissingKey, "Operator.TokenFile must be set when Entry.OperatorAddress is not a loopback address")
	}
	return nil
}

// ReadSecret returns the first line of a file without surrounding spaces, or nil when the file name is empty.
// Errors: MissingKey, BadValue.
func ReadSecret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, apcode.Wrapf(apcode.MissingKey, err, "read secret file")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	secret := strings.TrimSpace(line)
	if len(secret) < minSecretBytes {
		return nil, apcode.Errorf(apcode.BadValue, "secret in file %s is shorter than %d bytes", file, minSecretBytes)
	}
	return []byte(secret), nil
}

const minSecretBytes = 16
