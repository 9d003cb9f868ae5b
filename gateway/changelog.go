package gateway

import "opalbridge.dev/gateway/catalog"

// changeLog holds the recent changes of servers or suspects by the store's revision, so that peers
// can be sent those instead of the full view, which grows with the fleet. Its zero value is empty.
// Entries are immutable, so a View may hold a copy of the log.
type changeLog struct {
	completeAfter catalog.Revision // the log is complete after this revision
	entries       []logEntry
}

// logEntry records that a server or suspect was added, changed or removed.
type logEntry struct {
	revision catalog.Revision
	id       string
}

// maxLogEntries bounds the log. A release of a third of 3,000 servers makes some thousand entries.
const maxLogEntries = 8192

// add records a change. Revisions must not decrease.
func (l *changeLog) add(revision catalog.Revision, id string) {
	if len(l.entries) >= maxLogEntries {
		half := len(l.entries) / 2
		l.completeAfter = l.entries[half-1].revision
		l.entries = append([]logEntry(nil), l.entries[half:]...)
	}
	l.entries = append(l.entries, logEntry{revision, id})
}

// reset empties the log: changes before the revision are unknown. Each era begins with a reset,
// so that a peer that knows an earlier one is sent the full view.
func (l *changeLog) reset(revision catalog.Revision) { *l = changeLog{completeAfter: revision} }

// since returns the IDs changed after a revision; ok is false if the log does not reach back so far.
func (l *changeLog) since(revision catalog.Revision) (ids map[string]bool, ok bool) {
	if revision < l.completeAfter {
		return nil, false
	}
	ids = map[string]bool{}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].revision > revision; i-- {
		ids[l.entries[i].id] = true
	}
	return ids, true
}
