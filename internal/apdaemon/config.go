package apdaemon

import (
	"net/netip"
	"os"
	"strings"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

// Config is the settings file of one entry.
type Config struct {
	Entry    EntryConfig    `toml:"Entry"`
	Platform PlatformConfig `toml:"Platform"`
	Mesh     MeshConfig     `toml:"Mesh"`
	Operator OperatorConfig `toml:"Operator"`
	Fleet    FleetConfig    `toml:"Fleet"`
	Log      LogConfig      `toml:"Log"`
}

// EntryConfig names the entry and its addresses.
type EntryConfig struct {
	// Name is unique among the deployment's entries.
	Name       apfleet.EntryName  `toml:"Name"`
	Deployment string             `toml:"Deployment"`
	Region     string             `toml:"Region"`
	DataCentre apfleet.DataCentre `toml:"DataCentre"`
	// CallerAddress is where callers are answered.
	CallerAddress netip.AddrPort `toml:"CallerAddress"`
	// MeshAddress is where other entries connect.
	MeshAddress netip.AddrPort `toml:"MeshAddress"`
	// OperatorAddress is where operators are answered.
	OperatorAddress netip.AddrPort `toml:"OperatorAddress"`
	// Seeds are mesh addresses of other entries, for when the store is away at the start.
	Seeds []netip.AddrPort `toml:"Seeds"`
}

// PlatformConfig tells where the platform answers.
type PlatformConfig struct {
	StoreAddress netip.AddrPort `toml:"StoreAddress"`
	PoolsAddress netip.AddrPort `toml:"PoolsAddress"`
}

// MeshConfig tells how entries trust each other.
type MeshConfig struct {
	// KeyFile holds the secret that all entries of the deployment share.
	KeyFile string `toml:"KeyFile"`
}

// OperatorConfig tells how operators are trusted.
type OperatorConfig struct {
	// TokenFile holds the token that operators send.
	TokenFile string `toml:"TokenFile"`
}

// FleetConfig gives the settings tree of a deployment that has none yet.
type FleetConfig struct {
	SettingsFile string `toml:"SettingsFile"`
}

// LogConfig tells what is logged.
type LogConfig struct {
	Level  string `toml:"Level"`
	Format string `toml:"Format"`
}

// ParseConfig reads and checks a settings file. Errors name the file, line and key.
func ParseConfig(file string, data []byte) (Config, error) {
	config := Config{Log: LogConfig{Level: "info", Format: "text"}}
	if err := apsettings.DecodeStrict(file, data, &config); err != nil {
		return Config{}, err
	}
	if err := config.Check(); err != nil {
		return Config{}, apsettings.Locate(file, data, err)
	}
	return config, nil
}

// Check returns MissingKey, BadAddress or BadValue for the first key that is wrong.
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
			return apcode.Errorf(apcode.BadAddress, "%s must be an IP number and a port such as 127.0.0.1:8080", key)
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

// ReadSecret returns the first line of a file, or nothing when no file is named.
// Errors: MissingKey, BadValue.
func ReadSecret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, apcode.Wrapf(apcode.MissingKey, err, "read secret")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	secret := strings.TrimSpace(line)
	if len(secret) < minSecretBytes {
		return nil, apcode.Errorf(apcode.BadValue, "the secret in %s is shorter than %d bytes", file, minSecretBytes)
	}
	return []byte(secret), nil
}

const minSecretBytes = 16
