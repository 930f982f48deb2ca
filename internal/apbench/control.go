package apbench

import (
	"runtime"
	"time"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

const (
	// measuredTicks is the number of ticks over which time and allocated bytes are averaged.
	measuredTicks = 40
	// tickInterval is the time between control ticks, as controlInterval of package apdaemon.
	tickInterval = 200 * time.Millisecond
	bytesPerKiB  = 1024
	// heartbeatDigest is encoded in as many bytes as nearly all digests of 64 bits.
	heartbeatDigest = 1 << 60
)

// MeasureControl measures a control tick at steady state and the sizes of the tables in memory, in the store and
// on the wire, for each number of VMs in vms. It also measures the size of a heartbeat.
func MeasureControl(vms []int, entries int) []LinearFit {
	var ticks, allocated, resident, ownersBytes, listBytes, settingsBytes []Point
	for _, n := range vms {
		size := FleetSize{VMs: n, Entries: entries}
		before := heapInUse()
		tables := SteadyState(size)
		x := float64(n)
		resident = append(resident, Point{x, float64(heapInUse()-before) / bytesPerKiB})
		elapsed, bytes := measureTick(tables)
		ticks = append(ticks, Point{x, elapsed.Seconds() * 1000})
		allocated = append(allocated, Point{x, bytes / bytesPerKiB})
		ownersBytes = append(ownersBytes, Point{x, float64(largestOwnersBytes(tables)) / bytesPerKiB})
		listBytes = append(listBytes, Point{x, float64(len(apfleet.Encode(apfleet.VMList{Version: 1, VMs: tables.VMs}))) / bytesPerKiB})
		settingsBytes = append(settingsBytes, Point{x, float64(len(apfleet.Encode(tables.Settings))) / bytesPerKiB})
		runtime.KeepAlive(tables)
	}
	return []LinearFit{
		measureHeartbeat(),
		FitLine("control tick at rest", "VMs", "ms", ticks),
		FitLine("allocated by a control tick", "VMs", "KiB", allocated),
		FitLine("resident tables", "VMs", "KiB", resident),
		FitLine("largest table of owners in the store", "VMs", "KiB", ownersBytes),
		FitLine("list of VMs on the wire", "VMs", "KiB", listBytes),
		FitLine("settings tree in the store", "VMs", "KiB", settingsBytes),
	}
}

// measureHeartbeat measures the size of a heartbeat against the number of services.
func measureHeartbeat() LinearFit {
	var points []Point
	for _, services := range []int{5, 20, 56, 334} {
		member := SteadyState(FleetSize{VMs: services * vmsPerPool, Entries: 1}).Entries[0]
		frame := apmesh.EncodeFrame(apmesh.Heartbeat{From: member.Registration, Digest: heartbeatDigest, Report: member.Report}, 1, false)
		points = append(points, Point{float64(services), float64(len(frame))})
	}
	return FitLine("heartbeat", "services", "bytes", points)
}

// measureTick returns the mean duration of a control tick and the mean number of bytes that it allocates.
func measureTick(tables *apcontrol.Tables) (time.Duration, float64) {
	control := apcontrol.New()
	// The first tick is not measured: it fills the caches of the controller.
	control.Step(tables)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	for range measuredTicks {
		tables.Now = tables.Now.Add(tickInterval)
		control.Step(tables)
	}
	elapsed := time.Since(started) / measuredTicks
	runtime.ReadMemStats(&after)
	return elapsed, float64(after.TotalAlloc-before.TotalAlloc) / measuredTicks
}

// largestOwnersBytes returns the encoded size of the largest table of VM owners. Each data centre has its own.
func largestOwnersBytes(tables *apcontrol.Tables) int {
	largest := 0
	for dc, row := range tables.Owners {
		largest = max(largest, len(apfleet.Encode(apfleet.Ownership{DataCentre: dc, Owners: row.Table})))
	}
	return largest
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
