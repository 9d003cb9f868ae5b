// Package settings parses the settings file of a process. The file is YAML and parsed
// strictly; all errors are reported together, each with its line.
//
// # Usage
//
//	s, err := settings.Parse(settings.Router, content)
//	var fieldErrors settings.FieldErrors
//	if errors.As(err, &fieldErrors) { … }
//
// Values that all nodes must agree on are not settings. They are part of the
// configuration, which operators change by remote procedure calls.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
)

// Role is the kind of process that the settings are for.
type Role string

// Roles of processes.
const (
	Router  Role = "router"
	Agent   Role = "agent"
	Gateway Role = "gateway"
)

// Roles lists all roles.
var Roles = []Role{Router, Agent, Gateway}

// Settings holds the settings of a process. Fields that don't apply to its role are
// zero.
type Settings struct {
	Name              string
	Hall              string
	Region            string
	CallerAddress     string
	PeerAddress       string
	AdminAddress      string
	PlatformURL       string
	OperatorTokenHash string
	ServerURL         string
	Slots             int
	Degree            int
	ReportInterval    time.Duration
	StopTimeout       time.Duration
	LogLevel          zerolog.Level
	OTLPURL           string
	Certificate       string
	CertificateKey    string
	PeerCA            string
	Records           int

	// The following fields apply to gateways only.
	FrontAddress   string
	ReadyAddress   string
	StoreAddress   string
	Seeds          []string
	MemoryMB       int
	ResponseHeadKB int
	CPULimit       float64
	FileLimit      int
	RetryRatio     float64
	RetryExtra     float64
	RetryWindow    time.Duration
	Gateways       int
	ShareWindow    time.Duration
	ColdFactor     float64
	ColdExtra      float64
	Regions        map[string]string

	// Optional decisions of gateways; see their keys.
	IdleSurplus    Mode
	AvoidPauses    bool
	MoveStreams    Mode
	BackUpStreams  Mode
	QueuePlainWork Mode
	Withdraw       Mode
	Offload        Mode

	texts map[string]string // by key, as the file or else its default has it
}

// Mode says whether an optional decision is made.
type Mode int

// Modes.
const (
	Off  Mode = iota
	Auto      // for the services whose configuration calls for it
	On
)

// FieldError is an error at one key of a settings file.
type FieldError struct {
	Line    int
	Key     string
	Message string
}

// Error implements error.
func (f FieldError) Error() string { return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Message) }

// FieldErrors holds all errors of a settings file.
type FieldErrors []FieldError

// Error implements error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, o := range f {
		lines[i] = o.Error()
	}
	return "settings: " + strings.Join(lines, "\n")
}

// Field describes one key of a settings file.
type Field struct {
	Key      string
	Roles    []Role
	Required bool
	Default  string
	Doc      string
	set      func(s *Settings, text string) error
}

// Fields returns the keys that the settings of a role may contain, in table order.
func Fields(r Role) []Field {
	var list []Field
	for _, f := range fields {
		if slices.Contains(f.Roles, r) {
			list = append(list, f)
		}
	}
	return list
}

var (
	allRoles       = []Role{Router, Agent, Gateway}
	routerAndAgent = []Role{Router, Agent}
	router         = []Role{Router}
	agent          = []Role{Agent}
	gateway        = []Role{Gateway}
)

