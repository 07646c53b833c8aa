# Starts the daemons of the deploy file on loopback for a script of this folder; sourced by run.sh.
#
# core_count and edge_count may be set before.  Exits with 2 if the system cannot be started.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
core_count=${core_count:-5}
edge_count=${edge_count:-2}
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/wl-review.XXXXXX")
pids=()

finish() {
	local pid
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done; done
	[ -n "${REVIEW_KEEP:-}" ] || rm -rf "$run_dir"
}
trap finish EXIT

cannot() { echo "cannot run: $1"; exit 2; }

# Addresses of their own for this run: 127.A.B.N, with N = 1.. core, 51.. edge, 101.. minions.
prefix=127.$(($$ / 250 % 250 + 2)).$(($$ % 250 + 1)).

role_command() { sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" "$root/deploy/system.toml"; }

# $1: role, $2: address, $3: listeners ("front" or "control").  Fills in the template of the deploy file.
settings_write() {
	local front='' control='' ready='' seeds i
	for ((i = 1; i <= 3; i++)); do seeds+="${seeds:+,}$prefix$i:8166"; done
	[ "$3" = front ] && front=$2:8161 ready=$2:8167
	[ "$3" = control ] && control=$2:8166
	sed -e "s/{{ip}}/$2/g" -e 's/{{zone}}/z-a/' -e "s/{{listen.front_address}}/$front/" \
		-e "s/{{listen.control}}/$control/" -e "s/{{listen.readiness}}/$ready/" \
		-e 's/{{internal_port_range.0}}/7720/' -e "s|{{data_dir}}|$run_dir/data-$2|" \
		-e "s/{{#seeds}}{{.}}{{,}}{{\/seeds}}/$seeds/" \
		-e 's/{{#bootstrap}}\(.*\){{\/bootstrap}}{{^bootstrap}}.*{{\/bootstrap}}/\1/' \
		"$root/deploy/settings.env" >"$run_dir/settings-$2"
}

# $1: role, $2: address, $3: listeners.  Sets the variable pid.
daemon_start() {
	settings_write "$1" "$2" "$3"
	[ "$3" = control ] && mkdir -p "$run_dir/data-$2"
	local command
	command=$(role_command "$1")
	(cd "$root" && WISTERIALEAD_SETTINGS=$run_dir/settings-$2 exec $command) >"$run_dir/log-$2" 2>&1 &
	pid=$!
	pids+=("$pid")
	disown "$pid"
}

[ -x "$root/target/build/daemon/wisterialeadd" ] || cannot "the build of the deploy file is missing"

REVIEW_CONTROL='' REVIEW_FRONT='' REVIEW_CORE_PIDS='' REVIEW_EDGE_PIDS=''
for ((n = 1; n <= core_count; n++)); do
	daemon_start store "$prefix$n" control
	REVIEW_CONTROL+=" $prefix$n:8166" REVIEW_CORE_PIDS+=" $pid"
done
for ((n = 51; n < 51 + edge_count; n++)); do
	daemon_start entry "$prefix$n" front
	REVIEW_FRONT+=" $prefix$n:8161" REVIEW_EDGE_PIDS+=" $pid"
done
export REVIEW_CONTROL REVIEW_FRONT REVIEW_CORE_PIDS REVIEW_EDGE_PIDS
export REVIEW_PREFIX=$prefix REVIEW_RECORD=$here/record.txt REVIEW_FOLDER=$run_dir

# Runs the case's program; its exit status is the result.
case_run() {
	local program=$root/target/review/case-$(basename "$here")
	[ -x "$program" ] || cannot "review/build.sh has not been run"
	timeout 110 "$program"
	local code=$?
	case $code in
	0) echo "the rule held" ;;
	1) echo "the rule was broken" ;;
	*) echo "cannot run: the case ended with $code"; code=2 ;;
	esac
	exit $code
}
