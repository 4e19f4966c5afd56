package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

type (
	addr     = netip.Addr
	addrPort = netip.AddrPort
	level    = slog.Level
)

// errInvalid: the value is not what its Key describes. Key.want says what is.
var errInvalid = errors.New("invalid value")

var (
	namePattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	credentialPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// required marks a key that has no default.
func (k Key) required() Key {
	k.Required = true
	return k
}

// want tells what a right value is.
func (k Key) want() string {
	text := "want " + k.Type
	if k.Range != "" {
		text += " from " + k.Range
	}
	return text + ", for instance " + k.Example
}

func nameKey(section, name, example, help string, set func(*Router, string)) Key {
	return Key{
		Section: section, Name: name, Example: example, Help: help,
		Type: "a name of up to 63 letters, digits, '.', '_' and '-'",
		set: func(r *Router, raw string) error {
			if !namePattern.MatchString(raw) {
				return errInvalid
			}
			set(r, raw)
			return nil
		},
	}
}

func ipKey(section, name, example, help string, field func(*Router) *addr) Key {
	return Key{
		Section: section, Name: name, Example: example, Help: help,
		Type: "an IP number that others can reach",
		set: func(r *Router, raw string) error {
			ip, err := netip.ParseAddr(raw)
			if err != nil || ip.IsUnspecified() || ip.IsMulticast() {
				return errInvalid
			}
			*field(r) = ip
			return nil
		},
	}
}

func listenKey(section, standard, help string, field func(*Router) *addrPort) Key {
	return Key{
		Section: section, Name: "listen", Default: standard, Example: standard, Help: help,
		Type:  "IP:port with a port",
		Range: "1 to 65535",
		set: func(r *Router, raw string) error {
			parsed, err := parseAddrPort(raw)
			*field(r) = parsed
			return err
		},
	}
}

func seedsKey(section, name, help string, field func(*Router) *[]addrPort) Key {
	return Key{
		Section: section, Name: name, Help: help, Example: "10.0.1.7:8082, 10.0.2.7:8082",
		Type: "a list of IP:port, separated by commas",
		set: func(r *Router, raw string) error {
			var seeds []addrPort
			for _, item := range splitList(raw) {
				seed, err := parseAddrPort(item)
				if err != nil || seed.Addr().IsUnspecified() {
					return errInvalid
				}
				seeds = append(seeds, seed)
			}
			*field(r) = seeds
			return nil
		},
	}
}

func credentialKey(section, name, help string, field func(*Router) *[]string) Key {
	return Key{
		Section: section, Name: name, Help: help, Secret: true,
		Example: "the output of: printf %s CREDENTIAL | sha256sum",
		Type:    "SHA-256 sums of 64 lower-case hex digits, separated by commas",
		set: func(r *Router, raw string) error {
			sums := splitList(raw)
			for _, sum := range sums {
				if !credentialPattern.MatchString(sum) {
					return errInvalid
				}
			}
			*field(r) = sums
			return nil
		},
	}
}

func pathKey(section, name, example, help string, field func(*Router) *string) Key {
	return Key{
		Section: section, Name: name, Example: example, Help: help,
		Type: "an absolute path of a file",
		set: func(r *Router, raw string) error {
			if !strings.HasPrefix(raw, "/") || strings.HasSuffix(raw, "/") {
				return errInvalid
			}
			*field(r) = raw
			return nil
		},
	}
}

func urlKey(section, name, example, help string, field func(*Router) *string) Key {
	return Key{
		Section: section, Name: name, Example: example, Help: help,
		Type: "an http or https URL without credentials",
		set: func(r *Router, raw string) error {
			parsed, err := url.Parse(raw)
			if err != nil || parsed.Host == "" || parsed.User != nil {
				return errInvalid
			}
			if parsed.Scheme != "http" && parsed.Scheme != "https" {
				return errInvalid
			}
			*field(r) = strings.TrimSuffix(raw, "/")
			return nil
		},
	}
}

func intKey(section, name string, standard, least, most int, help string, field func(*Router) *int) Key {
	return Key{
		Section: section, Name: name, Default: strconv.Itoa(standard), Example: strconv.Itoa(standard), Help: help,
		Type:  "a whole number",
		Range: fmt.Sprintf("%d to %d", least, most),
		set: func(r *Router, raw string) error {
			n, err := strconv.Atoi(raw)
			if err != nil || n < least || n > most {
				return errInvalid
			}
			*field(r) = n
			return nil
		},
	}
}

func tokensKey(section, name string, standard, least, most id.Tokens, help string, field func(*Router) *id.Tokens) Key {
	return Key{
		Section: section, Name: name, Help: help,
		Default: fmt.Sprint(standard),
		Example: fmt.Sprint(standard),
		Type:    "a whole number of tokens",
		Range:   fmt.Sprintf("%d to %d", least, most),
		set: func(r *Router, raw string) error {
			n, err := strconv.ParseInt(raw, 10, 64)
			if err != nil || id.Tokens(n) < least || id.Tokens(n) > most {
				return errInvalid
			}
			*field(r) = id.Tokens(n)
			return nil
		},
	}
}

func durationKey(section, name string, standard, least, most time.Duration, help string, field func(*Router) *time.Duration) Key {
	return Key{
		Section: section, Name: name, Help: help,
		Default: formatDuration(standard),
		Example: formatDuration(standard),
		Type:    "a duration with its unit",
		Range:   formatDuration(least) + " to " + formatDuration(most),
		set: func(r *Router, raw string) error {
			d, err := time.ParseDuration(raw)
			if err != nil || d < least || d > most {
				return errInvalid
			}
			*field(r) = d
			return nil
		},
	}
}

func levelKey(section, name, help string, field func(*Router) *level) Key {
	levels := map[string]level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	return Key{
		Section: section, Name: name, Default: "info", Example: "info", Help: help,
		Type: "one of debug, info, warn, error",
		set: func(r *Router, raw string) error {
			parsed, found := levels[raw]
			if !found {
				return errInvalid
			}
			*field(r) = parsed
			return nil
		},
	}
}

func parseAddrPort(raw string) (addrPort, error) {
	parsed, err := netip.ParseAddrPort(raw)
	if err != nil || parsed.Port() == 0 {
		return addrPort{}, errInvalid
	}
	return parsed, nil
}

func splitList(raw string) []string {
	items := strings.Split(raw, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// formatDuration leaves out the zero units that Duration.String adds ("1m0s").
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
