package settings

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Key describes one key of the INI file.
type Key struct {
	Section  string
	Name     string
	Type     string // what its value is
	Default  string // as it would be written in the file
	Range    string // empty: no bounds beyond its type
	Example  string // a value that is right
	Help     string
	Required bool
	Secret   bool // its value is never printed

	set func(r *Router, raw string) error
}

// Keys lists all keys in the order in which the reference shows them.
func Keys() []Key {
	var all []Key
	for _, section := range [][]Key{
		identityKeys(), callersKeys(), operatorsKeys(), peersKeys(), platformKeys(),
		budgetsKeys(), backendsKeys(), drainKeys(), logKeys(),
	} {
		all = append(all, section...)
	}
	return all
}

func identityKeys() []Key {
	const s = "router"
	return []Key{
		nameKey(s, "vm", "entry-1", "Name of this router's VM, as in the platform's VM list.",
			func(r *Router, v string) { r.Router.VM = id.VM(v) }).required(),
		nameKey(s, "failure_domain", "karlin", "Failure domain in which the VM stands.",
			func(r *Router, v string) { r.Router.FailureDomain = id.FailureDomain(v) }).required(),
		nameKey(s, "region", "prague", "Region in which the VM stands; leave it out where there is only one.",
			func(r *Router, v string) { r.Router.Region = v }),
		ipKey(s, "advertise_ip", "10.0.1.7", "IP number by which callers and other routers reach this VM.",
			func(r *Router) *addr { return &r.Router.AdvertiseIP }).required(),
	}
}

func callersKeys() []Key {
	const s = "callers"
	return []Key{
		listenKey(s, "0.0.0.0:8080", "Address on which callers are served.",
			func(r *Router) *addrPort { return &r.Callers.Listen }),
		pathKey(s, "tls_certificate", "/etc/chicory/callers.pem", "PEM file of the listener's certificate chain. Without it callers are served in the clear.",
			func(r *Router) *string { return &r.Callers.TLS.Certificate }),
		pathKey(s, "tls_key", "/etc/chicory/callers.key", "PEM file of the certificate's private key.",
			func(r *Router) *string { return &r.Callers.TLS.Key }),
		intKey(s, "body_limit_bytes", 1<<20, 1<<10, 64<<20, "Largest body of a request, in bytes; larger ones are refused.",
			func(r *Router) *int { return &r.Callers.BodyLimitBytes }),
		durationKey(s, "deadline", 10*time.Minute, 100*time.Millisecond, time.Hour, "Longest window of any request, whatever its contract says.",
			func(r *Router) *time.Duration { return &r.Callers.Deadline }),
		durationKey(s, "doubt_wait", 15*time.Second, 0, 24*time.Hour, "How long after the loss of a router a keyed request that the lost router might know of is refused. Longer refuses more in a partition; shorter lets a request that is sent to both sides of a partition run, and be billed, on both.",
			func(r *Router) *time.Duration { return &r.Callers.DoubtWait }),
		durationKey(s, "entry_ttl", 10*time.Second, time.Second, 10*time.Minute, "How long callers may keep an answer of `/v1/entry`. A shorter one moves them sooner off a stopping router, at the price of more calls.",
			func(r *Router) *time.Duration { return &r.Callers.EntryTTL }),
		durationKey(s, "read_timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "Within which a whole request must have arrived.",
			func(r *Router) *time.Duration { return &r.Callers.ReadTimeout }),
		durationKey(s, "write_timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "Within which a caller must take what was written to it.",
			func(r *Router) *time.Duration { return &r.Callers.WriteTimeout }),
	}
}

func operatorsKeys() []Key {
	const s = "operators"
	return []Key{
		listenKey(s, "127.0.0.1:8081", "Address on which operators are served.",
			func(r *Router) *addrPort { return &r.Operators.Listen }),
		credentialKey(s, "credential_sha256", "SHA-256 of each credential that operators may show, as 64 lower-case hex digits, separated by commas. Two at once let a credential be replaced.",
			func(r *Router) *[]string { return &r.Operators.CredentialSHA256 }).required(),
		pathKey(s, "tls_certificate", "/etc/chicory/operators.pem", "PEM file of the listener's certificate chain. Without it operators are served in the clear.",
			func(r *Router) *string { return &r.Operators.TLS.Certificate }),
		pathKey(s, "tls_key", "/etc/chicory/operators.key", "PEM file of the certificate's private key.",
			func(r *Router) *string { return &r.Operators.TLS.Key }),
	}
}

