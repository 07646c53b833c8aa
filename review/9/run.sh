#!/usr/bin/env bash
# After 28 replacements of core machines no further one is admitted, and the loss of one more ends the service.
. "$(dirname "$0")/../rig-2/lib.sh"

workers=4
pairs=15
job=5c0e7a21d94b36f8
catch_up_s=4

# Two machines are lost for good; 1 s later two empty ones come at other addresses.  $1, $2: the lost ones.
replace_two() {
	process_kill "s$1"
	process_kill "s$2"
	sleep 1
	store_start $((newest + 1)) no
	store_start $((newest + 2)) no
	newest=$((newest + 2))
	sleep $catch_up_s
}

rig_begin
system_start
for ((i = 1; i <= workers; i++)); do worker_start $i; done
sleep 3
config_send 1 || finish 2 "the configuration was not accepted"
call_until_ok 10 front POST /q/$job '{"spec":"work=0","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimated_ms":500,"long_running":true}]}' ||
	finish 2 "the job was not accepted"
newest=5
if [ "$trouble" != 0 ]; then
	for ((pair = 0; pair < pairs; pair++)); do replace_two $((newest - 1)) $newest; done
	for ((i = 0; i < 20; i++)); do
		state=$(job_state $job)
		[ "$state" = running ] && break
		sleep 0.2
	done
	[ "$state" = running ] || finish 2 "the job gets $state before the last loss"
	# One more: its two predecessors were replaced long before the new ones had their time to catch up.
	process_kill s1
	sleep 1
	newest=$((newest + 1))
	store_start $newest no
fi
sleep 14
# Judged: the daemons that run, of which two have been members from the first start on.
for ((i = 0; i < 3; i++)); do
	state=$(job_state $job)
	config=
	for address in 127.61.1.2 127.61.1.3 127.61.1.$newest; do
		config+=" $(call GET "$address:$((port + 1))" /-/config/read 1000 | cut -c1-3)"
	done
	[ "$state" = running ] && finish 0 "the job is known"
	sleep 1
done
finish 1 "LOST: 14 s after the last loss the job gets $state, and reads of the configuration get$config"
