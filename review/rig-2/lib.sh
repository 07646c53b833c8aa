# Starts and stops a small deployment on loopback; sourced by the scripts of review/6 to review/10.
#
# 5 daemons of the role store at 127.61.1.1 to .5 and 2 of the role entry at 127.61.2.1 and .2, with the commands and
# the settings of the deploy file, and stand-in minions at 127.61.3.N.  All of a run is in a temporary folder; what
# was sent, answered and run goes to record.txt beside the script.

here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
record=$here/record.txt
stores=5
entries=2
bin=$root/target/review-2
daemon=$root/target/build/daemon/wisterialeadd
declare -A pids=()

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) rig $*" >>"$record"; }

# Ends the script.  $1: 0 the rule held, 1 it was broken, 2 the case could not run; $2: why.
finish() {
	note "result=$1 $2"
	echo "$2"
	exit "$1"
}

rig_end() {
	local pid
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.01; done; done
	rm -rf "$folder"
}

# Finds ports that are free at all addresses of the deployment: entry, control, peer and metrics follow each other.
ports_choose() {
	local try
	for ((try = 0; try < 50; try++)); do
		port=$((20000 + (RANDOM % 400) * 100))
		if ! grep -qiE ":($(printf '%04X|%04X|%04X|%04X|%04X' "$port" $((port + 1)) $((port + 2)) $((port + 3)) \
			$((port + 4)))) " /proc/net/tcp; then
			return
		fi
	done
	finish 2 "no free ports"
}

rig_begin() {
	[ -x "$daemon" ] && [ -x "$bin/worker" ] && [ -x "$bin/call" ] || { echo "not built"; exit 2; }
	folder=$(mktemp -d)
	trap rig_end EXIT
	: >"$record"
	ports_choose
	cores=
	for ((i = 1; i <= stores; i++)); do cores+=,127.61.1.$i:$((port + 1)); done
	cores=${cores#,}
	seeds=$(echo "$cores" | cut -d, -f1-3)
	note "trouble=$trouble port=$port"
}

# Renders the template of the deploy file.  $1: name, $2: address, $3: zone, $4: role, $5: yes at the first start.
settings_write() {
	local out=$folder/$1.env front= control= ready= data=
	if [ "$4" = store ]; then
		control=$2:$((port + 1)) data=$folder/$1
		mkdir -p "$data"
	else
		front=$2:$port ready=$2:$((port + 4))
	fi
	sed -e "s|{{ip}}|$2|g" -e "s|{{zone}}|$3|" -e "s|{{listen.front_address}}|$front|" \
		-e "s|{{listen.control}}|$control|" -e "s|{{listen.readiness}}|$ready|" \
		-e "s|:9464|:$((port + 3))|" -e "s|{{internal_port_range.0}}|$((port + 2))|" \
		-e "s|{{#seeds}}.*{{/seeds}}|$seeds|" -e "s|{{#bootstrap}}.*{{/bootstrap}}|$5|" \
		-e "s|{{data_dir}}|$data|" "$root/deploy/settings.env" >"$out"
}

# $1: name, $2: address, $3: zone, $4: role, $5: yes at the first start.
daemon_start() {
	local run
	settings_write "$@"
	run=$(sed -n "/^\[roles.$4\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" "$root/deploy/system.toml")
	(cd "$root" && WISTERIALEAD_SETTINGS=$folder/$1.env exec $run) >>"$folder/$1.log" 2>&1 &
	pids[$1]=$!
	disown
	note "start daemon=$1 role=$4"
}

store_start() { daemon_start "s$1" "127.61.1.$1" "zone-$(($1 % 3))" store "$2"; }
entry_start() { daemon_start "e$1" "127.61.2.$1" "zone-$(($1 % 3))" entry "$2"; }

system_start() {
	for ((i = 1; i <= stores; i++)); do store_start $i yes; done
	for ((i = 1; i <= entries; i++)); do entry_start $i yes; done
}

# $1: number of the minion, $2: its kind.
worker_start() {
	"$bin/worker" "w$1" "127.61.3.$1:$port" tube zone-$(($1 % 3)) "${2:-a}" "r$(((($1 - 1) / 4) + 1))" \
		"$record" "$folder" "$cores" >>"$folder/w$1.log" 2>&1 &
	pids[w$1]=$!
	disown
}

# $1: name of a process; it is silent and holds nothing from then on.
process_kill() {
	note "kill process=$1"
	kill -KILL "${pids[$1]}"
	while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.01; done
	unset "pids[$1]"
}

# Makes a call and prints the status and the body.  $1: method, $2: address, $3: path, $4: timeout ms, $5: body.
call() {
	local out
	out=$("$bin/call" "$1" "$2" "$3" queue.example "$4" ${5+"$5"})
	note "call $1 $2$3 body=${5-} -> $out"
	echo "$out"
}

# Repeats a call at one daemon after the other until its status is 2xx.  $1: seconds, $2: control or front.
call_until_ok() {
	local seconds=$1 kind=$2 end out i=0 address
	shift 2
	end=$(($(date +%s) + seconds))
	while [ "$(date +%s)" -lt "$end" ]; do
		if [ "$kind" = control ]; then
			address=127.61.1.$((i % stores + 1)):$((port + 1))
		else
			address=127.61.2.$((i % entries + 1)):$port
		fi
		i=$((i + 1))
		out=$(call "$1" "$address" "$2" 3000 ${3+"$3"})
		case $out in 2*) return 0 ;; esac
		sleep 0.2
	done
	return 1
}

# The configuration: one queue.  $1: version.
config_body() {
	cat <<-EOF
		{"version":$1,"routes":[{"name":"r1","host":"queue.example","path_prefix":"/q/","type":"unsafe",
		"timeout_ms":3000,"target_latency_ms":1000,"priority":0,"backend":"tube","max_attempts":4,
		"slack_factor":2.0}],"services":[{"name":"tube","health_check_path":"/healthz","max_connections":64,
		"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,
		"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
	EOF
}

config_send() { call_until_ok 20 control POST /-/config/replace "$(config_body "$1" | tr -d '\n\t')"; }

# Prints the state of a job as a client sees it.  $1: id.
job_state() {
	local out
	out=$(call GET "127.61.2.1:$port" "/q/$1" 3000)
	case $out in
	200*) echo "$out" | sed 's/.*"state":"\([a-z]*\)".*/\1/' ;;
	*) echo "status-${out%% *}" ;;
	esac
}

# Waits until the record has a line.  $1: seconds, $2: extended regular expression.
record_wait() {
	local end=$(($(date +%s) + $1))
	until grep -qE "$2" "$record"; do
		[ "$(date +%s)" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# Prints the minion of the last line of the record that matches.  $1: extended regular expression.
record_minion() { grep -E "$1" "$record" | tail -1 | sed 's/.*minion=w\([0-9]*\).*/\1/'; }
