package apnode_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/platform"
)

// oddRegistrations returns registrations of another writer. Each names no usable worker. address is that of a worker.
func oddRegistrations(address string) map[string]string {
	entry := func(change string) string {
		fields := map[string]any{
			"Service": "search", "Address": address, "Zone": "zone-a", "Version": "1", "Slots": 8, "State": "ready",
			"Capacity": map[string]int{"Cpu": 4000, "MemMb": 4000}, "Labels": []string{"general", "rack-0"}, "born": 1700000000123,
		}
		for name, value := range decodeFields(change) {
			fields[name] = value
		}
		data, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		return string(data)
	}
	return map[string]string{
		"nested":           strings.Repeat("[", 300_000),
		"nested-closed":    strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
		"nested-field":     `{"Service":"search","Labels":` + strings.Repeat(`[`, 9_000) + strings.Repeat(`]`, 9_000) + `}`,
		"nested-unknown":   `{"Odd":` + strings.Repeat(`{"a":`, 150_000) + `1` + strings.Repeat(`}`, 150_000) + `}`,
		"large-cpu":        entry(`{"Capacity":{"Cpu":9223372036854775807,"MemMb":9223372036854775807,"Gpu":9223372036854775807}}`),
		"larger-cpu":       entry(`{"Capacity":{"Cpu":1e400}}`),
		"negative-cpu":     entry(`{"Capacity":{"Cpu":-9223372036854775808,"MemMb":-1}}`),
		"large-born":       entry(`{"born":9223372036854775807}`),
		"larger-born":      entry(`{"born":92233720368547758080}`),
		"negative-born":    entry(`{"born":-9223372036854775808}`),
		"port-range":       entry(`{"Address":"127.0.0.1:65536"}`),
		"port-huge":        entry(`{"Address":"127.0.0.1:99999999999999999999"}`),
		"port-negative":    entry(`{"Address":"127.0.0.1:-1"}`),
		"port-zero":        entry(`{"Address":"127.0.0.1:0"}`),
		"unspecified":      entry(`{"Address":"0.0.0.0:8080"}`),
		"multicast":        entry(`{"Address":"224.0.0.1:8080"}`),
		"address-zone":     entry(`{"Address":"[fe80::1%a b]:8080"}`),
		"labels-number":    entry(`{"Labels":7}`),
		"labels-many":      entry(`{"Labels":["` + strings.Repeat(`a","`, 20_000) + `"]}`),
		"label-long":       entry(`{"Labels":["` + strings.Repeat(`a`, 200_000) + `"]}`),
		"state":            entry(`{"State":"odd"}`),
		"service-unnamed":  entry(`{"Service":"nowhere"}`),
		"service-long":     entry(`{"Service":"` + strings.Repeat(`s`, 200_000) + `"}`),
		"control\r\n\x00a": entry(`{}`),
		"":                 entry(`{}`),
		"empty":            "",
		"null":             "null",
		"bytes":            "\xff\xfe\x00",
	}
}

// decodeFields keeps each number as it is written.
func decodeFields(text string) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		panic(err)
	}
	return fields
}

func TestOddRegistrationsLeaveTheOthersInUse(t *testing.T) {
	e := startEntry(t)
	writerAddress, err := e.ServeStore("writer")
	assert.NilError(t, err)
	writer := apadapter.NewStore(apadapter.NewClient(0), writerAddress)
	put := func(name, value string) {
		_, err := writer.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apadapter.PrefixWorkers + apfleet.Key(name), Data: []byte(value)}}})
		assert.NilError(t, err, name)
	}
	var address string
	for _, worker := range e.Fleet.WorkerAddresses() {
		address = worker.String()
	}
	jobs := 0
	runJob := func() {
		jobs++
		e.runJob(apjob.ID(fmt.Sprintf("%016x", 0xe000+jobs)))
	}
	odd := oddRegistrations(address)
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		put(name, odd[name])
		runJob()
		assert.Assert(t, !e.log.hasLine("Event=ShardEnded", "Error="), "the owner ended after the entry %q", name)
	}
	// The same again for an owner that finds the entries there.
	second := joinEntry(t, e.Emulator, "entry-2", "second")
	second.runJob("00000000000000e1")
	for name := range odd {
		put(name, `{"Service":"search"}`)
	}
	runJob()
	for name := range odd {
		_, err := writer.Commit(t.Context(), apstore.Transaction{Removals: []apfleet.Key{apadapter.PrefixWorkers + apfleet.Key(name)}})
		assert.NilError(t, err, name)
	}
	runJob()
	// The list is still followed: a worker that goes and one that comes are noticed.
	for _, machine := range e.Fleet.MachineNames() {
		e.Fleet.Crash(t.Context(), machine, 0)
	}
	runJob()
	for _, log := range []*logBuffer{&e.log, &second.log} {
		assert.Assert(t, !log.hasLine("Panicked") && !log.hasLine("Event=ShardEnded", "Error="))
	}
}
