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

// Parse decodes and checks a tree in TOML. Its errors give the file and, where known, the line and the key,
// and have the code SettingsSyntax, UnknownKey, BadValue, DuplicateKey or BadPath.
func Parse(file string, data []byte) (Tree, error) {
	var tree Tree
	if err := DecodeStrict(file, data, &tree); err != nil {
		return Tree{}, err
	}
	if err := tree.Check(); err != nil {
		return Tree{}, AddLocation(file, data, err)
	}
	return tree, nil
}

// Format encodes a tree as TOML.
func (t Tree) Format() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	err := encoder.Encode(t)
	return buffer.Bytes(), err
}

// Decode decodes a tree as it is kept in the store. An empty body is an empty tree.
func Decode(body []byte) (Tree, error) {
	tree := Tree{Nodes: NodeTable{}}
	if len(body) == 0 {
		return tree, nil
	}
	err := apfleet.Decode(body, &tree)
	return tree, err
}

// DecodeStrict decodes TOML into value and rejects unknown keys. Its errors give the file and, where known,
// the line and the key.
func DecodeStrict(file string, data []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownKeysError(file, missing)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if isAddressError(decodeErr) {
			return apcode.Errorf(apcode.BadAddress, "%s:%d:%d: key %s: it must be an IP address and a port such as 127.0.0.1:8080", file, line, column, keyOrNone(key))
		}
		return apcode.Errorf(decodeErrorCode(decodeErr), "%s:%d:%d: key %s: %v", file, line, column, keyOrNone(key), decodeErr)
	}
	if isAddressError(err) {
		return apcode.Errorf(apcode.BadAddress, "%s: an address must be an IP address and a port such as 127.0.0.1:8080", file)
	}
	return apcode.Errorf(apcode.SettingsSyntax, "%s: %v", file, err)
}

func unknownKeysError(file string, missing *toml.StrictMissingError) error {
	lines := make([]string, 0, len(missing.Errors))
	for _, e := range missing.Errors {
		line, column := e.Position()
		lines = append(lines, fmt.Sprintf("%s:%d:%d: key %s is not known", file, line, column, strings.Join(e.Key(), ".")))
	}
	return apcode.Errorf(apcode.UnknownKey, "%s", strings.Join(lines, "; "))
}

// isAddressError reports whether an IP address with a port could not be parsed. It matches the error text,
// because net/netip has no exported error type.
func isAddressError(err error) bool {
	text := err.Error()
	return strings.Contains(text, "ParseAddr") || strings.Contains(text, "ip:port") || strings.Contains(text, "invalid port")
}

// decodeErrorCode returns DuplicateKey, BadValue or SettingsSyntax for a decoding error. A duplicate is
// recognized by the error text.
func decodeErrorCode(err *toml.DecodeError) apcode.Code {
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

func keyOrNone(key string) string {
	if key == "" {
		return "(none)"
	}
	return key
}

// AddLocation adds the file to err, and the line of the first table whose name the detail of err contains.
func AddLocation(file string, data []byte, err error) error {
	var coded *apcode.Error
	if !errors.As(err, &coded) {
		return err
	}
	for i, line := range strings.Split(string(data), "\n") {
		trimmed := strings.TrimSpace(line)
		if name := tableHeaderName(trimmed); name != "" && containsWord(coded.Detail, name) {
			return apcode.Errorf(coded.Code, "%s:%d: %s", file, i+1, coded.Detail)
		}
	}
	return apcode.Errorf(coded.Code, "%s: %s", file, coded.Detail)
}

// tableHeaderName returns the name in a TOML table header: the node of a header such as [Nodes."/a"], the
// table of one such as [Entry]. It returns "" for any other line.
func tableHeaderName(text string) string {
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

// containsWord reports whether detail contains name as a separate word.
func containsWord(detail, name string) bool {
	for _, word := range strings.FieldsFunc(detail, func(r rune) bool { return strings.ContainsRune(` :"',`, r) }) {
		if word == name {
			return true
		}
	}
	return false
}

// LooksLikeTree reports whether TOML data has a Nodes table. Data that can't be parsed is searched for the
// header of one.
func LooksLikeTree(data []byte) bool {
	var probe struct {
		Nodes map[string]any `toml:"Nodes"`
	}
	return toml.Unmarshal(data, &probe) == nil && probe.Nodes != nil || strings.Contains(string(data), "[Nodes.")
}
