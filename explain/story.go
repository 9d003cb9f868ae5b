package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line holds the fields of a process's log line that this package uses. Fields that a
// line lacks are zero.
type Line struct {
	Time          time.Time `json:"time"`
	Node          string    `json:"node"`
	Event         string    `json:"event"`
	Request       string    `json:"request"`
	Requests      requests  `json:"requests"` // set instead of Request if the line is about several
	Server        string    `json:"server"`
	Account       string    `json:"account"`
	Reason        string    `json:"reason"`
	Error         string    `json:"error"`
	Result        string    `json:"result"`
	Attempt       int       `json:"attempt"`
	Attempts      int       `json:"attempts"`
	Status        int       `json:"status"`
	Version       uint64    `json:"version"`        // of the configuration
	ServerVersion string    `json:"server_version"` // of a server's software
	Resumes       string    `json:"resumes"`        // the attempt whose stream is taken up
	AfterEvent    string    `json:"after_event"`
	Outcome       string    `json:"outcome"`
	Target        string    `json:"target"` // of a move or a backup
	From          string    `json:"from"`   // the server that gave a copy's handle
	Cause         string    `json:"cause"`
	Revision      uint64    `json:"revision"`
	Predicted     float64   `json:"predicted"` // milliseconds, as all durations below
	Work          float64   `json:"work"`
	TimeLeft      float64   `json:"left"`
	FirstByte     float64   `json:"first"`
	Total         float64   `json:"whole"`
	RetryAfter    float64   `json:"retry_after"`
	PrefillTime   float64   `json:"reading"`
	Objective     float64   `json:"objective"`
	Elapsed       float64   `json:"spent"`        // since the caller's first request
	StoppingFor   float64   `json:"stopping_for"` // since a shutdown was requested; 0: it was not
	Tokens        float64   `json:"tokens"`
	Hall          string    `json:"hall"`
	Route         string    `json:"route"`
	Kind          string    `json:"kind"`
	ShareRatio    float64   `json:"ahead"`
	OverShare     bool      `json:"over_share"`
	Retried       bool      `json:"again"`
	Leaving       bool      `json:"leaving"`
	EndedBy       string    `json:"ended_by"`
	Peer          string    `json:"peer"`
	Connections   int       `json:"connections"`
	Offloaded     int       `json:"offloaded"` // connections that other gateways serve
	MayHaveRun    bool      `json:"may_have_run"`

	order int // position among the lines of its log
}

// requests is the field of a line about several requests: their IDs, or only their number.
type requests struct {
	ids   []string
	count int
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *requests) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, &r.ids)
	}
	return json.Unmarshal(b, &r.count)
}

// Limits of reading logs.
const (
	maxLineSize = 1 << 20
	// A node's state changes are shown if they are at most this much older than the
	// request's last line.
	stateChangeWindow = 30 * time.Second
)

// Story reads log lines and writes what happened to a request, in order of time over all
// processes, along with the state changes of the processes involved from shortly before.
// Lines that are not JSON objects are skipped; text before an object is ignored.
func Story(w io.Writer, request string, logs ...io.Reader) error {
	var own, changes []Line
	for _, r := range logs {
		err := readLines(r, func(l Line) {
			if slices.Contains(l.Requests.ids, request) {
				l.Request = request
			}
			if l.Request == request {
				own = append(own, l)
			} else if l.Request == "" {
				changes = append(changes, l)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(own) == 0 {
		return errors.Newf("explain: no line names request %s; one that no gateway has read has only a request.dropped without its id", request)
	}
	lines := append(own, relatedChanges(own, changes)...)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.order, b.order))
	})
	for _, l := range lines {
		mark := " "
		if l.Request == "" {
			mark = "." // a state change, not a step of the request
		}
		if _, err := fmt.Fprintf(w, "%s %s %-20s %s\n", l.Time.Format("15:04:05.000"), mark, l.Node, describe(l)); err != nil {
			return errors.Wrap(err, "explain: write")
		}
	}
	return nil
}

// readLines calls f for each line that holds a JSON object.
func readLines(r io.Reader, f func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineSize)
	order := 0
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(s.Bytes()[at:], &l); err != nil {
			continue // another program's line
		}
		order++
		l.order = order
		f(l)
	}
	return errors.Wrap(s.Err(), "explain: read log")
}

