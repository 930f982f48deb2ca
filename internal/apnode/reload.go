package apnode

import (
	"reflect"
	"strings"

	"auburnport/pkg/apcode"
	"auburnport/platform"
)

// Reload reads the settings file and applies it if it has changed. It logs changes and errors; if requested is true, it
// logs every call. Addresses of the platform's services take effect at once, also in shards that this entry owns. All other
// settings are fixed until a restart: a change of one is refused with SettingFixed, and the others of the file apply. A file
// that can't be read changes nothing.
func (n *Node) Reload(read func() (apadapter.Settings, error), requested bool) {
	settings, err := read()
	changed := err == nil && settings != *n.lastSettings.Load()
	if !requested && !changed && err == nil {
		return
	}
	fields := map[string]any{"Changed": changed, "Error": err}
	if changed {
		n.lastSettings.Store(&settings)
		applied := *n.currentSettings.Load()
		applied.StoreAddress, applied.MachinesAddress, applied.AdvisorAddress = settings.StoreAddress, settings.MachinesAddress, settings.AdvisorAddress
		n.currentSettings.Store(&applied)
		n.store.SetAddress(applied.StoreAddress)
		n.machines.SetAddress(applied.MachinesAddress)
		n.advisor.SetAddress(applied.AdvisorAddress)
		fields["Store"], fields["Machines"], fields["Advisor"] = applied.StoreAddress, applied.MachinesAddress, applied.AdvisorAddress
		refused := differingFields(reflect.ValueOf(applied), reflect.ValueOf(settings), "")
		fields["RestartNeeded"] = len(refused) > 0
		if len(refused) > 0 {
			fields["Error"] = apcode.Errorf(apcode.SettingFixed, "%s", strings.Join(refused, ", "))
		}
	}
	n.logEvent("Reload", fields)
}

// differingFields returns the names of the fields in which two values of a struct type differ. Those of a struct within it
// follow its name and a dot. Types of other packages, such as netip.AddrPort, are compared whole.
func differingFields(a, b reflect.Value, prefix string) []string {
	var names []string
	for i := range a.NumField() {
		field := a.Type().Field(i)
		switch {
		case field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == a.Type().PkgPath():
			names = append(names, differingFields(a.Field(i), b.Field(i), prefix+field.Name+".")...)
		case !a.Field(i).Equal(b.Field(i)):
			names = append(names, prefix+field.Name)
		}
	}
	return names
}