var fields = []Field{
	{"name", allRoles, true, "", "Name of this process, unique in the fleet. An agent has the name of its server in the configuration.",
		func(s *Settings, t string) error { s.Name = t; return checkNotEmpty(t) }},
	{"hall", allRoles, true, "", "Hall in which the host stands.",
		func(s *Settings, t string) error { s.Hall = t; return checkNotEmpty(t) }},
	{"region", allRoles, false, "", "Region of the hall, for reports.",
		func(s *Settings, t string) error { s.Region = t; return nil }},
	{"caller_address", router, true, "", "IP and port on which callers and operators are served.",
		func(s *Settings, t string) error { s.CallerAddress = t; return checkAddrPort(t) }},
	{"peer_address", allRoles, true, "", "IP and port on which other processes of the fleet are served.",
		func(s *Settings, t string) error { s.PeerAddress = t; return checkAddrPort(t) }},
	{"admin_address", allRoles, false, "", "IP and port of metrics, traces and readiness; empty: not served.",
		func(s *Settings, t string) error { s.AdminAddress = t; return checkOptional(t, checkAddrPort) }},
	{"platform_url", router, true, "", "URL of the platform's key-value service and live list.",
		func(s *Settings, t string) error { s.PlatformURL = t; return checkURL(t) }},
	{"operator_token_hash", router, true, "", "SHA-256 of the operators' token, in hexadecimal (opalbridge hash makes it).",
		func(s *Settings, t string) error { s.OperatorTokenHash = t; return checkHash(t) }},
	{"server_url", agent, true, "", "URL of the backend server beside the agent.",
		func(s *Settings, t string) error { s.ServerURL = t; return checkURL(t) }},
	{"slots", agent, false, "8", "Requests the server is given at once at most.",
		func(s *Settings, t string) error { return setInt(&s.Slots, t, 1, 4096) }},
	{"degree", router, false, "0", "Agents of each pool the router connects to; 0: all.",
		func(s *Settings, t string) error { return setInt(&s.Degree, t, 0, 100000) }},
	{"report_interval", routerAndAgent, false, "2s", "Time between exchanges of service counters (a duration such as 500ms).",
		func(s *Settings, t string) error {
			return setDuration(&s.ReportInterval, t, 100*time.Millisecond, time.Minute)
		}},
	{"stop_timeout", allRoles, false, "10m", "A planned stop waits so long for requests in flight (a duration such as 10m).",
		func(s *Settings, t string) error { return setDuration(&s.StopTimeout, t, 0, 24*time.Hour) }},
	{"log_level", allRoles, false, "info", "Least level that is logged: debug, info, warn or error.",
		func(s *Settings, t string) error { return setLevel(&s.LogLevel, t) }},
	{"otlp_url", allRoles, false, "", "OTLP/HTTP endpoint that takes traces; empty: none.",
		func(s *Settings, t string) error { s.OTLPURL = t; return checkOptional(t, checkURL) }},
	{"certificate", routerAndAgent, false, "", "File of this process's TLS certificate chain (PEM); read again when it changes.",
		func(s *Settings, t string) error { s.Certificate = t; return nil }},
	{"certificate_key", routerAndAgent, false, "", "File of the certificate's key (PEM).",
		func(s *Settings, t string) error { s.CertificateKey = t; return nil }},
	{"peer_ca", routerAndAgent, false, "", "File of the authority whose certificates the fleet's processes show each other (PEM). Empty: no TLS between processes.",
		func(s *Settings, t string) error { s.PeerCA = t; return nil }},
	{"records", routerAndAgent, false, "4096", "Decisions kept in memory for explanations; 0: none.",
		func(s *Settings, t string) error { return setInt(&s.Records, t, 0, 1<<20) }},
	{"front_address", gateway, true, "", "IP and port on which callers are served.",
		func(s *Settings, t string) error { s.FrontAddress = t; return checkAddrPort(t) }},
	{"ready_address", gateway, true, "", "IP and port on which the balancer asks whether the gateway takes connections.",
		func(s *Settings, t string) error { s.ReadyAddress = t; return checkAddrPort(t) }},
	{"store_address", gateway, true, "", "IP and port of the platform's store.",
		func(s *Settings, t string) error { s.StoreAddress = t; return checkAddrPort(t) }},
	{"seeds", gateway, false, "", "IP numbers, by commas, where other gateways may be; a port is ignored.",
		func(s *Settings, t string) error { return setAddresses(&s.Seeds, t) }},
	{"memory_mb", gateway, false, "0", "Memory of the process in MB, of which the garbage collector keeps clear; 0: no limit.",
		func(s *Settings, t string) error { return setInt(&s.MemoryMB, t, 0, 1<<20) }},
	{"response_head_kb", gateway, false, "64", "Longest head of a server's answer in KB (1,024 bytes), with the interim heads before it. A server that sends a longer one has not answered.",
		func(s *Settings, t string) error { return setInt(&s.ResponseHeadKB, t, 1, 1024) }},
	{"processor", gateway, false, "1", "Share of a core that the process may use; those of a hall that have most pass news on for the others.",
		func(s *Settings, t string) error { return setFloat(&s.CPULimit, t, 0, 1024) }},
	{"descriptors", gateway, false, "0", "Open files and sockets that the process may have; 0: the system's own limit.",
		func(s *Settings, t string) error { return setInt(&s.FileLimit, t, 0, 1<<20) }},
	{"repeat_ratio", gateway, false, "0.2", "Requests that the fleet may send to servers again in a window, for each request of it.",
		func(s *Settings, t string) error { return setFloat(&s.RetryRatio, t, 0, 10) }},
	{"repeat_extra", gateway, false, "20", "Requests that the fleet may send again in a window besides.",
		func(s *Settings, t string) error { return setFloat(&s.RetryExtra, t, 0, 1e6) }},
	{"gateways", gateway, false, "0", "Gateways of the fleet, if their number is fixed; 0: not known. Each then takes its part of repeat_extra, and else three at most, and a little for its requests: repeat_extra should be three for each gateway or more.",
		func(s *Settings, t string) error { return setInt(&s.Gateways, t, 0, 1e5) }},
	{"repeat_window", gateway, false, "10s", "Window of repeat_ratio and repeat_extra (a duration such as 10s).",
		func(s *Settings, t string) error { return setDuration(&s.RetryWindow, t, time.Second, time.Hour) }},
	{"share_window", gateway, false, "4s", "Window in which accounts' shares are kept (a duration such as 4s).",
		func(s *Settings, t string) error { return setDuration(&s.ShareWindow, t, time.Second, time.Hour) }},
	{"cold_factor", gateway, false, "1", "The fleet may send a cold server, in any second, as many requests as the configuration says that it bears in one, times this, plus cold_extra.",
		func(s *Settings, t string) error { return setFloat(&s.ColdFactor, t, 0, 100) }},
	{"cold_extra", gateway, false, "0", "See cold_factor. It is left for gateways that have not heard yet that the server is cold.",
		func(s *Settings, t string) error { return setFloat(&s.ColdExtra, t, 0, 1e6) }},
	{"regions", gateway, false, "", "Region of each hall, as HALL=REGION by commas, for accounts and routes that are bound to regions.",
		func(s *Settings, t string) error { return setRegions(&s.Regions, t) }},
	{"surplus", gateway, false, "share", "What accounts beyond their share get: share (mostly as they got least), idle (idle servers, unless others wait for them), or auto (idle for services where pauses are avoided and whose streams' objectives are 450 ms or more).",
		func(s *Settings, t string) error { return setMode(&s.IdleSurplus, t, "share", "idle") }},
	{"pauses", gateway, false, "ignore", "Whether requests avoid servers where they would delay the events of running streams beyond their route's longest pause: ignore or avoid.",
		func(s *Settings, t string) error { return setChoice(&s.AvoidPauses, t, "ignore", "avoid") }},
	{"stream_moves", gateway, false, "off", "Whether streams move off servers that leave, if their engines can: off, on, or auto (on if, of every service with streams, pauses are avoided and the objectives are 450 ms or more).",
		func(s *Settings, t string) error { return setMode(&s.MoveStreams, t, "off", "on") }},
	{"stream_backups", gateway, false, "off", "Whether streams are backed up to a second server where that is worth it, if their engines can: off, on, or auto (as of stream_moves).",
		func(s *Settings, t string) error { return setMode(&s.BackUpStreams, t, "off", "on") }},
	{"plain_queue", gateway, false, "none", "Whether requests to plain servers wait at the gateway for a free slot: none, slots, or auto (slots for services whose routes' objectives are 250 ms or more).",
		func(s *Settings, t string) error { return setMode(&s.QueuePlainWork, t, "none", "slots") }},
	{"withdraw", gateway, false, "off", "Whether a gateway without CPU time for its callers fails the load balancer's health checks for a while, if a larger one in its hall has CPU to spare: off, on, or auto (on if, of every service with streams, pauses are avoided and the objectives are 450 ms or more).",
		func(s *Settings, t string) error { return setMode(&s.Withdraw, t, "off", "on") }},
	{"offload", gateway, false, "hall", "Which gateways take connections that one without CPU time cannot serve: hall (of its hall), region (of its hall, then those of other halls of the region that have CPU to spare; needs regions), or auto (region if, of every service with streams, pauses are avoided and the objectives are 450 ms or more).",
		func(s *Settings, t string) error { return setMode(&s.Offload, t, "hall", "region") }},
}

