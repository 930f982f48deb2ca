// Package aplog configures loggers that write one line per event, as Key=value pairs or as JSON.
package aplog

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"auburnport/pkg/apcode"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// EventFunc logs an event, such as a decision with its inputs and outcome. It keeps the map of fields, so the
// caller must not change it afterwards.
type EventFunc func(event string, fields map[string]any)

// New returns a logger that writes to out. Errors: BadValue for an unknown level or format.
func New(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, apcode.Errorf(apcode.BadValue, "log level %q is not one of error, warn, info, debug", level)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	switch format {
	case FormatText:
		logger.SetFormatter(lineFormatter{})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	default:
		return nil, apcode.Errorf(apcode.BadValue, "log format %q is neither text nor json", format)
	}
	return logger, nil
}

// lineFormatter writes the time, the level, the fields in the order of their keys, and the message, as Key=value pairs.
type lineFormatter struct{}

// Format implements logrus.Formatter.
func (lineFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	buffer := entry.Buffer
	if buffer == nil {
		buffer = &bytes.Buffer{}
	}
	buffer.WriteString("Time=")
	buffer.Write(entry.Time.UTC().AppendFormat(buffer.AvailableBuffer(), time.RFC3339Nano))
	buffer.WriteString(" Level=")
	buffer.WriteString(entry.Level.String())
	keys := make([]string, 0, len(entry.Data))
	for key := range entry.Data {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		writeField(buffer, key, entry.Data[key])
	}
	if entry.Message != "" {
		writeField(buffer, "Message", entry.Message)
	}
	buffer.WriteByte('\n')
	return buffer.Bytes(), nil
}

// writeField writes a space and a Key=value pair. It quotes values that are empty or contain characters that separate
// pairs or lines.
func writeField(buffer *bytes.Buffer, key string, value any) {
	if key == logrus.ErrorKey {
		key = "Error"
	}
	buffer.WriteByte(' ')
	buffer.WriteString(key)
	buffer.WriteByte('=')
	text := formatValue(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\r\t") {
		text = strconv.Quote(text)
	}
	buffer.WriteString(text)
}

// formatValue formats like fmt.Sprint, with a faster path for the usual types of fields.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	case int:
		return strconv.Itoa(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case uint64:
		return strconv.FormatUint(v, 10)
	case bool:
		return strconv.FormatBool(v)
	}
	if v := reflect.ValueOf(value); v.Kind() == reflect.String {
		return v.String()
	}
	return fmt.Sprint(value)
}
