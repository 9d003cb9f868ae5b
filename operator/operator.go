// Package operator implements the operators' remote procedure calls, the only interface
// for operators. They are defined in operatorpb/operator.proto and served by every
// router.
//
// # Usage
//
//	s := &operator.Service{Store: store, Fleet: router, TokenHash: hash}
//	mux.Handle(s.Handler())
//
// A change is accepted once it is written to the platform's key-value service. It comes
// into force on every node within seconds.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"opalbridge.dev/config"
	"opalbridge.dev/explain"
	"opalbridge.dev/operator/operatorpb"
	"opalbridge.dev/operator/operatorpb/operatorpbconnect"
	"opalbridge.dev/router"
)

// OldKeyGracePeriod is the time for which an account's previous key stays valid after a
// rotation.
const OldKeyGracePeriod = time.Hour

// CurrentRevisionHeader is the header of a conflict response that contains the current
// revision.
const CurrentRevisionHeader = "Opalbridge-Current-Revision"

// Fleet is the interface of the router that the service runs in.
type Fleet interface {
	Revision() uint64
	Nodes(ctx context.Context) []router.NodeView
	Accounts(ctx context.Context) []router.AccountView
	Explain(ctx context.Context, request, account string) (events []explain.Event, unreached []string)
}

// Service implements the operators' calls.
type Service struct {
	Store     *config.Store
	Fleet     Fleet
	TokenHash string // config.HashKey of the operators' token
}

var _ operatorpbconnect.OperatorHandler = (*Service)(nil)

// Handler returns the path and the HTTP handler of the calls. Calls without the
// operators' token are rejected.
func (s *Service) Handler() (path string, handler http.Handler) {
	return operatorpbconnect.NewOperatorHandler(s, connect.WithInterceptors(connect.UnaryInterceptorFunc(s.authenticate)))
}

func (s *Service) authenticate(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		token, _ := strings.CutPrefix(r.Header().Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(config.HashKey(token)), []byte(s.TokenHash)) != 1 {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the operators' token is missing or wrong"))
		}
		return next(ctx, r)
	}
}

// propose proposes a change and converts its outcome to a document or an error with a
// Connect code.
func (s *Service) propose(ctx context.Context, expect uint64, change func(*config.Document) error) (*config.Document, error) {
	switch o := s.Store.Propose(ctx, expect, change).(type) {
	case config.Accepted:
		return o.Document, nil
	case config.Conflict:
		err := connect.NewError(connect.CodeAborted, errors.Newf("the current revision is %d", o.Current))
		err.Meta().Set(CurrentRevisionHeader, fmt.Sprint(o.Current))
		return nil, err
	case config.Rejected:
		var connectErr *connect.Error
		if errors.As(o.Reason, &connectErr) {
			return nil, connectErr
		}
		return nil, connect.NewError(connect.CodeInvalidArgument, o.Reason)
	case config.Indeterminate:
		return nil, connect.NewError(connect.CodeUnavailable,
			errors.Newf("it is not known whether change %s was accepted: %v", o.Change, o.Reason))
	default:
		panic(fmt.Sprintf("operator: unknown outcome %T", o))
	}
}

func notFound(kind, name string) error {
	return connect.NewError(connect.CodeNotFound, errors.Newf("there is no %s %q", kind, name))
}

// GetConfiguration implements operatorpbconnect.OperatorHandler.
func (s *Service) GetConfiguration(ctx context.Context, _ *connect.Request[operatorpb.GetConfigurationRequest]) (*connect.Response[operatorpb.Configuration], error) {
	d, _, err := s.Store.Load(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(encodeConfiguration(d)), nil
}

func encodeConfiguration(d *config.Document) *operatorpb.Configuration {
	c := &operatorpb.Configuration{Revision: d.Revision, Limits: encodeLimits(d.Limits)}
	for _, a := range d.Accounts {
		c.Accounts = append(c.Accounts, &operatorpb.Account{Name: a.Name, Share: a.Share, Disabled: a.Disabled, MaxWaiting: a.MaxWaiting})
	}
	for _, p := range d.Pools {
		c.Pools = append(c.Pools, &operatorpb.Pool{Name: p.Name, Kind: string(p.Kind)})
	}
	for _, v := range d.Servers {
		c.Servers = append(c.Servers, &operatorpb.Server{Name: v.Name, Hall: v.Hall, Pools: v.Pools, Leaving: v.Leaving})
	}
	return c
}

func encodeLimits(l config.Limits) *operatorpb.Limits {
	l = l.WithDefaults()
	return &operatorpb.Limits{
		MaxWaiting:   l.MaxWaiting,
		MaxBodyBytes: l.MaxBodyBytes,
		UrgentCredit: l.UrgentCredit,
		DebtCap:      l.DebtCap,
		InputWeight:  l.InputWeight,
		OutputWeight: l.OutputWeight,
		CachedWeight: l.CachedWeight,
		CallCost:     l.CallCost,
	}
}

// CreateAccount implements operatorpbconnect.OperatorHandler.
func (s *Service) CreateAccount(ctx context.Context, r *connect.Request[operatorpb.CreateAccountRequest]) (*connect.Response[operatorpb.CreateAccountResponse], error) {
	a := r.Msg.Account
	if a == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("account: missing"))
	}
	key := NewKey()
	d, err := s.propose(ctx, r.Msg.Expect, func(d *config.Document) error {
		if d.Account(a.Name) != nil {
			return connect.NewError(connect.CodeAlreadyExists, errors.Newf("there is an account %q", a.Name))
		}
		AddAccount(d, config.Account{Name: a.Name, Share: a.Share, Disabled: a.Disabled, MaxWaiting: a.MaxWaiting}, key)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorpb.CreateAccountResponse{Key: key, Revision: d.Revision}), nil
}