// Parse parses the settings of a role. If the content is valid YAML but not valid
// settings, the error is a FieldErrors.
func Parse(r Role, content []byte) (*Settings, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(content, &document); err != nil {
		return nil, errors.Wrap(err, "settings: not YAML")
	}
	p := &parser{settings: &Settings{texts: map[string]string{}}, fields: Fields(r), lines: map[string]int{}}
	p.applyDefaults()
	p.parseDocument(&document)
	p.checkRequired()
	p.checkCombinations()
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b FieldError) int { return a.Line - b.Line })
		return nil, p.errs
	}
	return p.settings, nil
}

type parser struct {
	settings *Settings
	fields   []Field
	lines    map[string]int // line of each key in the file
	errs     FieldErrors
}

func (p *parser) addError(line int, key, format string, a ...any) {
	p.errs = append(p.errs, FieldError{Line: line, Key: key, Message: fmt.Sprintf(format, a...)})
}

func (p *parser) applyDefaults() {
	for _, f := range p.fields {
		p.settings.texts[f.Key] = f.Default
		if f.Default != "" {
			if err := f.set(p.settings, f.Default); err != nil {
				panic(errors.NewAssertionErrorWithWrappedErrf(err, "settings: default of %s", f.Key))
			}
		}
	}
}

func (p *parser) parseDocument(d *yaml.Node) {
	if d.Kind == 0 {
		return // empty file: checkRequired reports the missing keys
	}
	root := d.Content[0]
	if root.Kind != yaml.MappingNode {
		p.addError(root.Line, "file", "must be a mapping of keys to values")
		return
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		p.parsePair(root.Content[i], root.Content[i+1])
	}
}

