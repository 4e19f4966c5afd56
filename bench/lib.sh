# Functions of bench/fleet: the processes of a fleet on loopback. Sourced, not run.
# Needs: $bin (programs), $dir (scratch directory), $port (first port).

credential=bench-operators-credential-0123456789
caller_keys=(bench-caller-key-one-0123456789abcdef bench-caller-key-two-0123456789abcdef)
model=chicory-small
service=register
declare -A pid=()          # process name -> pid, of running processes only
declare -A cpu_before=()   # process name -> clock ticks
routers=(1 2 3)
engines=(1 2 3)

say() { printf '%s %s\n' "$(date +%T)" "$*" >&2; }
sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

platform_port() { echo "$port"; }
service_port()  { echo $((port + 1)); }
engine_port()   { echo $((port + 10 + $1)); }
caller_port()   { echo $((port + 20 + $1)); }
operator_port() { echo $((port + 30 + $1)); }
peer_port()     { echo $((port + 40 + $1)); }

# start NAME COMMAND... runs a command in the background, its output in $dir/NAME.*
start() {
  local name=$1; shift
  "$@" >>"$dir/$name.out" 2>>"$dir/$name.err" &
  pid[$name]=$!
}

# signal NAME SIGNAL sends a signal to one process that this script started.
signal() { kill "-$2" "${pid[$1]}"; }

# ended NAME waits for the end of a process; its exit status is the result.
ended() {
  local status=0
  wait "${pid[$1]}" || status=$?
  unset "pid[$1]"
  return "$status"
}

# end_all ends what is still running, by pid.
end_all() {
  local name
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}" 2>/dev/null
    kill -KILL "${pid[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}

# until_true SECONDS COMMAND... repeats a command until it succeeds.
until_true() {
  local tries=$(($1 * 10)); shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then say "gave up waiting for: $*"; return 1; fi
    sleep 0.1
  done
}

is_up() { curl -fsS --max-time 1 "http://127.0.0.1:$(operator_port "$1")/healthz"; }
is_ready() { curl -fsS --max-time 1 "http://127.0.0.1:$(operator_port "$1")/readyz"; }

ctl() {
  CHICORY_CREDENTIAL=$credential "$bin/chicoryctl" \
    --operator-url "http://127.0.0.1:$(operator_port 1)" \
    --operator-url "http://127.0.0.1:$(operator_port 2)" --operator bench "$@"
}

# apply KIND JSON configures one object.
apply() { printf '%s' "$2" | ctl "$1" apply - >>"$dir/ctl.out"; }

write_settings() {
  cat >"$dir/router-$1.ini" <<INI
[router]
vm = entry-$1
failure_domain = domain-$1
advertise_ip = 127.0.0.1
[callers]
listen = 127.0.0.1:$(caller_port "$1")
entry_ttl = 1s
[operators]
listen = 127.0.0.1:$(operator_port "$1")
credential_sha256 = $(sha "$credential")
[peers]
listen = 127.0.0.1:$(peer_port "$1")
shared_key_file = $dir/peers.secret
seeds = 127.0.0.1:$(peer_port 1), 127.0.0.1:$(peer_port 2), 127.0.0.1:$(peer_port 3)
heartbeat = 100ms
suspect_after = 1s
[platform]
kv_endpoint = http://127.0.0.1:$(platform_port)
vm_list_url = http://127.0.0.1:$(platform_port)/v1/vms
budget_shards = 4
[budgets]
horizon = $horizon
[drain]
linger = 2s
[log]
file = $dir/router-$1.log
INI
}

# start_router N [ENVIRONMENT...] starts a router and returns at once.
start_router() {
  local n=$1; shift
  start "router-$n" env "$@" "$bin/chicory-router" --settings "$dir/router-$n.ini"
}

# start_fleet TOKEN_TIME [ENVIRONMENT...] starts and configures everything. The
# environment is that of the routers.
start_fleet() {
  local token_time=$1 n; shift
  printf '%s\n' shared-key-0123456789-0123456789-0123456789 >"$dir/peers.secret"
  start platform "$bin/chicory-platform" --listen "127.0.0.1:$(platform_port)"
  for n in "${engines[@]}"; do
    start "engine-$n" "$bin/chicory-engine" --listen "127.0.0.1:$(engine_port "$n")" \
      --model "$model" --slots 256 --token-time "$token_time" --chunk-tokens "$chunk_tokens"
  done
  start service "$bin/chicory-engine" --kind service --listen "127.0.0.1:$(service_port)"
  for n in "${routers[@]}"; do write_settings "$n"; done
  for n in "${routers[@]}"; do start_router "$n" "$@"; done
  for n in "${routers[@]}"; do until_true 20 is_up "$n"; done
  configure # a router is ready once it has a configuration
  for n in "${routers[@]}"; do until_true 20 is_ready "$n"; done
}

configure() {
  local n hash
  apply model "{\"name\":\"$model\",\"bytes_per_token\":4,\"context_tokens\":32768}"
  apply service "{\"name\":\"$service\",\"non_idempotent\":[\"POST /confirm\"],\"price_per_call\":10,\"timeout_ms\":5000}"
  for n in "${engines[@]}"; do
    apply backend "{\"id\":\"engine-$n\",\"vm\":\"gpu-$n\",\"kind\":\"engine\",\"address\":\"127.0.0.1:$(engine_port "$n")\",\"failure_domain\":\"domain-$n\",\"models\":[\"$model\"]}"
  done
  apply backend "{\"id\":\"register-1\",\"vm\":\"cpu-1\",\"kind\":\"service\",\"address\":\"127.0.0.1:$(service_port)\",\"failure_domain\":\"domain-1\",\"service\":\"$service\"}"
  for n in 1 2; do
    hash=$(sha "${caller_keys[n - 1]}")
    apply contract "{\"account\":\"account-$n\",\"keys\":[\"$hash\"],\"budgets\":[{\"id\":\"budget-$n\"}],\"requests_per_second\":5000,\"burst\":5000,\"concurrency\":5000,\"priority\":5,\"models\":[\"$model\"],\"services\":[\"$service\"],\"max_tokens\":8192,\"deadline_ms\":30000}"
    ctl budget topup "budget-$n" "$topup" --id "payment-$n" >>"$dir/ctl.out"
  done
  printf '%s' '{"name":"bench"}' | ctl setting apply bench - --wait >>"$dir/ctl.out"
}

# evidence prints the options of chicory-load that check answers, bills and budgets.
evidence() {
  local n list=""
  for n in "${engines[@]}"; do list+=",127.0.0.1:$(engine_port "$n")"; done
  echo --engines "${list#,}" --services "127.0.0.1:$(service_port)" --operator-credential "$credential"
  for n in "${routers[@]}"; do echo --operator-url "http://127.0.0.1:$(operator_port "$n")"; done
}

router_addresses() {
  local n
  for n in "${routers[@]}"; do echo --router "127.0.0.1:$(caller_port "$n")"; done
}

# cpu_ticks NAME prints the user and system time of a process, in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pid[$1]}/stat"; }

mark_cpu() { local name; for name in "${!pid[@]}"; do cpu_before[$name]=$(cpu_ticks "$name"); done; }

# print_cpu prints the processor time of each process since mark_cpu.
print_cpu() {
  local name ticks
  for name in $(printf '%s\n' "${!cpu_before[@]}" | sort); do
    [ -n "${pid[$name]:-}" ] || continue
    ticks=$(($(cpu_ticks "$name") - ${cpu_before[$name]}))
    awk -v name="$name" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "processor seconds %s\t%.2f\n", name, ticks / hz}'
  done
}
