package apsettings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"auburnport/pkg/apcode"
)

// Duration is a time.Duration written as in "1.5s".
type Duration time.Duration

// MarshalText returns the duration as in "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration as in "1.5s". Errors carry BadValue.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return apcode.Errorf(apcode.BadValue, "%q is not a duration such as 250ms, 2s or 10m", string(text))
	}
	*d = Duration(parsed)
	return nil
}

// check returns BadValue for the first value out of range.
func (v Values) check(path Path) error {
	for _, check := range []error{
		positive("Deadline", v.Deadline),
		positive("AttemptTimeout", v.AttemptTimeout),
		positive("Linger", v.Linger),
		positive("ConnectionFresh", v.ConnectionFresh),
		positive("DrainTimeout", v.DrainTimeout),
		positive("ClaimWindow", v.ClaimWindow),
		notNegative("ExpectedTurn", v.ExpectedTurn),
		between("MaxAttempts", v.MaxAttempts, 1, 10),
		between("RetryShare", v.RetryShare, 0, 1),
		between("QueueLimit", v.QueueLimit, 0, 100_000),
		between("MaxBody", v.MaxBody, 0, 16<<20),
		between("Slots", v.Slots, 1, 10_000),
		between("Connections", v.Connections, 1, 100_000),
		between("EjectShare", v.EjectShare, 0, 1),
		between("Size", v.Size, 0, 100_000),
		between("MinAvailable", v.MinAvailable, 0, 100_000),
		between("WaveParallel", v.WaveParallel, 1, 1000),
		between("BufferWeight", v.BufferWeight, 0, 1e6),
		between("MoveWeight", v.MoveWeight, 0, 1e6),
	} {
		if check != nil {
			return apcode.Errorf(apcode.BadValue, "node %s: %v", path, check)
		}
	}
	return nil
}

func positive(key string, value *Duration) error {
	if value != nil && *value <= 0 {
		return fmt.Errorf("%s is %v; it must be above 0s", key, time.Duration(*value))
	}
	return nil
}

func notNegative(key string, value *Duration) error {
	if value != nil && *value < 0 {
		return fmt.Errorf("%s is %v; it must not be below 0s", key, time.Duration(*value))
	}
	return nil
}

func between[T int | float64](key string, value *T, least, most T) error {
	if value != nil && (*value < least || *value > most) {
		return fmt.Errorf("%s is %v; it must be from %v to %v", key, *value, least, most)
	}
	return nil
}

// Set returns a copy of the tree in which the node at path has the value that text describes.
// Errors: BadPath, UnknownKey, BadValue.
func (t Tree) Set(path Path, key, text string) (Tree, error) {
	return t.with(path, key, func(field reflect.Value) error { return parseInto(field, key, text) })
}

// Unset returns a copy of the tree in which the node at path inherits the key.
// Errors: BadPath, UnknownKey, NoSuchNode.
func (t Tree) Unset(path Path, key string) (Tree, error) {
	if _, ok := t.Nodes[path]; !ok {
		return t, apcode.Errorf(apcode.NoSuchNode, "%s", path)
	}
	return t.with(path, key, func(field reflect.Value) error {
		field.SetZero()
		return nil
	})
}

func (t Tree) with(path Path, key string, edit func(reflect.Value) error) (Tree, error) {
	if err := path.Check(); err != nil {
		return t, err
	}
	node := t.Nodes[path]
	field := reflect.ValueOf(&node).Elem().FieldByName(key)
	if !field.IsValid() {
		return t, unknownKey(key)
	}
	if err := edit(field); err != nil {
		return t, err
	}
	changed := Tree{Nodes: make(NodeTable, len(t.Nodes)+1)}
	for p, values := range t.Nodes {
		changed.Nodes[p] = values
	}
	changed.Nodes[path] = node
	return changed, changed.Check()
}

// parseInto sets a pointer field from text.
func parseInto(field reflect.Value, key, text string) error {
	target := reflect.New(field.Type().Elem())
	var err error
	switch value := target.Interface().(type) {
	case *Duration:
		err = value.UnmarshalText([]byte(text))
	case *int:
		*value, err = strconv.Atoi(text)
	case *float64:
		*value, err = strconv.ParseFloat(text, 64)
	case *bool:
		*value, err = strconv.ParseBool(text)
	case *[]string:
		*value = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	default:
		err = fmt.Errorf("type %T cannot be set", value)
	}
	if err != nil {
		return apcode.Errorf(apcode.BadValue, "%s = %q: %v", key, text, err)
	}
	field.Set(target)
	return nil
}

// formatValue returns a value in force as text that Set accepts.
func formatValue(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case time.Duration:
		return v.String()
	case []string:
		return strings.Join(v, ",")
	default:
		return fmt.Sprint(v)
	}
}

// Diff describes the values that differ between two trees, one after the other.
func (t Tree) Diff(other Tree) string {
	var parts []string
	paths := other.Paths()
	for path := range t.Nodes {
		if _, ok := other.Nodes[path]; !ok {
			paths = append(paths, path)
		}
	}
	for _, path := range paths {
		before, after := reflect.ValueOf(t.Nodes[path]), reflect.ValueOf(other.Nodes[path])
		for i, key := range Keys() {
			x, y := formatField(before.Field(i)), formatField(after.Field(i))
			if x != y {
				parts = append(parts, fmt.Sprintf("%s %s: %s -> %s", path, key, x, y))
			}
		}
	}
	return strings.Join(parts, "; ")
}

func formatField(field reflect.Value) string {
	if field.IsNil() {
		return "(inherited)"
	}
	if d, ok := field.Elem().Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	return formatValue(field.Elem())
}
