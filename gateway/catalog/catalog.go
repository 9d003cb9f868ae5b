// Package catalog holds the configuration in force, which the operators publish, and the
// servers that take work, which register themselves.
//
// # Usage
//
//	c, err := catalog.NewConfiguration(document)
//	route, ok := c.Route("example.org", "/chat/completions")
//	account, ok := c.Account(key)
//
// Values are immutable once created and safe for concurrent use. The package does no
// input or output and does not read the clock.
package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind defines how often a request may run.
type Kind int

// Kinds of requests.
const (
	OneShot    Kind = iota // runs at most once
	Repeatable             // may run more than once
	Stream                 // streams its answer as events; runs at most once unless its route is resumable
)

// Route defines where requests with a host and a path prefix go.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Targets       []Target
	Timeout       time.Duration // maximum time for which a request may be held; 0: unlimited
	Objective     time.Duration // latency objective of an answer, or of a stream's first event
	CallerTimeout time.Duration // time after which a caller without a first event gives up
	MaxEventGap   time.Duration // maximum gap between events within the objective; 0: none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of servers that a request may be sent to
	Public        bool          // needs no key
	Resumable     bool          // an interrupted stream may be resumed at another server
	Regions       Regions       // regions in which its requests may be served
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// HasTarget reports whether a service is among the targets of the route.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickService selects the service of a request by weight; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of servers that do the same work.
type Service struct {
	Name           string
	MaxConnections int     // that one server accepts from all clients together; 0: unknown
	Engine         *Engine // nil for a plain service
	// A server that has started under load is cold for ColdFor and sustains ColdPerSecond
	// requests a second during that time; 0: servers are never cold.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int // requests that run concurrently
	KVTokens       int // capacity in tokens for running requests and cached prompts
	MaxEventTokens int // tokens in one event of a stream, for estimates; 0: unknown
	// How servers copy cached parts of prompts from each other; 0: not supported.
	BytesPerToken int           // cache memory of one token
	LinkMbps      float64       // bandwidth of a server for copies
	Moves         bool          // a running request can be moved to another server
	Backups       bool          // the memory of a running request can be copied to another server as it grows
	CopyRetention time.Duration // how long a copy of a run is kept that is not used; 0: unknown
}

// SupportsCacheCopy reports whether servers copy cached parts of prompts from each other.
func (e *Engine) SupportsCacheCopy() bool { return e != nil && e.BytesPerToken > 0 && e.LinkMbps > 0 }

// CanMoveRuns reports whether runs can be moved to other servers. Without the figures of copies, their
// time on the links could not be bounded.
func (e *Engine) CanMoveRuns() bool { return e.SupportsCacheCopy() && e.Moves }

// CanBackUpRuns reports whether runs can be backed up at other servers.
func (e *Engine) CanBackUpRuns() bool { return e.SupportsCacheCopy() && e.Backups }

// Account is a client account.
type Account struct {
	Name        string
	Priority    int     // 0 is the most urgent
	HasPriority bool    // it has a priority of its own, which replaces that of routes
	Regions     Regions // regions in which its requests may be served
}

// PriorityOn returns the priority of the account's requests on a route.
func (a Account) PriorityOn(r *Route) int {
	if a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// Regions is the set of regions in which requests may be read and served; nil: all.
type Regions []string

// Allows reports whether requests may go to a region.
func (r Regions) Allows(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	if r == nil {
		return other
	}
	result := Regions{}
	for _, region := range r {
		if other.Allows(region) {
			result = append(result, region)
		}
	}
	return result
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
	TokensPerSecond float64 // throughput of all servers together, counting a prompt token once and a generated one twice; 0: unknown
}

// Document is a configuration as published.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keys     map[string]int // index in Accounts by key
	Limits   Limits
}

// Configuration is an indexed document.
type Configuration struct {
	Document
	routesByHost   map[string][]*Route // by lower-case host, longest prefix first
	servicesByName map[string]*Service
	restrictions   []Regions // restricted region sets of routes and accounts, without duplicates
}

// NewConfiguration validates and indexes a document.
func NewConfiguration(d Document) (*Configuration, error) {
	c := &Configuration{Document: d, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Targets) == 0 {
			return nil, errors.Newf("catalog: route %q of version %d has no target service", r.Name, d.Version)
		}
		c.addRestriction(r.Regions)
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range c.Accounts {
		c.addRestriction(a.Regions)
	}
	return c, nil
}

// addRestriction adds the region set of a route or account.
func (c *Configuration) addRestriction(r Regions) {
	equal := func(x Regions) bool { return slices.Equal(x, r) }
	if r != nil && !slices.ContainsFunc(c.restrictions, equal) {
		c.restrictions = append(c.restrictions, r)
	}
}

// Unrestricted reports whether every request may be read and served in a region.
func (c *Configuration) Unrestricted(region string) bool {
	return !slices.ContainsFunc(c.restrictions, func(r Regions) bool { return !r.Allows(region) })
}

// Route returns the route with the longest prefix of the path; a port in host is ignored.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.routesByHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account of a key.
func (c *Configuration) Account(key string) (Account, bool) {
	i, ok := c.Keys[key]
	if !ok {
		return Account{}, false
	}
	return c.Accounts[i], true
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.servicesByName[name]
	return s, ok
}

// Server is one lifetime of a backend server: one run of its process, from start to end. After a
// restart the server may keep its name, but what was learned of an earlier lifetime does not apply.
type Server struct {
	ID       string // identifies the lifetime, see [LifetimeID]
	Born     int64  // start time in milliseconds since 1970 by its host's clock; 0: unknown
	Service  string
	Version  string // of its software; empty: unknown
	Address  string // IP and port
	Hall     string
	Capacity int  // requests that it runs concurrently
	Leaving  bool // it takes no new work
	// Its hall is evacuated: it takes no new work until the operators end the evacuation.
	Evacuated bool
}

// idSeparator separates a server's name from its start time in an ID. Names do not contain it.
const idSeparator = "@"

// LifetimeID returns the ID of a lifetime of the named server. All lifetimes without a
// known start time have the same ID.
func LifetimeID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + idSeparator + strconv.FormatInt(born, 10)
}

// ServerName returns the name of the server with the given lifetime ID.
func ServerName(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// Name returns the server's own name.
func (s Server) Name() string { return ServerName(s.ID) }
