package apnode_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/platform"
)

// liveSettings are the settings that a reload changes, with the name under which its log line has the new value.
var liveSettings = map[string]string{"StoreAddress": "Store", "MachinesAddress": "Machines", "AdvisorAddress": "Advisor"}

// eachSetting calls visit for each field of a settings type, and for those of the structs of the package within it.
func eachSetting(v reflect.Value, prefix string, visit func(name string, field reflect.Value)) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == v.Type().PkgPath() {
			eachSetting(v.Field(i), prefix+field.Name+".", visit)
			continue
		}
		visit(prefix+field.Name, v.Field(i))
	}
}

// changeSetting gives a field another value and returns how a log line shows it.
func changeSetting(t *testing.T, name string, field reflect.Value) string {
	t.Helper()
	switch field.Interface().(type) {
	case netip.AddrPort:
		other := netip.MustParseAddrPort("127.0.0.1:9")
		field.Set(reflect.ValueOf(other))
		return other.String()
	case time.Duration:
		field.SetInt(field.Int() + int64(time.Second))
	default:
		switch field.Kind() {
		case reflect.String:
			field.SetString(field.String() + "-other")
		case reflect.Float64:
			field.SetFloat(field.Float() + 1)
		case reflect.Int64:
			field.SetInt(field.Int() + 1)
		case reflect.Uint16:
			field.SetUint(field.Uint() + 1)
		default:
			t.Fatalf("the test can't change %s, which is a %s", name, field.Type())
		}
	}
	return ""
}

func TestReloadAppliesOrRefusesEachSetting(t *testing.T) {
	e := startEntry(t)
	started := e.settings
	restore := func() { e.node.Reload(func() (apadapter.Settings, error) { return started, nil }, false) }
	visited := 0
	eachSetting(reflect.ValueOf(&apadapter.Settings{}).Elem(), "", func(name string, _ reflect.Value) {
		visited++
		changed := started
		text := ""
		eachSetting(reflect.ValueOf(&changed).Elem(), "", func(other string, field reflect.Value) {
			if other == name {
				text = changeSetting(t, name, field)
			}
		})
		assert.Assert(t, changed != started, name)
		e.log.reset()
		e.node.Reload(func() (apadapter.Settings, error) { return changed, nil }, false)
		if shown, live := liveSettings[name]; live {
			assert.Assert(t, e.log.hasLine("Event=Reload", "Changed=true", "RestartNeeded=false", shown+"="+text), name)
			assert.Assert(t, !e.log.hasLine("SettingFixed"), name)
		} else {
			assert.Assert(t, e.log.hasLine("Event=Reload", "Changed=true", "RestartNeeded=true", "2011 SettingFixed: "+name+"\""), name)
		}
		restore()
	})
	assert.Assert(t, visited > len(liveSettings))
	e.runJob("00000000000000c3")
}

func TestReloadAppliesTheRestOfAFileWithARefusedSetting(t *testing.T) {
	e := startEntry(t)
	changed := e.settings
	changed.Bounds.StopTime += time.Second
	changed.Node = "other"
	changed.AdvisorAddress = netip.MustParseAddrPort("127.0.0.1:9")
	read := func() (apadapter.Settings, error) { return changed, nil }
	e.node.Reload(read, false)
	assert.Assert(t, e.log.hasLine("Event=Reload", "Advisor=127.0.0.1:9", "SettingFixed: Node, Bounds.StopTime"))
	e.log.reset()
	e.node.Reload(read, false)
	assert.Assert(t, !e.log.hasLine("Event=Reload"), "an unchanged file is logged again")
}