// NewKey returns a new random account key.
func NewKey() string { return "ob-" + rand.Text() }

// AddAccount adds an account with the given key to a document and assigns its ID.
func AddAccount(d *config.Document, a config.Account, key string) {
	d.NextAccount++
	a.ID = d.NextAccount
	a.Keys = []config.Key{{Hash: config.HashKey(key)}}
	d.Accounts = append(d.Accounts, a)
}

// UpdateAccount implements operatorpbconnect.OperatorHandler.
func (s *Service) UpdateAccount(ctx context.Context, r *connect.Request[operatorpb.UpdateAccountRequest]) (*connect.Response[operatorpb.Changed], error) {
	m := r.Msg
	return s.applyChange(ctx, m.Expect, func(d *config.Document) error {
		a := d.Account(m.Name)
		if a == nil {
			return notFound("account", m.Name)
		}
		if m.Share != nil {
			a.Share = *m.Share
		}
		if m.Disabled != nil {
			a.Disabled = *m.Disabled
		}
		if m.MaxWaiting != nil {
			a.MaxWaiting = *m.MaxWaiting
		}
		return nil
	})
}

func (s *Service) applyChange(ctx context.Context, expect uint64, change func(*config.Document) error) (*connect.Response[operatorpb.Changed], error) {
	d, err := s.propose(ctx, expect, change)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorpb.Changed{Revision: d.Revision}), nil
}

// RotateKey implements operatorpbconnect.OperatorHandler.
func (s *Service) RotateKey(ctx context.Context, r *connect.Request[operatorpb.RotateKeyRequest]) (*connect.Response[operatorpb.CreateAccountResponse], error) {
	key := NewKey()
	d, err := s.propose(ctx, r.Msg.Expect, func(d *config.Document) error {
		a := d.Account(r.Msg.Name)
		if a == nil {
			return notFound("account", r.Msg.Name)
		}
		now := time.Now()
		a.Keys = slices.DeleteFunc(a.Keys, func(k config.Key) bool { return !k.Expires.IsZero() && k.Expires.Before(now) })
		for i := range a.Keys {
			if a.Keys[i].Expires.IsZero() {
				a.Keys[i].Expires = now.Add(OldKeyGracePeriod)
			}
		}
		a.Keys = append(a.Keys, config.Key{Hash: config.HashKey(key)})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorpb.CreateAccountResponse{Key: key, Revision: d.Revision}), nil
}

// PutPool implements operatorpbconnect.OperatorHandler.
func (s *Service) PutPool(ctx context.Context, r *connect.Request[operatorpb.PutPoolRequest]) (*connect.Response[operatorpb.Changed], error) {
	m := r.Msg.Pool
	if m == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("pool: missing"))
	}
	return s.applyChange(ctx, r.Msg.Expect, func(d *config.Document) error {
		p := config.Pool{Name: m.Name, Kind: config.Kind(m.Kind)}
		if old := d.Pool(m.Name); old != nil {
			*old = p
			return nil
		}
		d.Pools = append(d.Pools, p)
		return nil
	})
}

// DeletePool implements operatorpbconnect.OperatorHandler.
func (s *Service) DeletePool(ctx context.Context, r *connect.Request[operatorpb.DeletePoolRequest]) (*connect.Response[operatorpb.Changed], error) {
	return s.applyChange(ctx, r.Msg.Expect, func(d *config.Document) error {
		if d.Pool(r.Msg.Name) == nil {
			return notFound("pool", r.Msg.Name)
		}
		d.Pools = slices.DeleteFunc(d.Pools, func(p config.Pool) bool { return p.Name == r.Msg.Name })
		return nil
	})
}

