package apsettings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Parse reads a tree from TOML. Errors name the file, line and key and carry SettingsSyntax,
// UnknownKey, BadValue, DuplicateKey or BadPath.
func Parse(file string, data []byte) (Tree, error) {
	var tree Tree
	if err := DecodeStrict(file, data, &tree); err != nil {
		return Tree{}, err
	}
	if err := tree.Check(); err != nil {
		return Tree{}, Locate(file, data, err)
	}
	return tree, nil
}

// Format returns the TOML form of a tree.
func (t Tree) Format() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	err := encoder.Encode(t)
	return buffer.Bytes(), err
}

// Decode reads a tree from a document of the store; an empty body is an empty tree.
func Decode(body []byte) (Tree, error) {
	tree := Tree{Nodes: NodeTable{}}
	if len(body) == 0 {
		return tree, nil
	}
	err := apfleet.Decode(body, &tree)
	return tree, err
}

// DecodeStrict reads TOML into value and refuses unknown keys. Errors name file, line and key.
func DecodeStrict(file string, data []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(file, strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if isAddress(decode) {
			return apcode.Errorf(apcode.BadAddress, "%s:%d:%d: key %s: it must be an IP number and a port such as 127.0.0.1:8080", file, line, column, orUnknown(key))
		}
		return apcode.Errorf(decodeCode(decode), "%s:%d:%d: key %s: %v", file, line, column, orUnknown(key), decode)
	}
	if isAddress(err) {
		return apcode.Errorf(apcode.BadAddress, "%s: an address must be an IP number and a port such as 127.0.0.1:8080", file)
	}
	return apcode.Errorf(apcode.SettingsSyntax, "%s: %v", file, err)
}

func unknownKeys(file string, strict *toml.StrictMissingError) error {
	lines := make([]string, 0, len(strict.Errors))
	for _, e := range strict.Errors {
		line, column := e.Position()
		lines = append(lines, fmt.Sprintf("%s:%d:%d: key %s is not known", file, line, column, strings.Join(e.Key(), ".")))
	}
	return apcode.Errorf(apcode.UnknownKey, "%s", strings.Join(lines, "; "))
}

// isAddress reports whether a value failed as an IP number and port: net/netip has no error type.
func isAddress(err error) bool {
	text := err.Error()
	return strings.Contains(text, "ParseAddr") || strings.Contains(text, "ip:port") || strings.Contains(text, "invalid port")
}

// decodeCode tells a duplicate and a bad value from bad syntax.
func decodeCode(err *toml.DecodeError) apcode.Code {
	text := err.Error()
	switch {
	case strings.Contains(text, "already") || strings.Contains(text, "duplicate"):
		return apcode.DuplicateKey
	case len(err.Key()) > 0:
		return apcode.BadValue
	default:
		return apcode.SettingsSyntax
	}
}

func orUnknown(key string) string {
	if key == "" {
		return "(none)"
	}
	return key
}

// Locate adds the file, and the line of the quoted node or key that err names, to err.
func Locate(file string, data []byte, err error) error {
	var coded *apcode.Error
	if !errors.As(err, &coded) {
		return err
	}
	for i, line := range strings.Split(string(data), "\n") {
		text := strings.TrimSpace(line)
		if name := lineName(text); name != "" && mentions(coded.Detail, name) {
			return apcode.Errorf(coded.Code, "%s:%d: %s", file, i+1, coded.Detail)
		}
	}
	return apcode.Errorf(coded.Code, "%s: %s", file, coded.Detail)
}

// lineName returns the node that a table header opens.
func lineName(text string) string {
	if !strings.HasPrefix(text, "[") {
		return ""
	}
	text = strings.Trim(text, "[]")
	_, name, found := strings.Cut(text, ".")
	if !found {
		return text
	}
	return strings.Trim(name, `"'`)
}

// mentions reports whether the detail has name as a word of its own.
func mentions(detail, name string) bool {
	for _, word := range strings.FieldsFunc(detail, func(r rune) bool { return strings.ContainsRune(` :"',`, r) }) {
		if word == name {
			return true
		}
	}
	return false
}

// LooksLikeTree reports whether TOML data has a table of nodes.
func LooksLikeTree(data []byte) bool {
	var probe struct {
		Nodes map[string]any `toml:"Nodes"`
	}
	return toml.Unmarshal(data, &probe) == nil && probe.Nodes != nil || strings.Contains(string(data), "[Nodes.")
}
