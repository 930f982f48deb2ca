package apsettings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"auburnport/pkg/apcode"
)

// Duration is a time.Duration whose text form is as in "1.5s".
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

// check returns BadValue for the first value that is out of range.
func (v Values) check(path Path) error {
	for _, err := range []error{
		checkPositive("Deadline", v.Deadline),
		checkPositive("AttemptTimeout", v.AttemptTimeout),
		checkPositive("Linger", v.Linger),
		checkPositive("ConnectionFresh", v.ConnectionFresh),
		checkPositive("DrainTimeout", v.DrainTimeout),
		checkPositive("ClaimWindow", v.ClaimWindow),
		checkNotNegative("ExpectedTurn", v.ExpectedTurn),
		checkRange("MaxAttempts", v.MaxAttempts, 1, 10),
		checkRange("RetryShare", v.RetryShare, 0, 1),
		checkRange("QueueLimit", v.QueueLimit, 0, 100_000),
		checkRange("MaxBody", v.MaxBody, 0, 16<<20),
		checkRange("Slots", v.Slots, 1, 10_000),
		checkRange("Connections", v.Connections, 1, 100_000),
		checkRange("EjectShare", v.EjectShare, 0, 1),
		checkRange("Size", v.Size, 0, 100_000),
		checkRange("MinAvailable", v.MinAvailable, 0, 100_000),
		checkRange("WaveParallel", v.WaveParallel, 1, 1000),
		checkRange("BufferWeight", v.BufferWeight, 0, 1e6),
		checkRange("MoveWeight", v.MoveWeight, 0, 1e6),
	} {
		if err != nil {
			return apcode.Errorf(apcode.BadValue, "node %s: %v", path, err)
		}
	}
	return nil
}

func checkPositive(key string, value *Duration) error {
	if value != nil && *value <= 0 {
		return fmt.Errorf("%s is %v; it must be above 0s", key, time.Duration(*value))
	}
	return nil
}

func checkNotNegative(key string, value *Duration) error {
	if value != nil && *value < 0 {
		return fmt.Errorf("%s is %v; it must not be below 0s", key, time.Duration(*value))
	}
	return nil
}

func checkRange[T int | float64](key string, value *T, minimum, maximum T) error {
	if value != nil && (*value < minimum || *value > maximum) {
		return fmt.Errorf("%s is %v; it must be from %v to %v", key, *value, minimum, maximum)
	}
	return nil
}

// Set returns a copy of the tree in which the node at path sets key to the value parsed from text. It adds
// the node if there is none.
// Errors: BadPath, UnknownKey, BadValue, DuplicateKey.
func (t Tree) Set(path Path, key, text string) (Tree, error) {
	return t.withEditedField(path, key, func(field reflect.Value) error { return setFieldFromText(field, key, text) })
}

// Unset returns a copy of the tree in which the node at path inherits key.
// Errors: BadPath, UnknownKey, NoSuchNode.
func (t Tree) Unset(path Path, key string) (Tree, error) {
	if _, ok := t.Nodes[path]; !ok {
		return t, apcode.Errorf(apcode.NoSuchNode, "%s", path)
	}
	return t.withEditedField(path, key, func(field reflect.Value) error {
		field.SetZero()
		return nil
	})
}

// withEditedField returns a checked copy of the tree in which edit has changed one field of the node at path.
func (t Tree) withEditedField(path Path, key string, edit func(reflect.Value) error) (Tree, error) {
	if err := path.Check(); err != nil {
		return t, err
	}
	node := t.Nodes[path]
	field := reflect.ValueOf(&node).Elem().FieldByName(key)
	if !field.IsValid() {
		return t, unknownKeyError(key)
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

// setFieldFromText parses text as the type that a field of Values points to, and sets the field.
func setFieldFromText(field reflect.Value, key, text string) error {
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
		err = fmt.Errorf("a value of type %T cannot be set from text", value)
	}
	if err != nil {
		return apcode.Errorf(apcode.BadValue, "%s = %q: %v", key, text, err)
	}
	field.Set(target)
	return nil
}

// formatValue formats a resolved value as text that Set accepts.
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

// Diff describes the differences between the nodes of t and those of other, separated by semicolons. It is
// empty if there are none.
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
			x, y := formatSetting(before.Field(i)), formatSetting(after.Field(i))
			if x != y {
				parts = append(parts, fmt.Sprintf("%s %s: %s -> %s", path, key, x, y))
			}
		}
	}
	return strings.Join(parts, "; ")
}

func formatSetting(field reflect.Value) string {
	if field.IsNil() {
		return "(inherited)"
	}
	if d, ok := field.Elem().Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	return formatValue(field.Elem())
}
