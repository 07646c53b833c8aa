#!/usr/bin/env bash
# Runs a scenario on real processes: 7 daemons behind a delaying proxy, one fake target process, open-loop load.
# Appends one CSV row to the result file.  All processes are on loopback, and are stopped by pid.
# Time limits on the waits for daemons and targets and on the load keep the run bounded in time.
#
# usage: run.sh BUILD SCENARIO POLICY SEED FAULT RESULT BASE-PORT
#   SCENARIO  norrlamp or lanternlight
#   POLICY    ours, or a baseline: round-robin, fifo, first-fit, youngest-first; no-urgent: batch work alone
#   FAULT     none or zone: an availability zone's targets crash in the middle of the load
set -euo pipefail

build=$(cd "$1" && pwd)
scenario=$2 policy=$3 seed=$4 fault=$5 result=$6 base=$7
root=$(cd "$(dirname "$0")/../.." && pwd)
run=$build/experiment/$scenario.$policy.$seed.$fault
entries=7 stores=3 seconds=${SECONDS_OF_LOAD:-18}
zones=(a b c)
. "$root/tests/support/system.sh"

case $scenario in
norrlamp)     targets=65 racks=6 customer=norrlamp:tube-sort service=tube-sort rest=200 crest=900 tasks_per_s=100 long=500 ;;
lanternlight) targets=50 racks=7 customer=lanternlight:booking service=booking rest=150 crest=1000 tasks_per_s=70 long=400 ;;
*) echo "unknown scenario $scenario" >&2; exit 2 ;;
esac

flags=()
case $policy in
ours) ;;
no-urgent) rest=0 crest=0 ;;
round-robin) flags=(--routing round-robin) ;;
fifo) flags=(--queueing fifo) ;;
first-fit) flags=(--placement first-fit) ;;
youngest-first) flags=(--eviction youngest-first) ;;
*) echo "unknown policy $policy" >&2; exit 2 ;;
esac

system_prepare
start_proxy 1 2
start_daemons 5 --seed "$seed" --long-ms 3000 "${flags[@]}"
wait_for 30 all_ready
start_targets $targets $racks $service --service-ms 40 --straggler-permille 10 --usage-lag-ms 1500 \
	--interference-permille 1000 --seed "$seed"
sed 's/"cpu_millis": 64000/"cpu_millis": 20000000/; s/"memory_mib": 262144/"memory_mib": 100000000/; s/"max_concurrent": 400/"max_concurrent": 4000/' \
	"$root/tests/fixtures/plans.json" >"$run/plans.json"
operator_cli apply --wait --plans "$run/plans.json" --customers "$root/tests/fixtures/customers.json" >"$run/apply.log" 2>&1
wait_for 30 targets_open $targets

if [ "$fault" = zone ]; then
	(
		sleep $((seconds / 2))
		for ((t = 1; t <= targets; t++)); do
			if operator_cli targets --json | jq -e --arg t "w$t" '.targets[] | select(.target == $t and .availability_zone == "b")' >/dev/null; then
				curl -fsS -m 2 -X POST "http://127.0.0.1:$((base + 2))/fake/w$t/crash" >/dev/null || true
			fi
		done
	) &
	fault_pid=$!
fi

load=(--customer $customer --rate-per-s "$rest" --crest-per-s "$crest" --period-ms 6000 --seconds "$seconds")
load+=(--tasks-per-s $tasks_per_s --task-run-ms 600 --task-cpu-millis 6000 --long-permille $long --long-run-ms 6000 --urgent-permille 50)
"$build/cli/wisteriactl" load --server "$(list 4)" "${load[@]}" --json --csv "$run/seconds.csv" --seed "$seed" >"$run/load.json" || true
[ "$fault" = zone ] && wait "$fault_pid" || true
operator_cli tasks --json --max 10000 >"$run/tasks.json"
: >"$run/metrics"
for ((i = 1; i <= entries; i++)); do
	curl -fsS -m 5 "http://127.0.0.1:$(port "$i" 2)/metrics" >>"$run/metrics"
done
ps -o cputimes=,rss= -p "$(IFS=,; echo "${daemon_pids[*]}")" >"$run/ps"
stop_daemons

total() { awk -v name="$1" 'index($1, name "{") == 1 { sum += $NF } END { printf "%d", sum }' "$run/metrics"; }
part() { jq -rs --arg part "$1" --arg field "$2" '[.[] | select(.part == $part) | .[$field]] | add // 0' "$run/load.json"; }
tasks() { jq -r "$1" "$run/tasks.json"; }
short_p99=$(tasks '[.tasks[] | select(.kind == "short" and .class == "batch" and .state == "done") | .ended_ms - .added_ms] | sort | if length > 0 then .[(length * 99 / 100 | floor)] else 0 end')
urgent_worst=$(tasks '[.tasks[] | select(.class == "urgent" and .state == "done" and .kind == "short") | .ended_ms - .added_ms] | max // 0')
done_ms=$(tasks '[.tasks[] | select(.class == "batch" and .state == "done") | if .kind == "long" then 6000 else 600 end] | add // 0')
done_n=$(tasks '[.tasks[] | select(.class == "batch" and .state == "done")] | length')

[ -s "$result" ] || echo "scenario,policy,seed,fault,sent,ran,not_run,unknown,wrong,p50_us,p99_us,p999_us,rest_p99_us,crest_p50_us,crest_p99_us,crest_p999_us,batch_done,batch_done_ms,short_p99_ms,urgent_task_worst_ms,evictions,throttles,retries,hedges,refused" >"$result"
echo "$scenario,$policy,$seed,$fault,$(part all sent),$(part all ran),$(part all not_run),$(part all unknown),$(part all wrong),$(part all p50_us),$(part all p99_us),$(part all p999_us),$(part rest p99_us),$(part crest p50_us),$(part crest p99_us),$(part crest p999_us),$done_n,$done_ms,$short_p99,$urgent_worst,$(total wisterialead_evictions_total),$(total wisterialead_throttles_total),$(total wisterialead_retries_total),$(total wisterialead_hedges_total),$(total wisterialead_requests_refused_total)" >>"$result"
