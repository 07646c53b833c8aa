#!/usr/bin/env bash
# Runs the system on loopback: 3 store+entry daemons, 4 entry-only daemons, fake targets and two customers.
# Exits with 0 only if every answer was correct and every daemon stopped gracefully.
set -uo pipefail

build=$(cd "${1:-build}" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
run=$build/demo-run
base=${DEMO_BASE_PORT:-$((10000 + $$ % 70 * 300))}
zones=(vasteras-a vasteras-b koping)
stores=3
entries=7
targets=12
failed=0
. "$root/tests/support/system.sh"

say() { printf '\n== %s\n' "$1"; }
check() {
	if "${@:2}"; then
		echo "ok: $1"
	else
		echo "FAILED: $1"
		failed=1
	fi
}
tasks_left() { [ "$(operator_cli tasks --json | jq '[.tasks[] | select(.state | IN("done","failed","cancelled","refused","unknown") | not)] | length')" -eq 0 ]; }
tasks_not_done() { operator_cli tasks --json | jq '[.tasks[] | select(.state != "done")] | length'; }

system_prepare
say "starting $stores store+entry and $((entries - stores)) entry daemons"
start_daemons 3
check "every entry is ready" wait_for 30 all_ready

say "starting $targets targets"
start_targets $targets 4 tube-sort,booking --seed 7

say "applying the plan and customer lists"
check "both lists are in force at every entry" operator_cli apply --wait --plans "$root/tests/fixtures/plans.json" \
	--customers "$root/tests/fixtures/customers.json"
check "every target is owned and open" wait_for 30 targets_open $targets

say "sending requests of both customers and batch tasks for 8 s"
check "every answer is complete and correct" "$build/cli/wisteriactl" load --server "$(list 1)" \
	--customer norrlamp:tube-sort,lanternlight:booking --rate-per-s 50 --crest-per-s 200 --period-ms 4000 \
	--seconds 8 --tasks-per-s 5 --task-run-ms 300 --check --csv "$run/load.csv"

say "waiting for all tasks to end"
check "every task has ended" wait_for 60 tasks_left
operator_cli tasks --json | jq -r '.tasks | group_by([.customer, .state]) | .[] | "\(.[0].customer) \(.[0].state): \(length)"'
check "every task is done" [ "$(tasks_not_done)" -eq 0 ]

say "status"
operator_cli status

say "latency by customer and class, all entries (ms: requests)"
for ((i = 1; i <= entries; i++)); do
	curl -fsS -m 2 "http://127.0.0.1:$(port "$i" 2)/metrics" | sed "s/^/$i /"
done | awk '
	$2 ~ /^wisterialead_request_seconds_bucket/ && $2 !~ /\+Inf/ {
		who = $2; sub(/.*customer="/, "", who); sub(/",le=.*/, "", who); sub(/",class="/, " ", who)
		le = $2; sub(/.*le="/, "", le); sub(/".*/, "", le)
		count[who "," le * 1000] += $3 - before[$1 who]
		before[$1 who] = $3
	}
	END { for (key in count) { split(key, part, ","); printf "%s,%012.3f,%d\n", part[1], part[2], count[key] } }' |
	sort | awk -F, '$1 != who { who = $1; printf "%s\n", who } { printf "  %10.3f: %d\n", $2, $3 }'

say "stopping everything"
check "every daemon stopped gracefully" stop_daemons
kill -TERM "$target_pid" && wait "$target_pid"

say "$([ $failed -eq 0 ] && echo 'all checks passed' || echo 'some checks FAILED')"
exit $failed
