package apbench

import (
	"runtime"
	"time"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

const (
	tickRepeats = 40
	bytesPerKiB = 1024
)

// Control measures a tick at rest and the memory of the tables, against the number of VMs.
func Control(vms []int, entries int) []Slope {
	var ticks, allocated, resident, ownersBytes, listBytes, settingsBytes []Point
	for _, n := range vms {
		size := Size{VMs: n, Entries: entries}
		before := heap()
		tables := Tables(size)
		x := float64(n)
		resident = append(resident, Point{x, float64(heap()-before) / bytesPerKiB})
		elapsed, bytes := tick(tables)
		ticks = append(ticks, Point{x, elapsed.Seconds() * 1000})
		allocated = append(allocated, Point{x, bytes / bytesPerKiB})
		ownersBytes = append(ownersBytes, Point{x, float64(largestOwners(tables)) / bytesPerKiB})
		listBytes = append(listBytes, Point{x, float64(len(apfleet.Encode(apfleet.VMList{Version: 1, VMs: tables.VMs}))) / bytesPerKiB})
		settingsBytes = append(settingsBytes, Point{x, float64(len(apfleet.Encode(tables.Settings))) / bytesPerKiB})
		runtime.KeepAlive(tables)
	}
	return []Slope{
		heartbeatSlope(),
		NewSlope("control tick at rest", "VMs", "ms", ticks),
		NewSlope("allocated by a control tick", "VMs", "KiB", allocated),
		NewSlope("resident tables", "VMs", "KiB", resident),
		NewSlope("largest table of owners in the store", "VMs", "KiB", ownersBytes),
		NewSlope("list of VMs on the wire", "VMs", "KiB", listBytes),
		NewSlope("settings tree in the store", "VMs", "KiB", settingsBytes),
	}
}

// heartbeatSlope measures the size of a heartbeat against the number of services.
func heartbeatSlope() Slope {
	var points []Point
	for _, services := range []int{5, 20, 56, 334} {
		member := Tables(Size{VMs: services * vmsPerPool, Entries: 1}).Entries[0]
		frame := apmesh.EncodeFrame(apmesh.Heartbeat{From: member.Registration, Digest: 1 << 60, Report: member.Report}, 1, false)
		points = append(points, Point{float64(services), float64(len(frame))})
	}
	return NewSlope("heartbeat", "services", "bytes", points)
}

// tick returns the mean time and the mean bytes allocated of a tick.
func tick(tables *apcontrol.Tables) (time.Duration, float64) {
	control := apcontrol.New()
	control.Step(tables)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	for range tickRepeats {
		tables.Now = tables.Now.Add(200 * time.Millisecond)
		control.Step(tables)
	}
	elapsed := time.Since(started) / tickRepeats
	runtime.ReadMemStats(&after)
	return elapsed, float64(after.TotalAlloc-before.TotalAlloc) / tickRepeats
}

func largestOwners(tables *apcontrol.Tables) int {
	largest := 0
	for dc, row := range tables.Owners {
		largest = max(largest, len(apfleet.Encode(apfleet.Ownership{DataCentre: dc, Owners: row.Table})))
	}
	return largest
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
