// Package catalog holds what the operators and the backend servers have announced:
// the configuration in force and the servers that take work.
//
// # Usage
//
//	c, err := catalog.NewConfiguration(document)
//	route, ok := c.Route("example.org", "/chat/completions")
//	account, ok := c.Account(key)
//
// Values are read-only once they are made, so that any goroutine may use them. The
// package does no input or output and reads no clock.
package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind tells whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	OneShot    Kind = iota // runs at most once
	Repeatable             // may run more than once
	Stream                 // an answer in events; runs at most once unless its route is resumable
)

// Route says where requests of a host and a path prefix go.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Targets       []Target
	Timeout       time.Duration // longest time a request may be held; 0: no limit
	Objective     time.Duration // an answer (a stream: its first event) within this time is in time
	CallerTimeout time.Duration // a caller waits this long for a first event before it gives up
	MaxEventGap   time.Duration // longest pause between events that is still in time; 0: none is told
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // most servers that one request may go to
	Public        bool          // needs no key
	Resumable     bool          // a stream that may go on at another server after an event
	Regions       Regions       // where its requests may go
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a request; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of servers that do the same work.
type Service struct {
	Name           string
	MaxConnections int     // connections one server takes from all callers together; 0: unknown
	Engine         *Engine // nil: a plain service
	// A server that has started under load is cold for ColdFor and bears ColdPerSecond
	// requests a second meanwhile; 0: servers are never cold.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int // requests that run at once
	KVTokens       int // memory for the tokens of running requests and cached prompts
	MaxEventTokens int // tokens in one event of a stream, for estimates; 0: unknown
	// How servers take cached parts of prompts from one another; 0: they don't.
	BytesPerToken int     // memory of one token
	LinkMbps      float64 // of a server, for copies
}

// Copies tells whether servers take cached parts of prompts from one another.
func (e *Engine) Copies() bool { return e != nil && e.BytesPerToken > 0 && e.LinkMbps > 0 }

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	Regions  Regions // where its requests may go
}

// Regions are those in which requests may be read and served; nil: all.
type Regions []string

// Allow tells whether requests may go to a region.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// And returns the regions that both allow.
func (r Regions) And(other Regions) Regions {
	if r == nil {
		return other
	}
	both := Regions{}
	for _, region := range r {
		if other.Allow(region) {
			both = append(both, region)
		}
	}
	return both
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // tokens that the servers make together, a read token once and a made one twice; 0: unknown
}

// Document is a configuration as it was announced.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keys     map[string]int // key to index in Accounts
	Limits   Limits
}

// Configuration is a document with its look-ups.
type Configuration struct {
	Document
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	homes    []Regions // of the routes and accounts that are bound to some
}

// NewConfiguration checks a document and makes its look-ups.
func NewConfiguration(d Document) (*Configuration, error) {
	c := &Configuration{Document: d, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Targets) == 0 {
			return nil, errors.Newf("catalog: route %q of version %d goes to no service", r.Name, d.Version)
		}
		c.bind(r.Regions)
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range c.Accounts {
		c.bind(a.Regions)
	}
	return c, nil
}

// bind notes regions to which something is bound.
func (c *Configuration) bind(r Regions) {
	known := func(x Regions) bool { return slices.Equal(x, r) }
	if r != nil && !slices.ContainsFunc(c.homes, known) {
		c.homes = append(c.homes, r)
	}
}

// Free tells whether every request may be read and served in a region.
func (c *Configuration) Free(region string) bool {
	return !slices.ContainsFunc(c.homes, func(r Regions) bool { return !r.Allow(region) })
}

// Route returns the route with the longest prefix that begins the path; a port in
// host is ignored.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (c *Configuration) Account(key string) (Account, bool) {
	i, ok := c.Keys[key]
	if !ok {
		return Account{}, false
	}
	return c.Accounts[i], true
}

// Service returns the service of that name.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Server is one lifetime of a backend server, from a start to its end. One that starts again
// may keep its name; what was learned of the lifetime before tells nothing of the new one.
type Server struct {
	ID       string // names the lifetime, see [LifetimeID]
	Born     int64  // when it started, in milliseconds since 1970 by its host's clock; 0: not told
	Service  string
	Version  string // of its software; empty: not told
	Address  string // IP and port
	Hall     string
	Capacity int  // requests it works on at once
	Leaving  bool // it takes no new work
	// Its hall is evacuated: it takes no new work until the operators take that back.
	Evacuated bool
}

// bornMark stands between a server's name and its start in the ID of a lifetime. Names do
// not hold it.
const bornMark = "@"

// LifetimeID returns the ID of a lifetime of the server of that name. If its start was not
// told, all of them have the same.
func LifetimeID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + bornMark + strconv.FormatInt(born, 10)
}

// ServerName returns the name of the server that has a lifetime of that ID.
func ServerName(id string) string {
	name, _, _ := strings.Cut(id, bornMark)
	return name
}

// Name is what the server calls itself.
func (s Server) Name() string { return ServerName(s.ID) }
