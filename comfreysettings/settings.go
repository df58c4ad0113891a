// Package comfreysettings defines the settings of the long-running processes,
// which are set by flags and environment variables and checked at startup.
package comfreysettings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// Process holds the settings that gateways and sidecars share.
type Process struct {
	Host        string        `arg:"--host,env:COMFREY_HOST" help:"name of this host in the platform's host list"`
	DataCentre  string        `arg:"--data-centre,env:COMFREY_DATA_CENTRE" help:"data centre of this host"`
	Listen      string        `arg:"--listen,env:COMFREY_LISTEN" help:"address to listen on, host:port"`
	AdminListen string        `arg:"--admin-listen,env:COMFREY_ADMIN_LISTEN" help:"address of health, metrics and debug pages; none if empty"`
	Platform    string        `arg:"--platform,env:COMFREY_PLATFORM" help:"base URL of the platform's read-and-watch service"`
	Peers       []string      `arg:"--peers,env:COMFREY_PEERS" help:"internal addresses of processes to ask for the configuration while the platform cannot be reached"`
	Key         string        `arg:"--key,env:COMFREY_KEY" help:"secret shared by all processes, at least 16 bytes; prefer the environment variable"`
	DrainLimit  time.Duration `arg:"--drain-limit,env:COMFREY_DRAIN_LIMIT" help:"longest planned stop; the default is 2m, or that of the service"`
	LogLevel    string        `arg:"--log-level,env:COMFREY_LOG_LEVEL" default:"info" help:"error, warning, info or debug"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Process
	PeerListen string        `arg:"--peer-listen,env:COMFREY_PEER_LISTEN" help:"address for the other processes of the fleet; the one in the host list"`
	DrainDelay time.Duration `arg:"--drain-delay,env:COMFREY_DRAIN_DELAY" default:"5s" help:"time for the balancer to notice a planned stop; 0s for none"`
	TraceOut   string        `arg:"--trace-out,env:COMFREY_TRACE_OUT" help:"file or named pipe that receives a replayable line for each request"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process
	Service  string `arg:"--service,env:COMFREY_SERVICE" help:"service that the upstream serves"`
	Fencing  string `arg:"--fencing,env:COMFREY_FENCING" default:"ignored" help:"enforced if the upstream refuses orders with an old fencing number, else ignored"`
	Upstream string `arg:"--upstream,env:COMFREY_UPSTREAM" help:"base URL of the upstream beside this process"`
}

// Faults lists the invalid settings, one text each.
type Faults []string

// Error returns all faults, one per line.
func (f Faults) Error() string {
	return "comfreysettings: " + strings.Join(f, "\ncomfreysettings: ")
}

// orNil returns f as an error, or nil if there are no faults.
func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Faults) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

func (f *Faults) requireAddress(flag, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		f.add("%s: %q is not an address of the form host:port", flag, v)
	}
}

func (f *Faults) requireURL(flag, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		f.add("%s: %q is not a URL of the form http://host:port", flag, v)
	}
}

func (f *Faults) requireText(flag, v string) {
	if v == "" {
		f.add("%s: a value is needed", flag)
	}
}

func (f *Faults) requireNonNegative(flag string, d time.Duration) {
	if d < 0 {
		f.add("%s: expected a duration of 0 or more, got %s", flag, d)
	}
}

func (p Process) check(f *Faults) {
	f.requireText("--host", p.Host)
	f.requireText("--data-centre", p.DataCentre)
	f.requireAddress("--listen", p.Listen)
	if p.AdminListen != "" {
		f.requireAddress("--admin-listen", p.AdminListen)
	}
	f.requireURL("--platform", p.Platform)
	for _, a := range p.Peers {
		f.requireAddress("--peers", a)
	}
	if _, err := comfreyrpc.ParseKey(p.Key); err != nil {
		f.add("--key: at least %d bytes are needed, and %d are given", comfreyrpc.MinKeyBytes, len(p.Key))
	}
	f.requireNonNegative("--drain-limit", p.DrainLimit)
	if _, err := logrus.ParseLevel(p.LogLevel); err != nil {
		f.add("--log-level: %q is not one of error, warning, info, debug", p.LogLevel)
	}
}

// Check returns every fault of the settings at once, or nil.
func (g Gateway) Check() error {
	var f Faults
	g.check(&f)
	f.requireAddress("--peer-listen", g.PeerListen)
	f.requireNonNegative("--drain-delay", g.DrainDelay)
	return f.orNil()
}

// Check returns every fault of the settings at once, or nil.
func (s Sidecar) Check() error {
	var f Faults
	s.check(&f)
	f.requireText("--service", s.Service)
	f.requireURL("--upstream", s.Upstream)
	if s.Fencing != "enforced" && s.Fencing != "ignored" {
		f.add("--fencing: %q is neither enforced nor ignored", s.Fencing)
	}
	return f.orNil()
}