func (p *parser) parsePair(key, value *yaml.Node) {
	index := slices.IndexFunc(p.fields, func(f Field) bool { return f.Key == key.Value })
	if index < 0 {
		p.addError(key.Line, key.Value, "no such key%s", p.suggest(key.Value))
		return
	}
	if first, duplicate := p.lines[key.Value]; duplicate {
		p.addError(key.Line, key.Value, "stands twice, first on line %d", first)
		return
	}
	p.lines[key.Value] = key.Line
	if value.Kind != yaml.ScalarNode {
		p.addError(value.Line, key.Value, "must be a single value")
		return
	}
	p.settings.texts[key.Value] = value.Value
	if err := p.fields[index].set(p.settings, value.Value); err != nil {
		p.addError(value.Line, key.Value, "%v", err)
	}
}

func (p *parser) checkRequired() {
	for _, f := range p.fields {
		if _, present := p.lines[f.Key]; f.Required && !present {
			p.addError(0, f.Key, "missing: %s", f.Doc)
		}
	}
}

// checkCombinations checks the rules that involve several keys.
func (p *parser) checkCombinations() {
	s := p.settings
	if (s.Certificate == "") != (s.CertificateKey == "") {
		p.addError(p.lines["certificate"], "certificate", "certificate and certificate_key must stand together")
	}
	if s.PeerCA != "" && s.Certificate == "" {
		p.addError(p.lines["peer_ca"], "peer_ca", "needs certificate and certificate_key")
	}
}

