package apmesh

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// documents holds the newest known document of each key. A document is replaced only by one with a
// higher revision, whichever entry sends it.
type documents struct {
	mu    sync.Mutex
	byKey map[apfleet.Key]apstore.Document
	// digest is the XOR of the revisionDigests of all documents.
	digest uint64
}

func newDocuments() *documents {
	return &documents{byKey: make(map[apfleet.Key]apstore.Document)}
}

// apply stores doc if its revision is higher than the known one, and reports whether it did.
func (d *documents) apply(doc apstore.Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.byKey[doc.Key].Revision
	if doc.Revision <= known {
		return false
	}
	if known != 0 {
		d.digest ^= revisionDigest(doc.Key, known)
	}
	d.digest ^= revisionDigest(doc.Key, doc.Revision)
	d.byKey[doc.Key] = doc
	return true
}

func (d *documents) get(key apfleet.Key) (apstore.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, ok := d.byKey[key]
	return doc, ok
}

// currentDigest returns a value that is equal for equal sets of documents.
func (d *documents) currentDigest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest
}

// revisions returns the revisions of all documents, sorted by key.
func (d *documents) revisions() []KeyRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make([]KeyRevision, 0, len(d.byKey))
	for key, doc := range d.byKey {
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

// newerThan returns the documents that are newer than the listed revisions or have keys that are not listed.
func (d *documents) newerThan(listed []KeyRevision) []DocumentRow {
	known := make(map[apfleet.Key]apstore.Revision, len(listed))
	for _, row := range listed {
		known[row.Key] = row.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var rows []DocumentRow
	for key, doc := range d.byKey {
		if doc.Revision > known[key] {
			rows = append(rows, DocumentRow(doc))
		}
	}
	return rows
}

func revisionDigest(key apfleet.Key, revision apstore.Revision) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(key))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = digest.Write([]byte{byte(revision >> shift)})
	}
	return digest.Sum64()
}
