# Starts and stops the whole system on loopback; sourced by the demo and the experiments.
#
# The caller sets: build, root, run (folder of this run), base (first port), entries, stores, zones (array).
# Ports of instance i: 1 caller, 2 control, 3 peer, 4 proxied caller, 5 proxied peer.

daemon_pids=()
other_pids=()

system_cleanup() {
	local pid
	for pid in "${daemon_pids[@]}" "${other_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}

port() { echo $((base + $1 * 10 + $2)); }

# Prints the addresses of all instances.  $1: kind of port.
list() {
	local i out=
	for ((i = 1; i <= entries; i++)); do out+=",127.0.0.1:$(port "$i" "$1")"; done
	echo "${out#,}"
}

system_prepare() {
	rm -rf "$run"
	mkdir -p "$run"
	umask 077
	echo "peer-secret-of-this-run-only" >"$run/peer.secret"
	echo "operator-token" >"$run/operator.token"
	echo "target-token" >"$run/target.token"
	trap system_cleanup EXIT
}

# One-way delays in milliseconds.  $1: caller connections, $2: links between daemons.
start_proxy() {
	local i routes= control=127.0.0.1:$((base + 1))
	for ((i = 1; i <= entries; i++)); do
		routes+=",c$i=127.0.0.1:$(port "$i" 4)>127.0.0.1:$(port "$i" 1)"
		routes+=",p$i=127.0.0.1:$(port "$i" 5)>127.0.0.1:$(port "$i" 3)"
	done
	"$build/tests/proxy/wl-fault-proxy" --control-listen $control --routes "${routes#,}" >"$run/proxy.log" 2>&1 &
	other_pids+=($!)
	until curl -fsS -m 1 "http://$control/routes" >/dev/null 2>&1; do sleep 0.1; done
	for ((i = 1; i <= entries; i++)); do
		curl -fsS -m 5 -X POST "http://$control/routes/c$i/delay?$1" >/dev/null
		curl -fsS -m 5 -X POST "http://$control/routes/p$i/delay?$2" >/dev/null
	done
}

# $1: kind of port that peers connect to (3, or 5 for the proxy); other arguments are passed to the daemons.
start_daemons() {
	local i peers= dial=$1 role dir
	shift
	for ((i = 1; i <= stores; i++)); do peers+=",e$i=127.0.0.1:$(port "$i" "$dial")"; done
	for ((i = 1; i <= entries; i++)); do
		role=entry dir=()
		if [ "$i" -le "$stores" ]; then
			role=entry,store dir=(--data-dir "$run/e$i")
			mkdir -p "$run/e$i"
		fi
		"$build/daemon/wisterialeadd" --name "e$i" --availability-zone "${zones[$((i % ${#zones[@]}))]}" \
			--rack "r$i" --role $role "${dir[@]}" --caller-listen "127.0.0.1:$(port "$i" 1)" \
			--control-listen "127.0.0.1:$(port "$i" 2)" --peer-listen "127.0.0.1:$(port "$i" 3)" \
			--peer-advertise "127.0.0.1:$(port "$i" "$dial")" --store-peers "${peers#,}" \
			--chart-dir "$root/charts" --peer-secret-file "$run/peer.secret" \
			--operator-token-file "$run/operator.token" --target-token-file "$run/target.token" "$@" \
			>"$run/e$i.log" 2>&1 &
		daemon_pids+=($!)
	done
}

# $1: number of targets, $2: racks, $3: services; other arguments are passed on.  The control listener is at base + 2,
# the targets are at base + 100 and up.
start_targets() {
	local count=$1 racks=$2 services=$3
	shift 3
	"$build/tests/target/wl-fake-target" --targets "$count" --name-prefix w --listen-ip 127.0.0.1 \
		--base-port $((base + 100)) --control-listen 127.0.0.1:$((base + 2)) --racks "$racks" \
		--availability-zones "$(IFS=,; echo "${zones[*]}")" --services "$services" --announce-to "$(list 2)" \
		--token-file "$run/target.token" --record "$run/record" "$@" >"$run/targets.log" 2>&1 &
	target_pid=$!
	other_pids+=($!)
}

# Runs wisteriactl with the operator token against all instances.
operator_cli() { "$build/cli/wisteriactl" "$@" --server "$(list 2)" --token-file "$run/operator.token"; }

all_ready() {
	local i
	for ((i = 1; i <= entries; i++)); do
		curl -fsS -m 2 "http://127.0.0.1:$(port "$i" 1)/readyz" >/dev/null 2>&1 || return 1
	done
}

targets_open() { [ "$(operator_cli targets --json 2>/dev/null | jq '[.targets[] | select(.open)] | length')" -ge "$1" ]; }

# Polls a command until it succeeds.  $1: timeout in seconds.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}

# Sends SIGTERM to every daemon; fails if one did not exit with 0.
stop_daemons() {
	local pid code all=0
	for pid in "${daemon_pids[@]}"; do kill -TERM "$pid"; done
	for pid in "${daemon_pids[@]}"; do
		code=0
		wait "$pid" || code=$?
		[ $code -eq 0 ] || { echo "daemon with pid $pid exited with code $code, expected 0"; all=1; }
	done
	daemon_pids=()
	return $all
}
