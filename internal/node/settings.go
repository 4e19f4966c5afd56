package node

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"chicorytiller.example/chicorytiller/internal/inbound"
)

// ErrInvalidSettings reports a settings file that cannot be read or has an invalid value. The
// error text names the section and the key.
var ErrInvalidSettings = errors.New("settings")

// Settings configures one router. It is read from an INI file; docs/SETTINGS.md lists the keys.
type Settings struct {
	VM            string // name of the VM that runs this router
	FailureDomain string

	// Listen addresses in the form IP:port.
	CallerAddr    string
	ReadyAddr     string
	DirectoryAddr string
	MetricsAddr   string
	PeerAddr      string // for other routers

	// SeedAddrs are peer addresses of some routers, possibly stale. A router that starts while
	// the store is unreachable gets its initial state from one of them.
	SeedAddrs []string

	StoreAddr string // address of the key-value store

	// DrainTime is how long a backend server keeps serving after it announced that it leaves.
	DrainTime time.Duration

	// GracePeriod is the maximum duration of a graceful shutdown.
	GracePeriod time.Duration
	// EntryTTL is how long callers may cache router addresses from the directory.
	EntryTTL time.Duration

	// Retry budget, shared by all routers: see retry.Limits.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration

	// AdmissionOff switches admission by urgency off: see package admission.
	AdmissionOff bool

	// Capacity is the load that the VM can carry, in CPU cores; 0 if unknown.
	Capacity float64
	// LinkMbps is the rate of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps float64

	// MemoryMB is the memory limit of the process; 0 means no limit.
	MemoryMB int
	// Inbound bounds what clients take of this router.
	Inbound inbound.Limits
}

// defaultEntryTTL, in seconds, lets callers move away from a stopped router within a second or
// two, at the cost of about one small call per caller and second.
const defaultEntryTTL = 1.5

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	return ParseSettings(data)
}

// ParseSettings parses and validates the contents of a settings file.
func ParseSettings(data []byte) (*Settings, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	p := &parser{file: file}
	linkMbps := p.number("router", "link_mbps", unset)
	s := &Settings{
		VM:            p.text("router", "vm"),
		FailureDomain: p.text("router", "failure_domain"),
		CallerAddr:    p.address("listen", "callers"),
		ReadyAddr:     p.address("listen", "ready"),
		DirectoryAddr: p.address("listen", "directory"),
		MetricsAddr:   p.address("listen", "metrics"),
		PeerAddr:      p.address("listen", "peers"),
		SeedAddrs:     p.addresses("router", "seeds"),
		StoreAddr:     p.address("store", "address"),
		DrainTime:     time.Duration(p.number("store", "drain_ms", 0)) * time.Millisecond,
		GracePeriod:   p.seconds("router", "grace_s", 0),
		EntryTTL:      p.seconds("router", "entry_ttl_s", defaultEntryTTL),
		RetryRatio:    p.number("retries", "ratio", 0),
		RetryExtra:    p.number("retries", "extra", 0),
		RetryWindow:   p.seconds("retries", "window_s", 0),
		AdmissionOff:  p.choice("router", "admission", "on", "off") == "off",
		Capacity:      capacity(p.number("router", "cpu_share", unset), linkMbps),
		LinkMbps:      knownLink(linkMbps),
		MemoryMB:      int(p.number("router", "memory_mb", 0)),
	}
	s.Inbound = p.inboundLimits(s.MemoryMB)
	if p.err != nil {
		return nil, p.err
	}
	return s, nil
}

// unset is the value of cpu_share and link_mbps if the settings lack them.
const unset = 1e9

// linkMbpsPerCore is the traffic in Mbit/s that one core can forward: a request of 40 KB, in and
// out, takes about a millisecond of a core and 0.6 Mbit.
const linkMbpsPerCore = 250

// capacity returns the load in CPU cores that a VM can carry, limited by its CPU share and its
// link. It returns 0 if neither is set.
func capacity(cpuShare, linkMbps float64) float64 {
	cores := min(cpuShare, linkMbps/linkMbpsPerCore)
	if cores > unset/linkMbpsPerCore/2 {
		return 0
	}
	return cores
}

// knownLink returns the rate of a link, 0 if it is not set.
func knownLink(linkMbps float64) float64 {
	if linkMbps >= unset {
		return 0
	}
	return linkMbps
}

// parser reads values from an INI file and keeps the first error.
type parser struct {
	file *ini.File
	err  error
}

func (p *parser) fail(section, key, problem string) {
	if p.err == nil {
		p.err = errors.Wrapf(ErrInvalidSettings, "[%s] %s: %s", section, key, problem)
	}
}

// text reads a required string.
func (p *parser) text(section, key string) string {
	value := p.file.Section(section).Key(key).String()
	if value == "" {
		p.fail(section, key, "missing")
	}
	return value
}

// address reads a required address.
func (p *parser) address(section, key string) string {
	value := p.text(section, key)
	if _, err := netip.ParseAddrPort(value); value != "" && err != nil {
		p.fail(section, key, "not IP:port: "+value)
	}
	return value
}

// addresses reads an optional comma-separated list of addresses.
func (p *parser) addresses(section, key string) []string {
	list := p.file.Section(section).Key(key).Strings(",")
	for _, value := range list {
		if _, err := netip.ParseAddrPort(value); err != nil {
			p.fail(section, key, "not IP:port: "+value)
		}
	}
	return list
}

// choice reads an optional word, by default the first of the allowed ones.
func (p *parser) choice(section, key string, allowed ...string) string {
	value := p.file.Section(section).Key(key).String()
	if value == "" {
		return allowed[0]
	}
	if !slices.Contains(allowed, value) {
		p.fail(section, key, "not one of "+strings.Join(allowed, ", ")+": "+value)
	}
	return value
}

// number reads a non-negative number. If fallback is zero the key is required.
func (p *parser) number(section, key string, fallback float64) float64 {
	k := p.file.Section(section).Key(key)
	if k.String() == "" && fallback > 0 {
		return fallback
	}
	value, err := k.Float64()
	if err != nil || value < 0 {
		p.fail(section, key, "not a number of zero or more: "+k.String())
	}
	return value
}

func (p *parser) seconds(section, key string, fallback float64) time.Duration {
	return time.Duration(p.number(section, key, fallback) * float64(time.Second))
}
