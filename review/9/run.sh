#!/usr/bin/env bash
# After the crash of one minion, tasks that last stay without a run for 12 s, though the other minions are idle.
. "$(dirname "$0")/../rig-2/lib.sh"

workers=8
tasks=12
job=5c0e7a21d94b36f8

# Prints the tasks of the job that have no run: the last one has ended, or was on the minion when that was killed.
# $1: name of the minion.
idle() {
	awk -v job="$job" -v minion="minion=$1" -v kill="process=$1" '
		$4 ~ "^task=" job && $3 == "start" { at[$4] = $2 }
		$4 ~ "^task=" job && $3 == "end" { at[$4] = "" }
		$3 == "kill" && $4 == kill { for (task in at) if (at[task] == minion) at[task] = "" }
		END { for (task in at) if (at[task] == "") print task }' "$record"
}

rig_begin
system_start
for ((i = 1; i <= workers; i++)); do worker_start $i; done
sleep 3
config_send 1 || finish 2 "the configuration was not accepted"
sleep 3
call_until_ok 10 front POST /q/$job "{\"spec\":\"work=0\",\"steps\":[{\"count\":$tasks,\"cpu\":2000,\"mem_mb\":512,\"estimated_ms\":500,\"long_running\":true}]}" ||
	finish 2 "the job was not accepted"
record_wait 10 "start task=$job.0.0.$((tasks - 1)) run=1 " || finish 2 "the tasks were not started"
sleep 8
w=$(record_minion "start task=$job.0.0.0 run=1 ")
note "on the minion: $(grep -c "minion=w$w start task=$job" "$record")"
killed=$(now_ms)
[ "$trouble" != 0 ] && process_kill "w$w"
sleep 1.5
[ "$trouble" != 0 ] && worker_start "$w"
# From 6 s after the last run on, for 3 s.
sleep 4.5
idle "w$w" >"$folder/idle-6"
sleep 3.2
idle "w$w" >"$folder/idle-9"
without=$(sort "$folder/idle-6" "$folder/idle-9" | uniq -d | wc -l)
note "without a run from 6 s to 9 s after the crash: $without"
for ((i = 0; i < 10; i++)); do
	sleep 1
	[ -z "$(idle "w$w")" ] && break
done
note "all run $(($(now_ms) - killed)) ms after the crash: $([ -z "$(idle "w$w")" ] && echo yes || echo no)"
[ "$without" -gt 0 ] && finish 1 "LOST: $without of $tasks tasks that last had no run from 6 s to 9 s after their last one"
finish 0 "all tasks had a run within 9 s"
