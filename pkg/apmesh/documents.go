package apmesh

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// documents holds the newest known document of each key. A document is replaced only by one with a
// higher revision, whoever offers it.
type documents struct {
	mu     sync.Mutex
	rows   map[apfleet.Key]apstore.Document
	digest uint64
}

func newDocuments() *documents {
	return &documents{rows: make(map[apfleet.Key]apstore.Document)}
}

// apply stores doc and reports whether it was newer than the one known before.
func (d *documents) apply(doc apstore.Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.rows[doc.Key].Revision
	if doc.Revision <= known {
		return false
	}
	if known != 0 {
		d.digest ^= rowDigest(doc.Key, known)
	}
	d.digest ^= rowDigest(doc.Key, doc.Revision)
	d.rows[doc.Key] = doc
	return true
}

func (d *documents) get(key apfleet.Key) (apstore.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, ok := d.rows[key]
	return doc, ok
}

func (d *documents) summary() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest
}

// revisions lists all keys in order.
func (d *documents) revisions() []KeyRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make([]KeyRevision, 0, len(d.rows))
	for key, doc := range d.rows {
		rows = append(rows, KeyRevision{Key: key, Revision: doc.Revision})
	}
	slices.SortFunc(rows, func(a, b KeyRevision) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return rows
}

// newerThan returns the documents that are newer than the listed revisions.
func (d *documents) newerThan(listed []KeyRevision) []DocumentRow {
	known := make(map[apfleet.Key]apstore.Revision, len(listed))
	for _, row := range listed {
		known[row.Key] = row.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var rows []DocumentRow
	for key, doc := range d.rows {
		if doc.Revision > known[key] {
			rows = append(rows, DocumentRow(doc))
		}
	}
	return rows
}

func rowDigest(key apfleet.Key, revision apstore.Revision) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(key))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = digest.Write([]byte{byte(revision >> shift)})
	}
	return digest.Sum64()
}