// relatedChanges returns the state changes that concern a request: those that its nodes
// logged about the store, the configuration and the servers that it was sent to.
func relatedChanges(own, changes []Line) []Line {
	nodes, servers := map[string]bool{}, map[string]bool{}
	last := own[0].Time
	for _, l := range own {
		nodes[l.Node] = true
		if l.Server != "" {
			servers[l.Server] = true
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var kept []Line
	for _, l := range changes {
		age := last.Sub(l.Time)
		about := l.Server == "" || servers[l.Server]
		if nodes[l.Node] && about && age >= 0 && age < stateChangeWindow && !strings.HasPrefix(l.Event, "request.") {
			kept = append(kept, l)
		}
	}
	return kept
}

// describe returns a line's event in words.
func describe(l Line) string {
	switch l.Event {
	case "attempt.sent":
		share := "within its share"
		if l.OverShare {
			share = fmt.Sprintf("over its share (%.2f of an even part)", l.ShareRatio)
		}
		server := l.Server
		if l.ServerVersion != "" {
			server += " of version " + l.ServerVersion
		}
		if l.AfterEvent != "" {
			server += " to go on after event " + l.AfterEvent
		}
		return fmt.Sprintf("attempt %d sent to server %s: first event predicted in %.0f ms, %.0f ms of it reading; %.0f ms left; account %s %s",
			l.Attempt, server, l.Predicted, l.Work, l.TimeLeft, l.Account, share)
	case "stream.resumed":
		return fmt.Sprintf("takes up the stream of attempt %q after event %s: %s, version %q", l.Resumes, l.AfterEvent, l.Outcome, l.ServerVersion)
	case "stream.backed_up":
		return fmt.Sprintf("backed up from server %s at server %s", l.Server, l.Target)
	case "stream.moved":
		text := fmt.Sprintf("server %s leaves under its stream after event %s: %s", l.Server, cmp.Or(l.AfterEvent, "none"), l.Outcome)
		if l.Target != "" {
			text += " to server " + l.Target
		}
		return text + reasonText(l)
	case "stream.continued":
		return fmt.Sprintf("goes on at server %s by a handle of server %s after event %s (%s): %s", l.Server, l.From, cmp.Or(l.AfterEvent, "none"), l.Cause, l.Outcome) + reasonText(l)
	case "attempt.failed":
		return fmt.Sprintf("attempt %d failed (may have run: %t): %s", l.Attempt, l.MayHaveRun, l.Error)
	case "request.refused":
		return fmt.Sprintf("refused as not run: %s; the best server would have taken %.0f ms; told to come back after %.0f ms (over share: %t, had come back: %t)",
			l.Reason, l.Predicted, l.RetryAfter, l.OverShare, l.Retried)
	case "request.denied":
		stopping := ""
		if l.StoppingFor > 0 {
			stopping = fmt.Sprintf(", %.1f s after a shutdown was requested", l.StoppingFor/1e3)
		}
		return fmt.Sprintf("denied with %d%s: %s", l.Status, stopping, l.Reason)
	case "request.cut":
		return "answer broken off: " + l.Error
	case "request.ended":
		text := fmt.Sprintf("%s after %d attempts, first byte after %.0f ms, end after %.0f ms", l.Result, l.Attempts, l.FirstByte, l.Total)
		if l.EndedBy != "" {
			text += ", ended by " + l.EndedBy
		}
		return text + reasonText(l)
	case "stop":
		return fmt.Sprintf("shutdown requested, %d requests in hand", l.Requests.count)
	case "stop.cut":
		return fmt.Sprintf("grace period expired: %d requests, %d connections and %d that others serve are ended", l.Requests.count, l.Connections, l.Offloaded)
	case "link.ended":
		return fmt.Sprintf("link of gateway %s ended: %s", l.Peer, l.Error)
	case "configuration.in_force":
		return fmt.Sprintf("configuration %d in force (store revision %d)", l.Version, l.Revision)
	case "server.changed":
		return fmt.Sprintf("server %s: leaving %t", l.Server, l.Leaving)
	case "server.gone", "server.missing", "server.silent", "server.stalled":
		return fmt.Sprintf("server %s: %s", l.Server, strings.TrimPrefix(l.Event, "server."))
	case "server.answers_again":
		return fmt.Sprintf("server %s: answers again", l.Server)
	default:
		return strings.TrimSpace(l.Event + " " + l.Error + " " + l.Reason)
	}
}

// reasonText returns a line's reason, if it has one, as the end of a description.
func reasonText(l Line) string {
	if l.Reason == "" {
		return ""
	}
	return ": " + l.Reason
}
