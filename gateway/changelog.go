package gateway

import "opalbridge.dev/gateway/catalog"

// changeLog holds which servers have changed lately, by the store's revision, so that other
// gateways are told that instead of the whole view, which grows with the fleet. Its zero value is empty. What
// was added is not changed, so a View may hold a copy of the log.
type changeLog struct {
	from    catalog.Revision // complete for revisions after this one
	entries []logEntry
}

// logEntry is a server that has changed, appeared or gone.
type logEntry struct {
	revision catalog.Revision
	server   string
}

// Entries kept at most. A release of a third of 3,000 servers makes some thousand.
const maxLogEntries = 8192

// add notes a change. Revisions do not fall.
func (l *changeLog) add(revision catalog.Revision, server string) {
	if len(l.entries) >= maxLogEntries {
		half := len(l.entries) / 2
		l.from = l.entries[half-1].revision
		l.entries = append([]logEntry(nil), l.entries[half:]...)
	}
	l.entries = append(l.entries, logEntry{revision, server})
}

// restart empties the log: what was before a revision is not known. Each era begins with it, so
// that nobody who knows an earlier one is told a part.
func (l *changeLog) reset(revision catalog.Revision) { *l = changeLog{from: revision} }

// since returns the servers that have changed after a revision; ok is false if the log does
// not tell.
func (l *changeLog) since(revision catalog.Revision) (servers map[string]bool, ok bool) {
	if revision < l.from {
		return nil, false
	}
	servers = map[string]bool{}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].revision > revision; i-- {
		servers[l.entries[i].server] = true
	}
	return servers, true
}
