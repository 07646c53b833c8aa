#!/usr/bin/env bash
# The whole system on loopback: 3 store+entry daemons, 4 entry-only daemons, stand-in targets, both customers.
# Exits 0 only if every answer was right and every process stopped gracefully.
set -uo pipefail

build=$(cd "${1:-build}" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
run=$build/demo-run
daemon=$build/daemon/wisterialeadd
ctl=$build/cli/wisteriactl
target=$build/tests/target/wl-fake-target
base=${DEMO_BASE_PORT:-$((10000 + $$ % 70 * 300))}
zones=(vasteras-a vasteras-b koping)
stores=3
entries=7
failed=0
pids=()
target_pid=

rm -rf "$run"
mkdir -p "$run"
umask 077
echo demo-peer-secret-of-this-run >"$run/peer.secret"
echo demo-operator-token >"$run/operator.token"
echo demo-target-token >"$run/target.token"

say() { printf '\n== %s\n' "$1"; }
check() {
	if "${@:2}"; then
		echo "ok: $1"
	else
		echo "FAILED: $1"
		failed=1
	fi
}
port() { echo $((base + $1 * 10 + $2)); }	# instance, 1 caller 2 control 3 peer
list() {	# of addresses: kind
	local i out=
	for ((i = 1; i <= entries; i++)); do out+=",127.0.0.1:$(port "$i" "$1")"; done
	echo "${out#,}"
}
cleanup() {
	local pid
	for pid in "${pids[@]}" $target_pid; do kill -KILL "$pid" 2>/dev/null; done
}
trap cleanup EXIT

peers=
for ((i = 1; i <= stores; i++)); do peers+=",e$i=127.0.0.1:$(port "$i" 3)"; done
peers=${peers#,}

start() {
	local i=$1 role=entry dir=()
	if [ "$i" -le "$stores" ]; then
		role=entry,store
		dir=(--data-dir "$run/e$i")
		mkdir -p "$run/e$i"
	fi
	"$daemon" --name "e$i" --availability-zone "${zones[$((i % 3))]}" --rack "r$i" --role $role "${dir[@]}" \
		--caller-listen "127.0.0.1:$(port "$i" 1)" --control-listen "127.0.0.1:$(port "$i" 2)" \
		--peer-listen "127.0.0.1:$(port "$i" 3)" --store-peers "$peers" --chart-dir "$root/charts" \
		--peer-secret-file "$run/peer.secret" --operator-token-file "$run/operator.token" \
		--target-token-file "$run/target.token" --seed "$i" >"$run/e$i.log" 2>&1 &
	pids+=($!)
}
until_ok() {	# what, seconds, command
	local what=$1 end=$((SECONDS + $2))
	shift 2
	until "$@" >/dev/null 2>&1; do
		if [ $SECONDS -ge $end ]; then
			echo "FAILED: $what: not within the time"
			failed=1
			return 1
		fi
		sleep 0.1
	done
	echo "ok: $what"
}
all_ready() {
	local i
	for ((i = 1; i <= entries; i++)); do
		curl -fsS -m 2 "http://127.0.0.1:$(port "$i" 1)/readyz" >/dev/null || return 1
	done
}
ctl() { "$ctl" "$@" --server "$(list 2)" --token-file "$run/operator.token"; }
targets_open() { [ "$(ctl targets --json | jq '[.targets[] | select(.open)] | length')" -ge "$1" ]; }

say "starting $stores store+entry and $((entries - stores)) entry daemons"
for ((i = 1; i <= entries; i++)); do start "$i"; done
until_ok "every entry is ready" 20 all_ready

say "starting 12 targets"
"$target" --targets 12 --name-prefix w --listen-ip 127.0.0.1 --base-port $((base + 200)) --racks 4 \
	--availability-zones "$(IFS=,; echo "${zones[*]}")" --services tube-sort,booking \
	--announce-to "$(list 2)" --token-file "$run/target.token" --record "$run/record" --seed 7 \
	>"$run/targets.log" 2>&1 &
target_pid=$!

say "applying the two lists"
check "the lists are in force everywhere" ctl apply --wait --plans "$root/tests/fixtures/plans.json" \
	--customers "$root/tests/fixtures/customers.json"
until_ok "every target is owned and open" 20 targets_open 12

say "requests of both customers, with batch tasks beside them"
check "every answer is whole and the right one" "$ctl" load --server "$(list 1)" \
	--customer norrlamp:tube-sort,lanternlight:booking --rate-per-s 50 --crest-per-s 200 --period-ms 4000 \
	--seconds 8 --tasks-per-s 5 --task-run-ms 300 --check --csv "$run/load.csv"

say "tasks"
tasks_left() { [ "$(ctl tasks --json | jq '[.tasks[] | select(.state | IN("done","failed","cancelled","refused","unknown") | not)] | length')" -eq 0 ]; }
until_ok "every task has ended" 60 tasks_left
ctl tasks --json | jq -r '.tasks | group_by([.customer, .state]) | .[] | "\(.[0].customer) \(.[0].state): \(length)"'
check "every task is done" [ "$(ctl tasks --json | jq '[.tasks[] | select(.state != "done")] | length')" -eq 0 ]

say "status"
ctl status

say "latency by customer (seconds, from each entry's histogram)"
for ((i = 1; i <= entries; i++)); do
	curl -fsS -m 2 "http://127.0.0.1:$(port "$i" 2)/metrics" | grep -E '^wisterialead_request_seconds_(sum|count)' |
		sed "s/^/e$i /"
done

say "stopping everything"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do
	wait "$pid"
	code=$?
	[ $code -eq 0 ] || { echo "FAILED: a daemon ended with $code"; failed=1; }
done
pids=()
kill -TERM "$target_pid" 2>/dev/null && wait "$target_pid"
target_pid=

say "$([ $failed -eq 0 ] && echo 'all right' || echo 'something FAILED')"
exit $failed