// PutServer implements operatorpbconnect.OperatorHandler.
func (s *Service) PutServer(ctx context.Context, r *connect.Request[operatorpb.PutServerRequest]) (*connect.Response[operatorpb.Changed], error) {
	m := r.Msg.Server
	if m == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("server: missing"))
	}
	return s.applyChange(ctx, r.Msg.Expect, func(d *config.Document) error {
		v := config.Server{Name: m.Name, Hall: m.Hall, Pools: m.Pools, Leaving: m.Leaving}
		if old := d.Server(m.Name); old != nil {
			*old = v
			return nil
		}
		d.Servers = append(d.Servers, v)
		return nil
	})
}

// DeleteServer implements operatorpbconnect.OperatorHandler.
func (s *Service) DeleteServer(ctx context.Context, r *connect.Request[operatorpb.DeleteServerRequest]) (*connect.Response[operatorpb.Changed], error) {
	return s.applyChange(ctx, r.Msg.Expect, func(d *config.Document) error {
		if d.Server(r.Msg.Name) == nil {
			return notFound("server", r.Msg.Name)
		}
		d.Servers = slices.DeleteFunc(d.Servers, func(v config.Server) bool { return v.Name == r.Msg.Name })
		return nil
	})
}

// PutLimits implements operatorpbconnect.OperatorHandler.
func (s *Service) PutLimits(ctx context.Context, r *connect.Request[operatorpb.PutLimitsRequest]) (*connect.Response[operatorpb.Changed], error) {
	l := r.Msg.Limits
	if l == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("limits: missing"))
	}
	return s.applyChange(ctx, r.Msg.Expect, func(d *config.Document) error {
		d.Limits = config.Limits{
			MaxWaiting:   l.MaxWaiting,
			MaxBodyBytes: l.MaxBodyBytes,
			UrgentCredit: l.UrgentCredit,
			DebtCap:      l.DebtCap,
			InputWeight:  l.InputWeight,
			OutputWeight: l.OutputWeight,
			CachedWeight: l.CachedWeight,
			CallCost:     l.CallCost,
		}
		return nil
	})
}

// Status implements operatorpbconnect.OperatorHandler.
func (s *Service) Status(ctx context.Context, _ *connect.Request[operatorpb.StatusRequest]) (*connect.Response[operatorpb.StatusResponse], error) {
	m := &operatorpb.StatusResponse{Revision: s.Fleet.Revision()}
	for _, v := range s.Fleet.Nodes(ctx) {
		m.Nodes = append(m.Nodes, encodeNode(v))
	}
	for _, a := range s.Fleet.Accounts(ctx) {
		m.Accounts = append(m.Accounts, &operatorpb.AccountStatus{
			Name: a.Name, Share: a.Share, Service: a.Service, Backlogged: a.Backlogged, Waiting: uint32(a.Waiting),
		})
	}
	return connect.NewResponse(m), nil
}

func encodeNode(v router.NodeView) *operatorpb.Node {
	n := &operatorpb.Node{Name: v.Host.Name, Role: string(v.Host.Role), Hall: v.Host.Hall}
	st := v.Status
	if st == nil {
		n.Degraded = []string{"not reached"}
		return n
	}
	n.Reached = true
	n.Incarnation = st.Incarnation
	n.Revision = st.Revision
	n.Running, n.Limit, n.Waiting = st.Running, st.Limit, st.Waiting
	n.Gap, n.Bound = st.Gap, st.Bound
	n.ControlBytes = st.ControlBytes
	n.Degraded = st.Degraded
	return n
}

// Explain implements operatorpbconnect.OperatorHandler.
func (s *Service) Explain(ctx context.Context, r *connect.Request[operatorpb.ExplainRequest]) (*connect.Response[operatorpb.ExplainResponse], error) {
	if (r.Msg.Request == "") == (r.Msg.Account == "") {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("name either a request or an account"))
	}
	events, unreached := s.Fleet.Explain(ctx, r.Msg.Request, r.Msg.Account)
	m := &operatorpb.ExplainResponse{Unreached: unreached}
	for _, e := range events {
		m.Events = append(m.Events, &operatorpb.Event{
			UnixNano: e.At.UnixNano(), Node: e.Node, Kind: string(e.Kind), Attempt: e.Attempt, Text: e.Text, Revision: e.Revision,
		})
	}
	return connect.NewResponse(m), nil
}
