#!/usr/bin/env bash
# Measures the idle cost of a daemon without requests: processor time, memory and network bytes, for a number of targets
# and running tasks.  Prints CSV, one row per daemon.
#
# usage: idle.sh BUILD TARGETS TASKS SECONDS BASE-PORT
set -euo pipefail

build=$(cd "$1" && pwd)
targets=$2 tasks=$3 seconds=$4 base=$5
root=$(cd "$(dirname "$0")/../.." && pwd)
run=$build/experiment/idle.$targets.$tasks
entries=7 stores=3
zones=(a b c)
. "$root/tests/support/system.sh"

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_kib() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
# Bytes sent and received on the process's open connections.
net_bytes() {
	ss -tnpiH state established | awk -v pid="pid=$1," '
		/users:/ { ours = index($0, pid) > 0 }
		/^[ \t]/ && ours { for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(acked|received):/) { split($i, p, ":"); sum += p[2] } }
		END { printf "%d", sum }'
}

system_prepare
start_daemons 3
wait_for 30 all_ready
start_targets "$targets" $(((targets + 10) / 11)) tube-sort
sed 's/"cpu_millis": 64000/"cpu_millis": 20000000/; s/"memory_mib": 262144/"memory_mib": 100000000/' \
	"$root/tests/fixtures/plans.json" >"$run/plans.json"
operator_cli apply --wait --plans "$run/plans.json" --customers "$root/tests/fixtures/customers.json" >"$run/apply.log" 2>&1
wait_for 60 targets_open "$targets"
if [ "$tasks" -gt 0 ]; then
	"$build/cli/wisteriactl" load --server "$(list 1)" --customer norrlamp:tube-sort --rate-per-s 0 \
		--tasks-per-s $((tasks / 10)) --seconds 10 --task-run-ms 600000 >"$run/load.log"
fi
sleep 8
for i in "${!daemon_pids[@]}"; do
	ticks_before[i]=$(ticks "${daemon_pids[$i]}")
	bytes_before[i]=$(net_bytes "${daemon_pids[$i]}")
done
sleep "$seconds"
leader=$(operator_cli status --json | jq -r .leader)
owned=$(operator_cli status --json | jq -c '[.entries[] | {key: .entry, value: .owned}] | from_entries')
running=$(operator_cli status --json | jq -r .placed)
for i in "${!daemon_pids[@]}"; do
	name=e$((i + 1))
	role=entry
	[ $((i + 1)) -le $stores ] && role=follower
	[ "$name" = "$leader" ] && role=leader
	pid=${daemon_pids[$i]}
	cpu=$((($(ticks "$pid") - ticks_before[i]) * 1000 / $(getconf CLK_TCK)))
	bytes=$(($(net_bytes "$pid") - bytes_before[i]))
	echo "$targets,$running,$role,$(jq -r --arg n "$name" '.[$n] // 0' <<<"$owned"),$(awk "BEGIN { printf \"%.3f\", $cpu / 10.0 / $seconds }"),$(rss_kib "$pid"),$(awk "BEGIN { printf \"%.1f\", $bytes / 1024.0 / $seconds }")"
done
stop_daemons
