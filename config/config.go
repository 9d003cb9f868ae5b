// Package config defines the configuration accepted from the operators: one document
// with one revision, stored in the platform's key-value service and cached by every
// node.
//
// # Usage
//
// An operator's change goes through a [Store], which writes by compare-and-swap
// and resolves a lost response by reading back the change's id:
//
//	outcome := store.Propose(ctx, expect, func(d *config.Document) error { … })
//
// Every node has a [Holder]. Documents received from a peer or from the service are
// offered to it, and it never goes back to a lower revision:
//
//	updated := holder.Offer(doc)
//
// The package does not distribute revisions; routers and agents do that with their
// own messages.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of service that a pool's servers provide.
type Kind string

// Kinds of pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Document is a complete configuration.
type Document struct {
	Revision    uint64    `json:"revision"`
	Change      string    `json:"change"` // id of the change that produced this revision
	Recent      []string  `json:"recent"` // ids of the most recent changes, oldest first
	NextAccount uint32    `json:"next_account"`
	Accounts    []Account `json:"accounts"`
	Pools       []Pool    `json:"pools"`
	Servers     []Server  `json:"servers"`
	Limits      Limits    `json:"limits"`
}

// Account is a client account.
type Account struct {
	ID         uint32 `json:"id"` // never reused
	Name       string `json:"name"`
	Share      uint32 `json:"share"`
	Disabled   bool   `json:"disabled,omitempty"`
	MaxWaiting uint32 `json:"max_waiting,omitempty"` // 0: Limits.MaxWaiting
	Keys       []Key  `json:"keys"`
}

