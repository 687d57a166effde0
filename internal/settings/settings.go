// Package settings defines the daemon's static settings: flags and environment
// variables that are validated together before the daemon starts. Configuration
// that may change while the daemon runs is published as service files.
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Settings are the static settings of one daemon.
type Settings struct {
	Name             string        `long:"name" env:"CARAWAY_NAME" description:"name of this daemon; a random suffix is added, so that a restarted daemon is a new one" default:"carawayd"`
	Zone             string        `long:"availability-zone" env:"CARAWAY_AVAILABILITY_ZONE" description:"availability zone this instance is in"`
	CallersListen    string        `long:"callers-listen" env:"CARAWAY_CALLERS_LISTEN" description:"ip:port for callers and the balancer's checks" default:"127.0.0.1:7400"`
	AdminListen      string        `long:"admin-listen" env:"CARAWAY_ADMIN_LISTEN" description:"ip:port for operators and metrics" default:"127.0.0.1:7401"`
	PeersListen      string        `long:"peers-listen" env:"CARAWAY_PEERS_LISTEN" description:"ip:port for other daemons" default:"127.0.0.1:7402"`
	PeersAdvertise   string        `long:"peers-advertise" env:"CARAWAY_PEERS_ADVERTISE" description:"ip:port other daemons dial; the peers listener's address when empty"`
	PeerLinks        string        `long:"peer-links" env:"CARAWAY_PEER_LINKS" description:"which daemons this one links to, the same at every daemon: auto (with --store, all daemons link to a few in each zone, and these to all; otherwise full), full (all, up to 14 daemons) or bounded (a few, with no daemon linked to all)" default:"auto"`
	WhenCutOff       string        `long:"when-cut-off" env:"CARAWAY_WHEN_CUT_OFF" description:"what a daemon does that has lost the log and most of its peers: refuse, or serve what needs no log by the configuration that it knows, which may be old" default:"refuse"`
	WhenFlooded      string        `long:"when-flooded" env:"CARAWAY_WHEN_FLOODED" description:"groups that a workspace gets which floods a service: part, its share of them while the others keep to the rest, or all, which uses idle groups at the cost of the others' latency; the same at every daemon" default:"part"`
	Platform         string        `long:"platform" env:"CARAWAY_PLATFORM" description:"ip:port of the platform's services"`
	Store            string        `long:"store" env:"CARAWAY_STORE" description:"ip:port of the platform's record store; when set, the daemon passes requests on as they come, by the operator's routing document and the list of backend servers in that store, and --platform is not used"`
	ReadinessListen  string        `long:"readiness-listen" env:"CARAWAY_READINESS_LISTEN" description:"ip:port for the balancer's checks, with --store only" default:"127.0.0.1:7403"`
	FirstStart       bool          `long:"first-start" env:"CARAWAY_FIRST_START" description:"the whole system starts for the first time: no request comes yet and replicas may be loaded at once, with --store only"`
	MemoryLimit      float64       `long:"memory-limit" env:"CARAWAY_MEMORY_LIMIT" description:"MiB that the process may use, which the collector keeps well below and which bounds what clients take, 0 for no limit; 55 or more for the default of --max-body-bytes" default:"0"`
	Processors       float64       `long:"processors" env:"CARAWAY_PROCESSORS" description:"processor cores that this daemon may use, 0.01 to 1024, by which daemons agree who does the control work, with --store only" default:"1"`
	RetryRatio       float64       `long:"retry-ratio" env:"CARAWAY_RETRY_RATIO" description:"retries that daemons may add for each request of a service, 0.01 to 1, with --store only" default:"0.2"`
	RetrySlack       float64       `long:"retry-slack" env:"CARAWAY_RETRY_SLACK" description:"retries that all daemons together may add besides at once, 0 to 100000, with --store only" default:"100"`
	ColdOvershoot    float64       `long:"cold-overshoot" env:"CARAWAY_COLD_OVERSHOOT" description:"requests that all daemons together may send a cold backend server in any second, as a multiple of those a second that it then takes, 0.1 to 100, with --store only" default:"1"`
	ColdSlack        float64       `long:"cold-slack" env:"CARAWAY_COLD_SLACK" description:"requests that all daemons together may send a cold backend server in any second besides, 0 to 100000, with --store only" default:"0"`
	ConnectPatience  time.Duration `long:"connect-patience" env:"CARAWAY_CONNECT_PATIENCE" description:"how long a request waits for a connection to a backend server before it goes to another replica, if there is one, as it then also does when its first dial has failed, 10ms to 10s, 0s to wait until all ways have failed; well above the longest round trip to a backend server, with --store only" default:"0s"`
	LedgerShards     int           `long:"ledger-shards" env:"CARAWAY_LEDGER_SHARDS" description:"ledger streams, 1 to 64, the same at every daemon" default:"4"`
	PlacementScopes  int           `long:"placement-scopes" env:"CARAWAY_PLACEMENT_SCOPES" description:"lease scopes of placement, 1 to 64, the same at every daemon" default:"8"`
	KeyWindow        time.Duration `long:"key-window" env:"CARAWAY_KEY_WINDOW" description:"how long idempotency keys are kept, 1m to 168h, the same at every daemon" default:"24h"`
	AppendRate       float64       `long:"append-rate" env:"CARAWAY_APPEND_RATE" description:"appends a second this daemon may make, 1 to 1000" default:"30"`
	SnapshotEvery    time.Duration `long:"snapshot-every" env:"CARAWAY_SNAPSHOT_EVERY" description:"time between snapshots of a stream, 1s to 24h, well below the log's retention" default:"10m"`
	DrainGrace       time.Duration `long:"drain-grace" env:"CARAWAY_DRAIN_GRACE" description:"how long a stopping daemon still accepts requests after it turned unready, 0s to 60s" default:"5s"`
	DrainTimeout     time.Duration `long:"drain-timeout" env:"CARAWAY_DRAIN_TIMEOUT" description:"how long a stopping daemon waits for requests in flight, 1s to 1h" default:"150s"`
	LeavingBound     time.Duration `long:"leaving-bound" env:"CARAWAY_LEAVING_BOUND" description:"how long after its entry says that it leaves, or is removed, a backend server may still get requests, 1s to 1m, the same at every daemon, with --store only; with a longer one daemons that hear nothing read the store less often" default:"2s"`
	DocumentBound    time.Duration `long:"document-bound" env:"CARAWAY_DOCUMENT_BOUND" description:"how long after it was stored an earlier version of the routing document may still be used, 1s to 1m, the same at every daemon, with --store only; with a longer one daemons that hear nothing read the store less often" default:"2s"`
	EvacuationBound  time.Duration `long:"evacuation-bound" env:"CARAWAY_EVACUATION_BOUND" description:"how long after its evacuation was stored an availability zone may still get requests, 1s to 1m, the same at every daemon, with --store only" default:"5s"`
	MaxBodyBytes     int           `long:"max-body-bytes" env:"CARAWAY_MAX_BODY_BYTES" description:"largest request a listener reads, 1024 to 67108864 bytes" default:"4194304"`
	MaxConnections   int           `long:"max-connections" env:"CARAWAY_MAX_CONNECTIONS" description:"connections of callers, 1 to 100000; fewer where memory or descriptors are short" default:"4096"`
	Descriptors      int           `long:"descriptors" env:"CARAWAY_DESCRIPTORS" description:"file descriptors that the process may have open, 64 to 10000000, of which clients' connections take two fifths at most, 0 for no limit" default:"0"`
	LogLevel         string        `long:"log-level" env:"CARAWAY_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	TLSCertificate   string        `long:"tls-certificate" env:"CARAWAY_TLS_CERTIFICATE" description:"PEM file for the callers' and admin listeners; clear text when empty"`
	TLSKey           string        `long:"tls-key" env:"CARAWAY_TLS_KEY" description:"PEM file of the certificate's key"`
	AdminClientCA    string        `long:"admin-client-ca" env:"CARAWAY_ADMIN_CLIENT_CA" description:"PEM file of the authority of operators' certificates; when set, only an operator with a certificate changes anything, under the certificate's common name"`
	ExplainDecisions int           `long:"explain-decisions" env:"CARAWAY_EXPLAIN_DECISIONS" description:"decisions kept in memory for carawayctl explain, 0 to 1000000" default:"20000"`

	// Regions holds the region of each availability zone.
	Regions map[string]string `long:"region" env:"CARAWAY_REGIONS" env-delim:"," key-value-delimiter:"=" description:"zone=region for each availability zone, repeated, or separated by commas in the environment; needed where routes or workspaces have home regions, with --store only"`
}

// Values of PeerLinks.
const (
	LinksAuto    = "auto"
	LinksFull    = "full"
	LinksBounded = "bounded"
)

// Values of WhenCutOff.
const (
	CutOffRefuse = "refuse"
	CutOffServe  = "serve"
)

// Values of WhenFlooded.
const (
	FloodedPart = "part"
	FloodedAll  = "all"
)

// ValidationErrors holds all validation errors of the settings.
type ValidationErrors []error

// Error returns one line for each error.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the arguments and the environment and validates the settings. Its
// error is ValidationErrors or a *flags.Error.
func Parse(args []string) (*Settings, error) {
	var s Settings
	p := flags.NewNamedParser("carawayd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Settings", "", &s); err != nil {
		return nil, errors.WithStack(err)
	}
	ignoreEmptyVariables(p)
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, ValidationErrors{errors.Errorf("unexpected argument %q", rest[0])}
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// ignoreEmptyVariables makes empty variables count as unset. A deploy file passes an
// empty one where the platform states no value.
func ignoreEmptyVariables(p *flags.Parser) {
	for _, group := range p.Groups() {
		for _, option := range group.Options() {
			if os.Getenv(option.EnvDefaultKey) == "" {
				option.EnvDefaultKey = ""
			}
		}
	}
}

// Validate checks all settings and returns ValidationErrors if any is invalid.
func (s *Settings) Validate() error {
	var errs ValidationErrors
	check := func(ok bool, flag, allowed string, value any) {
		if !ok {
			errs = append(errs, errors.Errorf("--%s: %v is not allowed, want %s", flag, value, allowed))
		}
	}
	check(s.Name != "" && !strings.ContainsAny(s.Name, " \t\n"), "name", "a word without spaces", strconv.Quote(s.Name))
	check(s.Zone != "", "availability-zone", "the name of an availability zone", strconv.Quote(s.Zone))
	check(isAddress(s.CallersListen), "callers-listen", "ip:port", strconv.Quote(s.CallersListen))
	check(isAddress(s.AdminListen), "admin-listen", "ip:port", strconv.Quote(s.AdminListen))
	check(isAddress(s.PeersListen), "peers-listen", "ip:port", strconv.Quote(s.PeersListen))
	check(s.PeersAdvertise == "" || isAddress(s.PeersAdvertise), "peers-advertise", "ip:port", strconv.Quote(s.PeersAdvertise))
	check(s.PeerLinks == LinksAuto || s.PeerLinks == LinksFull || s.PeerLinks == LinksBounded, "peer-links", "auto, full or bounded", strconv.Quote(s.PeerLinks))
	check(s.WhenCutOff == CutOffRefuse || s.WhenCutOff == CutOffServe, "when-cut-off", "refuse or serve", strconv.Quote(s.WhenCutOff))
	check(s.WhenFlooded == FloodedPart || s.WhenFlooded == FloodedAll, "when-flooded", "part or all", strconv.Quote(s.WhenFlooded))
	check(s.Store != "" || isAddress(s.Platform), "platform", "ip:port, or --store", strconv.Quote(s.Platform))
	check(s.Store == "" || isAddress(s.Store), "store", "ip:port", strconv.Quote(s.Store))
	check(isAddress(s.ReadinessListen), "readiness-listen", "ip:port", strconv.Quote(s.ReadinessListen))
	check(inRange(s.MemoryLimit, 0, 1<<20), "memory-limit", "0 to 1048576 MiB", s.MemoryLimit)
	check(s.Processors >= 0.01 && s.Processors <= 1024, "processors", "0.01 to 1024", s.Processors)
	check(inRange(s.RetryRatio, 0.01, 1), "retry-ratio", "0.01 to 1", s.RetryRatio)
	check(inRange(s.RetrySlack, 0, 100_000), "retry-slack", "0 to 100000", s.RetrySlack)
	check(inRange(s.ColdOvershoot, 0.1, 100), "cold-overshoot", "0.1 to 100", s.ColdOvershoot)
	check(inRange(s.ColdSlack, 0, 100_000), "cold-slack", "0 to 100000", s.ColdSlack)
	check(s.ConnectPatience == 0 || inRange(s.ConnectPatience, 10*time.Millisecond, 10*time.Second), "connect-patience", "0s, or 10ms to 10s", s.ConnectPatience)
	check(inRange(s.LedgerShards, 1, 64), "ledger-shards", "1 to 64", s.LedgerShards)
	check(inRange(s.PlacementScopes, 1, 64), "placement-scopes", "1 to 64", s.PlacementScopes)
	check(inRange(s.KeyWindow, time.Minute, 168*time.Hour), "key-window", "1m to 168h", s.KeyWindow)
	check(inRange(s.AppendRate, 1, 1000), "append-rate", "1 to 1000", s.AppendRate)
	check(inRange(s.SnapshotEvery, time.Second, 24*time.Hour), "snapshot-every", "1s to 24h", s.SnapshotEvery)
	check(inRange(s.DrainGrace, 0, time.Minute), "drain-grace", "0s to 60s", s.DrainGrace)
	check(inRange(s.DrainTimeout, time.Second, time.Hour), "drain-timeout", "1s to 1h", s.DrainTimeout)
	check(inRange(s.LeavingBound, time.Second, time.Minute), "leaving-bound", "1s to 1m", s.LeavingBound)
	check(inRange(s.DocumentBound, time.Second, time.Minute), "document-bound", "1s to 1m", s.DocumentBound)
	check(inRange(s.EvacuationBound, time.Second, time.Minute), "evacuation-bound", "1s to 1m", s.EvacuationBound)
	check(inRange(s.MaxBodyBytes, 1<<10, 64<<20), "max-body-bytes", "1024 to 67108864", s.MaxBodyBytes)
	check(inRange(s.MaxConnections, 1, 100_000), "max-connections", "1 to 100000", s.MaxConnections)
	check(s.Descriptors == 0 || inRange(s.Descriptors, 64, 10_000_000), "descriptors", "64 to 10000000, or 0", s.Descriptors)
	check(inRange(s.ExplainDecisions, 0, 1_000_000), "explain-decisions", "0 to 1000000", s.ExplainDecisions)
	_, err := log.ParseLevel(s.LogLevel)
	check(err == nil, "log-level", "debug, info, warn or error", strconv.Quote(s.LogLevel))
	check((s.TLSCertificate == "") == (s.TLSKey == ""), "tls-key", "both tls-certificate and tls-key, or neither", strconv.Quote(s.TLSKey))
	check(s.AdminClientCA == "" || s.TLSCertificate != "", "admin-client-ca", "tls-certificate and tls-key with it", strconv.Quote(s.AdminClientCA))
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// RegionOf returns the region of an availability zone, "" if it is not stated.
func (s *Settings) RegionOf(zone fleet.Zone) fleet.Region {
	return fleet.Region(s.Regions[string(zone)])
}

// HasSeveralRegions reports whether the availability zones are in more than one region.
func (s *Settings) HasSeveralRegions() bool {
	regions := map[string]bool{}
	for _, region := range s.Regions {
		regions[region] = true
	}
	return len(regions) > 1
}

func inRange[T int | float64 | time.Duration](v, low, high T) bool { return v >= low && v <= high }

// isAddress reports whether s is a numeric address and a port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

// processIDDigits is the number of digits at the end of a daemon's id that
// identify its process.
const processIDDigits = 8

// DaemonID returns a new id for a daemon with these settings. Each call returns
// a different id.
func (s *Settings) DaemonID() fleet.DaemonID {
	return fleet.DaemonID(fmt.Sprintf("%s-%s", s.Name, uuid.NewString()[:processIDDigits]))
}

// InstanceName returns the instance name in a daemon's id, or an empty string if
// the id was not created by DaemonID.
func InstanceName(id fleet.DaemonID) string {
	at := len(id) - processIDDigits - 1
	if at < 0 || id[at] != '-' {
		return ""
	}
	return string(id[:at])
}