func peersKeys() []Key {
	const s = "peers"
	return []Key{
		listenKey(s, "0.0.0.0:8082", "Address on which other routers are served.",
			func(r *Router) *addrPort { return &r.Peers.Listen }),
		pathKey(s, "shared_key_file", "/etc/chicory/peers.secret", "File with the key that routers share, one a line of at least 32 characters. The first is used, the others are accepted too while keys are rotated.",
			func(r *Router) *string { return &r.Peers.SharedKeyFile }).required(),
		pathKey(s, "tls_certificate", "/etc/chicory/peers.pem", "PEM file of this router's certificate for mutual TLS. Without it peers are authenticated by the shared key only, and what they say can be read on the network.",
			func(r *Router) *string { return &r.Peers.TLS.Certificate }),
		pathKey(s, "tls_key", "/etc/chicory/peers.key", "PEM file of the certificate's private key.",
			func(r *Router) *string { return &r.Peers.TLS.Key }),
		pathKey(s, "tls_ca", "/etc/chicory/peers-ca.pem", "PEM file of the authority that signs the peers' certificates.",
			func(r *Router) *string { return &r.Peers.TLSCA }),
		seedsKey(s, "seeds", "Addresses of some other routers, separated by commas, by which this one finds the fleet while the VM list can't be read.",
			func(r *Router) *[]addrPort { return &r.Peers.Seeds }),
		durationKey(s, "heartbeat", time.Second, 50*time.Millisecond, 30*time.Second, "Time between a router's rounds of heartbeats.",
			func(r *Router) *time.Duration { return &r.Peers.Heartbeat }),
		durationKey(s, "suspect_after", 10*time.Second, 200*time.Millisecond, 10*time.Minute, "A peer of which no heartbeat came in for so long, neither from itself nor by others, is suspected. At least four times `heartbeat`; with hundreds of routers thirty times, or live ones are suspected for a while.",
			func(r *Router) *time.Duration { return &r.Peers.SuspectAfter }),
		durationKey(s, "settle_after", 5*time.Second, time.Second, 24*time.Hour, "How long a router must be silent, to its witness too, before the others settle its grants.",
			func(r *Router) *time.Duration { return &r.Peers.SettleAfter }),
	}
}

func platformKeys() []Key {
	const s = "platform"
	return []Key{
		urlKey(s, "kv_endpoint", "http://10.0.0.5:2379", "URL of the key-value service (etcd v3 JSON gateway).",
			func(r *Router) *string { return &r.Platform.KVEndpoint }).required(),
		urlKey(s, "vm_list_url", "http://10.0.0.5:8500/vms", "URL of the platform's VM list.",
			func(r *Router) *string { return &r.Platform.VMListURL }).required(),
		durationKey(s, "timeout", time.Second, 50*time.Millisecond, time.Minute, "Timeout of one call of a platform service.",
			func(r *Router) *time.Duration { return &r.Platform.Timeout }),
		intKey(s, "budget_shards", 512, 1, 4096, "Number of keys over which the budgets are spread. It must be the same in all routers and can't be changed while there are budgets.",
			func(r *Router) *int { return &r.Platform.BudgetShards }),
	}
}

func budgetsKeys() []Key {
	const s = "budgets"
	const most = id.Tokens(1_000_000_000)
	return []Key{
		durationKey(s, "horizon", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "A grant is sized to last this long at the recent use. Longer ones write less to the key-value service and hold more money at each router.",
			func(r *Router) *time.Duration { return &r.Budgets.Horizon }),
		tokensKey(s, "min_grant", 4096, 1, most, "Smallest grant, in tokens, while the budget has as much.",
			func(r *Router) *id.Tokens { return &r.Budgets.MinGrant }),
		tokensKey(s, "max_grant", 1_000_000, 1, most, "Largest grant of one budget to one router, in tokens.",
			func(r *Router) *id.Tokens { return &r.Budgets.MaxGrant }),
		durationKey(s, "idle_return", 30*time.Second, time.Second, 24*time.Hour, "A grant that was not used for so long is returned.",
			func(r *Router) *time.Duration { return &r.Budgets.IdleReturn }),
		durationKey(s, "checkpoint", 5*time.Second, 100*time.Millisecond, 10*time.Minute, "Longest time until what was spent is reported to the budget's durable record.",
			func(r *Router) *time.Duration { return &r.Budgets.Checkpoint }),
	}
}

func backendsKeys() []Key {
	const s = "backends"
	return []Key{
		durationKey(s, "load_poll", 500*time.Millisecond, 50*time.Millisecond, time.Minute, "Time between load reports that are asked of one backend server.",
			func(r *Router) *time.Duration { return &r.Backends.LoadPoll }),
		durationKey(s, "connect_timeout", 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a connection to a backend server.",
			func(r *Router) *time.Duration { return &r.Backends.ConnectTimeout }),
		intKey(s, "max_attempts", 3, 1, 10, "Dispatches of one request, the first included.",
			func(r *Router) *int { return &r.Backends.MaxAttempts }),
	}
}

func drainKeys() []Key {
	const s = "drain"
	return []Key{
		durationKey(s, "timeout", 2*time.Minute, time.Second, time.Hour, "How long a planned stop waits for open streams.",
			func(r *Router) *time.Duration { return &r.Drain.Timeout }),
		durationKey(s, "linger", 15*time.Second, 0, 10*time.Minute, "How long a stopping router still serves callers that hold an old answer of `/v1/entry`. At least `entry_ttl`.",
			func(r *Router) *time.Duration { return &r.Drain.Linger }),
	}
}

func logKeys() []Key {
	const s = "log"
	return []Key{
		levelKey(s, "level", "Least level of the events that are written.",
			func(r *Router) *level { return &r.Log.Level }),
		pathKey(s, "file", "/var/log/chicory-router.jsonl", "File to which events are appended; standard error if left out.",
			func(r *Router) *string { return &r.Log.File }),
	}
}