// suggest returns a hint that names the known key closest to a misspelt one, or an
// empty string if none is close.
func (p *parser) suggest(key string) string {
	best, bestDistance := "", len(key)/2+1
	for _, f := range p.fields {
		if d := editDistance(key, f.Key); d < bestDistance {
			best, bestDistance = f.Key, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", best)
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := diagonal
			if a[i-1] != b[j-1] {
				change++
			}
			diagonal = row[j]
			row[j] = min(change, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

func checkNotEmpty(t string) error {
	if t == "" {
		return errors.New("must not be empty")
	}
	return nil
}

func checkOptional(t string, check func(string) error) error {
	if t == "" {
		return nil
	}
	return check(t)
}

func checkAddrPort(t string) error {
	host, _, err := net.SplitHostPort(t)
	if err != nil {
		return errors.Newf("%q is not an IP and port such as 10.0.0.1:8080", t)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return errors.Newf("%q is not an IP address", host)
	}
	if _, err := netip.ParseAddrPort(t); err != nil {
		return errors.Newf("%q has no valid port", t)
	}
	return nil
}

func checkURL(t string) error {
	u, err := url.Parse(t)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Newf("%q is not an http or https URL", t)
	}
	return nil
}

func checkHash(t string) error {
	const digits = 64
	for _, c := range t {
		if !strings.ContainsRune("0123456789abcdef", c) {
			return errors.New("is not in lower-case hexadecimal")
		}
	}
	if len(t) != digits {
		return errors.Newf("has %d digits, not %d", len(t), digits)
	}
	return nil
}

func setInt(to *int, t string, lower, upper int) error {
	v, err := strconv.Atoi(t)
	if err != nil || v < lower || v > upper {
		return errors.Newf("%q is not a whole number from %d to %d", t, lower, upper)
	}
	*to = v
	return nil
}

func setFloat(to *float64, t string, lower, upper float64) error {
	v, err := strconv.ParseFloat(t, 64)
	if err != nil || !(v >= lower && v <= upper) {
		return errors.Newf("%q is not a number from %g to %g", t, lower, upper)
	}
	*to = v
	return nil
}

func setAddresses(to *[]string, t string) error {
	*to = nil
	for _, a := range strings.Split(t, ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if _, err := netip.ParseAddr(a); err != nil && checkAddrPort(a) != nil {
			return errors.Newf("%q is not an IP address", a)
		}
		*to = append(*to, a)
	}
	return nil
}

func setRegions(to *map[string]string, t string) error {
	*to = map[string]string{}
	for _, entry := range strings.Split(t, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		hall, region, ok := strings.Cut(entry, "=")
		if !ok || hall == "" || region == "" {
			return errors.Newf("%q is not HALL=REGION", entry)
		}
		if _, duplicate := (*to)[hall]; duplicate {
			return errors.Newf("hall %q is listed twice", hall)
		}
		(*to)[hall] = region
	}
	return nil
}

// setMode sets a mode from one of two words, or auto.
func setMode(to *Mode, t, off, on string) error {
	modes := map[string]Mode{off: Off, "auto": Auto, on: On}
	m, ok := modes[t]
	if !ok {
		return errors.Newf("%q is neither %s nor auto nor %s", t, off, on)
	}
	*to = m
	return nil
}

// setChoice sets whether the second of two words was given.
func setChoice(to *bool, t, off, on string) error {
	if t != off && t != on {
		return errors.Newf("%q is neither %s nor %s", t, off, on)
	}
	*to = t == on
	return nil
}

func setDuration(to *time.Duration, t string, lower, upper time.Duration) error {
	v, err := time.ParseDuration(t)
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 500ms", t)
	}
	if v < lower || v > upper {
		return errors.Newf("%s is not from %s to %s", v, lower, upper)
	}
	*to = v
	return nil
}

func setLevel(to *zerolog.Level, t string) error {
	v, err := zerolog.ParseLevel(t)
	if err != nil || t == "" {
		return errors.Newf("%q is not debug, info, warn or error", t)
	}
	*to = v
	return nil
}