// Key is an API key of an account, of which only the hash is stored.
type Key struct {
	Hash    string    `json:"hash"`              // SHA-256, hexadecimal
	Expires time.Time `json:"expires,omitempty"` // zero: never
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Server is a backend server.
type Server struct {
	Name    string   `json:"name"`
	Hall    string   `json:"hall"`
	Pools   []string `json:"pools"`
	Leaving bool     `json:"leaving,omitempty"`
}

// Limits holds the fleet's limits and cost weights. A zero field means its default.
type Limits struct {
	MaxWaiting   uint32 `json:"max_waiting,omitempty"`    // queued requests of an account at a router; 256
	MaxBodyBytes uint32 `json:"max_body_bytes,omitempty"` // bytes; 4 MiB
	UrgentCredit uint32 `json:"urgent_credit,omitempty"`  // weighted tokens; 4,000
	DebtCap      uint32 `json:"debt_cap,omitempty"`       // weighted tokens; 60,000
	InputWeight  uint32 `json:"input_weight,omitempty"`   // thousandths per token; 250
	OutputWeight uint32 `json:"output_weight,omitempty"`  // thousandths per token; 1,000
	CachedWeight uint32 `json:"cached_weight,omitempty"`  // thousandths per token; 25
	CallCost     uint32 `json:"call_cost,omitempty"`      // weighted tokens; 100
}

// WithDefaults returns l with every zero field replaced by its default.
func (l Limits) WithDefaults() Limits {
	defaults := []struct {
		field *uint32
		value uint32
	}{
		{&l.MaxWaiting, 256},
		{&l.MaxBodyBytes, 4 << 20},
		{&l.UrgentCredit, 4000},
		{&l.DebtCap, 60000},
		{&l.InputWeight, 250},
		{&l.OutputWeight, 1000},
		{&l.CachedWeight, 25},
		{&l.CallCost, 100},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return l
}

// Bounds on the values of a document.
const (
	MaxShare         = 1_000_000
	maxBodyBytes     = 8 << 20
	maxDocumentBytes = 1 << 20 // largest value that the platform's key-value service stores
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate returns all errors of the document, joined, or nil if it is valid.
func (d *Document) Validate() error {
	var errs []error
	addError := func(format string, a ...any) { errs = append(errs, errors.Newf(format, a...)) }
	d.validateAccounts(addError)
	d.validatePools(addError)
	if d.Limits.MaxBodyBytes > maxBodyBytes {
		addError("limits.max_body_bytes: %d is above %d", d.Limits.MaxBodyBytes, maxBodyBytes)
	}
	return errors.Join(errs...)
}

func (d *Document) validateAccounts(addError func(string, ...any)) {
	names := map[string]bool{}
	for i, a := range d.Accounts {
		if !namePattern.MatchString(a.Name) {
			addError("accounts[%d].name: %q is not a name of a-z, 0-9, dot, dash and underscore", i, a.Name)
		}
		if names[a.Name] {
			addError("accounts[%d].name: %q stands twice", i, a.Name)
		}
		names[a.Name] = true
		if a.Share == 0 || a.Share > MaxShare {
			addError("accounts[%d].share: %d is not from 1 to %d", i, a.Share, MaxShare)
		}
	}
}

func (d *Document) validatePools(addError func(string, ...any)) {
	pools := map[string]Kind{}
	for i, p := range d.Pools {
		if !namePattern.MatchString(p.Name) {
			addError("pools[%d].name: %q is not a name of a-z, 0-9, dot, dash and underscore", i, p.Name)
		}
		if _, duplicate := pools[p.Name]; duplicate {
			addError("pools[%d].name: %q stands twice", i, p.Name)
		}
		if p.Kind != Model && p.Kind != Service {
			addError("pools[%d].kind: %q is neither model nor service", i, p.Kind)
		}
		pools[p.Name] = p.Kind
	}
	servers := map[string]bool{}
	for i, s := range d.Servers {
		if !namePattern.MatchString(s.Name) || servers[s.Name] {
			addError("servers[%d].name: %q is not a name or stands twice", i, s.Name)
		}
		servers[s.Name] = true
		for _, p := range s.Pools {
			if _, known := pools[p]; !known {
				addError("servers[%d].pools: no pool is called %q", i, p)
			}
		}
	}
}

// Clone returns a deep copy of d.
func (d *Document) Clone() *Document {
	c := *d
	c.Recent = slices.Clone(d.Recent)
	c.Accounts = slices.Clone(d.Accounts)
	for i := range c.Accounts {
		c.Accounts[i].Keys = slices.Clone(c.Accounts[i].Keys)
	}
	c.Pools = slices.Clone(d.Pools)
	c.Servers = slices.Clone(d.Servers)
	for i := range c.Servers {
		c.Servers[i].Pools = slices.Clone(c.Servers[i].Pools)
	}
	return &c
}

// Account returns the account with the given name, or nil.
func (d *Document) Account(name string) *Account {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Accounts[i]
}

// Pool returns the pool with the given name, or nil.
func (d *Document) Pool(name string) *Pool {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Pools[i]
}

// Server returns the backend server with the given name, or nil.
func (d *Document) Server(name string) *Server {
	i := slices.IndexFunc(d.Servers, func(s Server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Servers[i]
}

// HashKey returns the SHA-256 hash of a key in hexadecimal, the form in which it is
// stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account that the key belongs to, or nil. It also returns
// disabled accounts, so that the caller can report why the request is refused.
func (d *Document) Authenticate(key string, now time.Time) *Account {
	hash := []byte(HashKey(key))
	var found *Account
	for i := range d.Accounts {
		for _, k := range d.Accounts[i].Keys {
			valid := k.Expires.IsZero() || now.Before(k.Expires)
			if valid && subtle.ConstantTimeCompare(hash, []byte(k.Hash)) == 1 {
				found = &d.Accounts[i]
			}
		}
	}
	return found
}

// Encode returns the document in the form in which it is stored and sent.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "config: encode revision %d", d.Revision)
	}
	if len(b) > maxDocumentBytes {
		return nil, errors.Newf("config: encode revision %d: %d bytes do not fit in %d", d.Revision, len(b), maxDocumentBytes)
	}
	return b, nil
}

// Decode parses a document encoded by Encode.
func Decode(b []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(b, d); err != nil {
		return nil, errors.Wrap(err, "config: decode")
	}
	return d, nil
}
