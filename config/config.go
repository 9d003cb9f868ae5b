// Package config is the operators' accepted configuration: one document with one
// revision, kept in the platform's key-value service and held by every node.
//
// # Usage
//
// An operator's change goes through a [Store], which writes by compare-and-swap
// and settles a lost answer by reading back the change's id:
//
//	outcome := store.Propose(ctx, expect, func(d *config.Document) error { … })
//
// Every node keeps a [Holder]; whatever brings it a document (a peer, the
// service) offers it, and the holder never steps back to a lower revision:
//
//	taken := holder.Offer(doc)
//
// The package does not decide how revisions travel; routers and agents do that
// with their own messages.
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

// Kind tells what a pool's servers are.
type Kind string

// The kinds of pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Document is a whole configuration.
type Document struct {
	Revision    uint64    `json:"revision"`
	Change      string    `json:"change"` // id of the change that made this revision
	Recent      []string  `json:"recent"` // ids of the latest changes, oldest first
	NextAccount uint32    `json:"next_account"`
	Accounts    []Account `json:"accounts"`
	Pools       []Pool    `json:"pools"`
	Servers     []Server  `json:"servers"`
	Limits      Limits    `json:"limits"`
}

// Account is a client account.
type Account struct {
	ID         uint32 `json:"id"` // never used again
	Name       string `json:"name"`
	Share      uint32 `json:"share"`
	Disabled   bool   `json:"disabled,omitempty"`
	MaxWaiting uint32 `json:"max_waiting,omitempty"` // 0: Limits.MaxWaiting
	Keys       []Key  `json:"keys"`
}

// Key is an account's credential, kept only as a hash.
type Key struct {
	Hash    string    `json:"hash"`              // SHA-256, hexadecimal
	Expires time.Time `json:"expires,omitempty"` // zero: never
}

// Pool is a set of backend servers that can do the same work.
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

// Limits are the fleet's limits and cost weights. A zero value of a field means
// its default.
type Limits struct {
	MaxWaiting   uint32 `json:"max_waiting,omitempty"`    // requests of an account at a router; 256
	MaxBodyBytes uint32 `json:"max_body_bytes,omitempty"` // bytes; 4 MiB
	UrgentCredit uint32 `json:"urgent_credit,omitempty"`  // weighted tokens; 4,000
	DebtCap      uint32 `json:"debt_cap,omitempty"`       // weighted tokens; 60,000
	InputWeight  uint32 `json:"input_weight,omitempty"`   // thousandths a token; 250
	OutputWeight uint32 `json:"output_weight,omitempty"`  // thousandths a token; 1,000
	CachedWeight uint32 `json:"cached_weight,omitempty"`  // thousandths a token; 25
	CallCost     uint32 `json:"call_cost,omitempty"`      // weighted tokens; 100
}

// WithDefaults returns the limits with every zero replaced by its default.
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

// Bounds of what a document may hold.
const (
	MaxShare    = 1_000_000
	maxBody     = 8 << 20
	maxDocument = 1 << 20 // what one value of the platform's service holds
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate returns every fault of the document, joined; nil when it has none.
func (d *Document) Validate() error {
	var faults []error
	fault := func(format string, a ...any) { faults = append(faults, errors.Newf(format, a...)) }
	d.validateAccounts(fault)
	d.validatePools(fault)
	if d.Limits.MaxBodyBytes > maxBody {
		fault("limits.max_body_bytes: %d is above %d", d.Limits.MaxBodyBytes, maxBody)
	}
	return errors.Join(faults...)
}

func (d *Document) validateAccounts(fault func(string, ...any)) {
	names := map[string]bool{}
	for i, a := range d.Accounts {
		if !namePattern.MatchString(a.Name) {
			fault("accounts[%d].name: %q is not a name of a-z, 0-9, dot, dash and underscore", i, a.Name)
		}
		if names[a.Name] {
			fault("accounts[%d].name: %q stands twice", i, a.Name)
		}
		names[a.Name] = true
		if a.Share == 0 || a.Share > MaxShare {
			fault("accounts[%d].share: %d is not from 1 to %d", i, a.Share, MaxShare)
		}
	}
}

func (d *Document) validatePools(fault func(string, ...any)) {
	pools := map[string]Kind{}
	for i, p := range d.Pools {
		if !namePattern.MatchString(p.Name) {
			fault("pools[%d].name: %q is not a name of a-z, 0-9, dot, dash and underscore", i, p.Name)
		}
		if _, twice := pools[p.Name]; twice {
			fault("pools[%d].name: %q stands twice", i, p.Name)
		}
		if p.Kind != Model && p.Kind != Service {
			fault("pools[%d].kind: %q is neither model nor service", i, p.Kind)
		}
		pools[p.Name] = p.Kind
	}
	servers := map[string]bool{}
	for i, s := range d.Servers {
		if !namePattern.MatchString(s.Name) || servers[s.Name] {
			fault("servers[%d].name: %q is not a name or stands twice", i, s.Name)
		}
		servers[s.Name] = true
		for _, p := range s.Pools {
			if _, known := pools[p]; !known {
				fault("servers[%d].pools: no pool is called %q", i, p)
			}
		}
	}
}

// Clone returns a copy that shares nothing with d.
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

// Account returns the account of that name, or nil.
func (d *Document) Account(name string) *Account {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Accounts[i]
}

// Pool returns the pool of that name, or nil.
func (d *Document) Pool(name string) *Pool {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Pools[i]
}

// Server returns the backend server of that name, or nil.
func (d *Document) Server(name string) *Server {
	i := slices.IndexFunc(d.Servers, func(s Server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Servers[i]
}

// HashKey returns the form in which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account whose key this is, or nil. A disabled account
// is returned too; the caller tells its reason.
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

// Encode returns the document as it is kept and sent.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "config: encode revision %d", d.Revision)
	}
	if len(b) > maxDocument {
		return nil, errors.Newf("config: encode revision %d: %d bytes do not fit in %d", d.Revision, len(b), maxDocument)
	}
	return b, nil
}

// Decode reads a document that Encode has made.
func Decode(b []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(b, d); err != nil {
		return nil, errors.Wrap(err, "config: decode")
	}
	return d, nil
}
