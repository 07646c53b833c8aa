#!/usr/bin/env bash
# Jobs of one queue that wait for the minion of their kind keep the jobs of another queue from idle minions for good.
. "$(dirname "$0")/../rig-2/lib.sh"

workers=8
per_s=6	     # jobs of the first queue
traffic_s=50 # for how long they come after the loss

two_queues() {
	local queue='"type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"backend":"tube","max_attempts":4,"slack_factor":2.0'
	echo "{\"version\":1,\"routes\":[" \
		"{\"name\":\"r1\",\"host\":\"queue.example\",\"path_prefix\":\"/q/\",\"priority\":0,$queue}," \
		"{\"name\":\"r2\",\"host\":\"queue.example\",\"path_prefix\":\"/b/\",\"priority\":2,$queue}]," \
		"\"services\":[{\"name\":\"tube\",\"health_check_path\":\"/healthz\",\"max_connections\":64," \
		"\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\"standby\":false}]}"
}

rig_begin
system_start
for ((i = 1; i < workers; i++)); do worker_start $i a; done
worker_start $workers b
sleep 3
call_until_ok 20 control POST /-/config/replace "$(two_queues)" || finish 2 "the configuration was not accepted"
sleep 3
step='{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":500,"required_label":"b"}'
if [ "$trouble" != 0 ]; then process_kill w8; fi
for ((i = 0; i < per_s * traffic_s; i++)); do
	call_until_ok 5 front POST "/q/$(printf '5c0e7a21%08x' $i)" "{\"spec\":\"work=500\",\"steps\":[$step,$step]}" ||
		finish 2 "a job of the first queue was not accepted"
	sleep 0.16
done
sleep 2
job=71d94b36000000ff
call_until_ok 5 front POST /b/$job '{"spec":"work=500","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":500}]}' ||
	finish 2 "the job of the second queue was not accepted"
note "traffic ends"
sleep 14
for ((i = 0; i < 5; i++)); do
	out=$(call GET "127.61.2.1:$port" /b/$job 3000)
	case $out in *completed*) finish 0 "the job of the second queue is completed" ;; esac
	sleep 1
done
grep -q "start task=$job" "$record" && finish 2 "the job of the second queue was started and is not done"
finish 1 "LOST: the job of the second queue was accepted 19 s ago, no task of it was started, and 7 minions are idle"
