#!/usr/bin/env bash
# A sound job is shown as failed, though none of its runs has ended as failed: its minion crashed three times.
. "$(dirname "$0")/../rig-2/lib.sh"

workers=8
job=5c0e7a21d94b36f8
task=$job.0.0.0

rig_begin
system_start
for ((i = 1; i <= workers; i++)); do worker_start $i; done
sleep 3
config_send 1 || finish 2 "the configuration was not accepted"
sleep 3
call_until_ok 10 front POST /q/$job '{"spec":"work=12000","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimated_ms":12000}]}' ||
	finish 2 "the job was not accepted"
for crash in 1 2 3; do
	record_wait 30 "start task=$task run=$crash " || finish 2 "run $crash was not started"
	[ "$trouble" = 0 ] && break
	sleep 3
	w=$(record_minion "start task=$task run=$crash ")
	process_kill "w$w"
	sleep 1.5
	worker_start "$w"
done
for ((i = 0; i < 60; i++)); do
	state=$(job_state $job)
	case $state in
	completed) finish 0 "the job is completed" ;;
	failed)
		ended=$(grep -c "end task=$task .*how=failed" "$record")
		[ "$ended" -lt 4 ] && finish 1 "LOST: the job is shown as failed; $ended of its runs ended as failed, 4 are allowed"
		finish 0 "the job has failed $ended times"
		;;
	esac
	sleep 1
done
finish 2 "the job did not end: $state"
