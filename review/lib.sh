# Functions that the scripts of the review share. A script sets "here" to its own folder and
# "record" to the file that it writes there, and sources this file.
#
# Everything listens on free ports of 127.0.0.1. Configurations, logs and state are in a temporary folder, which is removed at the end.
# Every process that is started is ended by its id when the script ends.

# No script runs for longer than 115 s.
[ -n "${REVIEW_LIMITED:-}" ] || REVIEW_LIMITED=1 exec timeout --preserve-status --kill-after=3 112 bash "$0"

root=$(cd "$here/../.." && pwd)
standin=$root/review/bin/standin
silverpath=$root/bin/silverpath
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()

cleanup() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
trap "exit 2" HUP INT TERM

note() { echo "$(date +%s%3N) $*" | tee -a "$record"; }

# cant ends the script because the case couldn't run.
cant() {
    note "the case couldn't run: $*"
    for log in "$work"/*.log; do
        [ -f "$log" ] && sed "s|^|$(basename "$log"): |" "$log" | tail -20 >>"$record"
    done
    exit 2
}

[ -x "$silverpath" ] && [ -x "$standin" ] || { echo "build first: the command of the deploy file, then review/build.sh" >&2; exit 2; }
cd "$root"
: >"$record"
note "trouble: $trouble"

# start NAME COMMAND... starts a process, with its log in $work/NAME.log. Its id is then in $pid.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid=$!
    pids+=("$pid")
    note "started $name, process $pid: ${*/#"$work"/WORK}"
}

# interpreter NAME PORT [OPTION...] starts a stand-in interpreter. Its runs are lines of $work/NAME.log.
interpreter() {
    local name=$1 port=$2 before
    shift 2
    before=$(cat "$work/$name.log" 2>/dev/null | grep -c LISTENING)
    start "$name" "$standin" interp --listen "127.0.0.1:$port" "$@"
    for _ in $(seq 100); do
        [ "$(grep -c LISTENING "$work/$name.log")" -gt "$before" ] && return
        sleep 0.05
    done
    cant "$name doesn't listen"
}

# serve NAME CONFIG [OPTION...] starts a server by the deploy file's command.
serve() {
    local name=$1 config=$2
    shift 2
    start "$name" env LB_CONFIG="$config" TMPDIR="$work" sh -c "exec bin/silverpath serve $*"
}

# ready ADDRESS waits for a good health check.
ready() { "$standin" probe --addr "$1" --within 15s || cant "no good health check of $1"; }

# logged NAME TEXT waits until a process has logged a text.
logged() {
    for _ in $(seq 150); do
        grep -q -- "$2" "$work/$1.log" && return
        sleep 0.1
    done
    cant "$1 doesn't log '$2'"
}

# ask NAME OPTION... sends one try, waits for its answer and writes both to the record.
ask() { timeout 10 "$standin" ask --name "$@" | tee -a "$record"; }

# runs NAME BODY prints the runs of a body that an interpreter has started.
runs() { grep " RUN .* $2\$" "$work/$1.log" || true; }

# server_config NAME PORT INTERPRETER_PORT MEMORY_SPAN_US prints a server's configuration: the settings of deploy/scgi.json with the
# platform's front and an interpreter.
server_config() {
    cat <<END
{
  "name": "$1", "listen": "127.0.0.1:$2", "vm": "127.0.0.1:$3", "stop_ms": 5000, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "settings": {
    "classes": [
      {"name": "lestvica", "target": 1800000, "deadline": 4400000, "worth": 1, "late_worth": 0, "effect": "pure"},
      {"name": "krog", "target": 1800000, "deadline": 4400000, "worth": 2, "late_worth": 0, "effect": "pure"},
      {"name": "oddaja", "target": 1800000, "deadline": 4400000, "worth": 3, "late_worth": 0, "effect": "token", "memory_span": $4}
    ],
    "family_info": {
      "below": "none", "callers": 3, "cpus": 6, "gauges": ["core_use", "on_cores", "heap_share", "links"],
      "keepalive_max": 15000000, "key_kb": 5, "memory_kb": 65536, "preemption": "none", "run_factor": 4, "say": "none"
    },
    "limits": {"max_retry_after": 1000000, "retry_after": true},
    "rules": {"cold_from": 0.25, "drain_grace": 2000000, "fall_multiple": 8, "overload_for": 3000000, "warm_within": 16000000},
    "scoring_mix": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
    "servers": 1,
    "tenants": [
      {"name": "kvizmojster", "allowance_per_s": 128},
      {"name": "pametna-glava", "allowance_per_s": 54},
      {"name": "krcmarski-kviz", "allowance_per_s": 27}
    ],
    "over_share_worth": 0.1,
    "tier": 0
  }
}
END
}
