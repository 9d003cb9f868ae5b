package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// backend is a server of the pages. Its answers to streams carry no length and end with their
// channel, as the pages allow.
type backend struct {
	name     string
	events   int
	interval time.Duration
	mutex    sync.Mutex
	out      io.Writer // run events, a line each
}

// runBackend is the process of one server. It ends when its standard input does: as any process
// that ends, it then leaves the closing of its channels to the kernel.
func runBackend(args []string) {
	flags := flag.NewFlagSet("backend", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	b := &backend{out: os.Stdout}
	flags.StringVar(&b.name, "name", "", "id of the server")
	flags.IntVar(&b.events, "events", 0, "events of a stream")
	flags.DurationVar(&b.interval, "interval", 0, "time between two events")
	_ = flags.Parse(args) // it exits on errors
	l, err := net.Listen("tcp4", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin) // until it is closed
}

// runEvent is a line of the server's log.
type runEvent struct {
	Server string
	ID     string
	What   string // "begun", "ended"
	Events int
}

func (b *backend) log(e runEvent) {
	e.Server = b.name
	line, _ := json.Marshal(e) // a plain struct is always encoded
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.out, "%s\n", line)
}

// serve serves one request after the other until a stream ends with its channel.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.URL.Path == "/opalbridge/report":
			writeAnswer(c, b.name, "", "200 OK", `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"in_flight":false,"call_seq":2,"queued":0,"running":0,"kv_used_tokens":0,"kv_total":570274,"sessions":0}`)
		case r.URL.Path == "/opalbridge/kv-events":
			writeAnswer(c, b.name, "", "200 OK", `{"epoch":1,"next_token":0,"lost":false,"events":[]}`)
		case r.Header.Get("Expect-Instance") != b.name:
			writeAnswer(c, b.name, r.Header.Get("Attempt-Id"), "421 Misdirected Request", "")
		default:
			b.stream(c, r.Header.Get("Attempt-Id"))
			return
		}
	}
}

// stream answers with events; the last one says so.
func (b *backend) stream(c net.Conn, id string) {
	b.log(runEvent{ID: id, What: "begun", Events: b.events})
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nInstance-Id: %s\r\nVersions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id, b.name)
	for n := 1; n <= b.events; n++ {
		time.Sleep(b.interval)
		word := "more"
		if n == b.events {
			word = "last"
		}
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %s of %d\n\n", n, word, id, b.events); err != nil {
			return
		}
	}
	b.log(runEvent{ID: id, What: "ended", Events: b.events})
}

// writeAnswer writes an answer with a length.
func writeAnswer(w io.Writer, server, id, status, body string) {
	if id != "" {
		id = "Attempt-Id: " + id + "\r\n"
	}
	fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, id, server, len(body), body)
}
