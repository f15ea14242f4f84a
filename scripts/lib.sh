# Functions shared by scripts/demo.sh and scripts/failures.sh, which run the whole
# data path as separate processes on loopback addresses. To be sourced from the root
# of the repository after setting RUN, the name of the run; LIMIT_S, the time in
# seconds after which no check waits any longer; and CTL_LIMIT_S, the time limit in
# seconds for one call of burdockctl. Needs bash, curl and the programs of
# "make build".
set -uo pipefail

readonly BIN=$PWD/bin
readonly RELEASES=$PWD/scripts/demo
readonly OUT=$PWD/out/$RUN
readonly START_MS=$(date +%s%3N)

# NET is the prefix of all addresses. Concurrent runs need different prefixes.
readonly NET=${BURDOCK_DEMO_NET:-127.0}
readonly PLATFORM=$NET.0.1:9000
readonly FABRIC_INGRESS=$NET.0.1:6081
readonly FABRIC_RETURN=$NET.0.1:6082
readonly FABRIC_CONTROL=$NET.0.1:9001
readonly CALLER_CONTROL=$NET.0.1:9002
readonly ENTRY_NET=$NET.10
readonly ENTRIES="1 2 3 4 5"
readonly DRAWINGS=10.90.0.1:80
readonly DESK=10.90.0.2:80
# Each line has the name of an endpoint, the last byte of its address, its service
# and its number of slots.
readonly ENDPOINTS="
drawing-1 1 $DRAWINGS 64
drawing-2 2 $DRAWINGS 64
drawing-3 3 $DRAWINGS 64
order-1 11 $DESK 2
order-2 12 $DESK 2
order-3 13 $DESK 2
order-4 14 $DESK 2"

# Limits for the checks, from docs/design.md sections 1.2 and 1.6.
readonly MAX_IN_FORCE_MS=16000
# A takeover may take 5 s. The first retransmission after it may follow another 5 s
# later, because TCP doubles its timeout.
readonly STALL_S=11
# A kill or freeze may break flows that the owner had not yet replicated. Exceptions
# are due at an age of 2 s, are polled every 0.2 s, and are resent after 1 s
# without acknowledgement (docs/design.md, section 3.4). Any other broken flow fails
# the run.
readonly UNREPLICATED_MS=3200
# A draining endpoint receives no new flows after this time.
readonly DRAIN_S=3

declare -A pids=()
failed_checks=0
checks=()
report=()

elapsed_ms() { echo $(($(date +%s%3N) - START_MS)); }

log() { printf '%6d ms  %s\n' "$(elapsed_ms)" "$*"; }

# start NAME PROGRAM ARGUMENT... runs a program in the background.
start() {
  local name=$1
  shift
  "$@" >>"$OUT/$name.log" 2>&1 &
  pids[$name]=$!
}

# send_signal NAME SIGNAL sends a signal to a program.
send_signal() { kill -s "$2" "${pids[$1]}"; }

# wait_for_exit NAME SECONDS waits until a program exits. The program is killed, and
# a failed check recorded, after this time or at the time limit of the run.
wait_for_exit() {
  local name=$1 pid=${pids[$1]} until=$(($(elapsed_ms) + $2 * 1000))
  ((until < LIMIT_S * 1000)) || until=$((LIMIT_S * 1000))
  while kill -0 "$pid" 2>/dev/null && (($(elapsed_ms) < until)); do sleep 0.05; done
  if kill -0 "$pid" 2>/dev/null; then
    check "$name ends within $2 s and the time of the run" false
    kill -s KILL "$pid" 2>/dev/null
  fi
  wait "$pid" 2>/dev/null
  unset "pids[$name]"
  # The redirection hides the shell's own message about a killed job.
} 2>/dev/null

# stop_all terminates all programs and kills those that still run after 3 s.
stop_all() {
  local name attempts=60
  for name in "${!pids[@]}"; do kill -s TERM "${pids[$name]}" 2>/dev/null; done
  while ((attempts-- > 0)) && any_running; do sleep 0.05; done
  for name in "${!pids[@]}"; do
    kill -s KILL "${pids[$name]}" 2>/dev/null
    wait "${pids[$name]}" 2>/dev/null
    unset "pids[$name]"
  done
} 2>/dev/null

any_running() {
  local name
  for name in "${!pids[@]}"; do
    if kill -0 "${pids[$name]}" 2>/dev/null; then return 0; fi
  done
  return 1
}

# all_running succeeds if every started program is still running. A program exits at
# once if its address is in use, for example by another run.
all_running() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || return 1
  done
}

# check TEXT COMMAND... records a check, which passes if the command succeeds.
check() {
  local text=$1
  shift
  if "$@"; then
    checks+=("ok      $text")
  else
    checks+=("FAILED  $text")
    failed_checks=$((failed_checks + 1))
  fi
}

# The comparisons fail if the first value is not an integer, as when it is missing.
is_number() { [[ ${1:-} =~ ^[0-9]+$ ]]; }
at_most() { is_number "${1:-}" && (($1 <= $2)); }
at_least() { is_number "${1:-}" && (($1 >= $2)); }
equal() { is_number "${1:-}" && (($1 == $2)); }

# report_value NAME VALUE adds a line to the report.
report_value() { report+=("$(printf '%-36s %s' "$1" "$2")"); }

# finish stops all programs, prints the report and the checks, and exits with 1 if a
# check failed.
finish() {
  stop_all
  echo
  echo "Report"
  if ((${#report[@]} > 0)); then printf '  %s\n' "${report[@]}"; fi
  echo "Checks"
  printf '  %s\n' "${checks[@]}"
  echo
  if ((failed_checks > 0)); then
    echo "$failed_checks checks failed after $(elapsed_ms) ms; logs are in out/$RUN"
    exit 1
  fi
  echo "all ${#checks[@]} checks hold after $(elapsed_ms) ms"
  exit 0
}

# poll SECONDS COMMAND... repeats a command until it succeeds. It fails after this
# time or at the time limit of the run.
poll() {
  local until=$(($(elapsed_ms) + $1 * 1000))
  shift
  while ! "$@"; do
    if (($(elapsed_ms) > until || $(elapsed_ms) > LIMIT_S * 1000)); then return 1; fi
    sleep 0.1
  done
}

# require TEXT SECONDS COMMAND... polls a command and records a check. The run ends if
# the check fails.
require() {
  local text=$1 seconds=$2
  shift 2
  if poll "$seconds" "$@"; then
    check "$text" true
    log "$text"
    return
  fi
  check "$text" false
  finish
}

http() { curl --silent --fail --max-time 2 "$@"; }

# control METHOD URL [BODY] calls the control interface of a stand-in.
control() { http --output "$OUT/answer" --request "$1" ${3:+--data "$3"} "http://$2"; }

# counter URL KEY prints a number from an indented JSON object. The key must be unique
# in the object, as it is in the counters of the stand-ins.
counter() { http "http://$1" | json_number "$2"; }

# json_number KEY prints a number from indented JSON on standard input.
json_number() { sed -nE "s/^ *\"$1\": ([0-9.]+),?\$/\\1/p" | head -n 1; }

# section_number FILE SECTION KEY prints a number from a nested object.
section_number() { sed -n "/\"$2\": {/,/}/p" "$1" | json_number "$3"; }

# status INSTANCE prints the status from the administration API without white space,
# with one flat JSON object per line.
status() {
  http --header 'Content-Type: application/json' --data '{}' \
    "http://$ENTRY_NET.$1:7090/twirp/burdockrelay.admin.Administration/Status" |
    tr -d ' \n' | sed 's/[{}]/\n/g'
}

# own_status_field INSTANCE FIELD prints a field of the status that an instance
# reports for itself.
own_status_field() { status "$1" | grep '"self":true' | json_field "$2"; }

# json_field FIELD prints the first value of a field in the output of status.
json_field() { sed -nE "s/.*\"$1\":\"?([^\",]*)\"?.*/\\1/p" | head -n 1; }

# state_seen_by OBSERVER INSTANCE prints the state of an instance as reported by
# another one.
state_seen_by() { status "$1" | grep "\"name\":\"entry-$2\"" | json_field state; }

# all_known INSTANCE... succeeds if each of the instances sees all of them as joining
# or serving. Before the first release instances are joining.
all_known() {
  local observer
  for observer in "$@"; do
    (($(status "$observer" | grep '"name":"entry-' | grep -cE '"state":"(joining|serving)"') == $#)) || return 1
  done
}

# all_serving INSTANCE... succeeds if each of the instances sees all of them, and no
# others, as serving.
all_serving() {
  local observer
  for observer in "$@"; do
    (($(status "$observer" | grep '"name":"entry-' | grep -c '"state":"serving"') == $#)) || return 1
  done
}

# all_in_force RELEASE INSTANCE... succeeds if each of the instances has applied the
# release or a later one.
all_in_force() {
  local release=$1 instance
  shift
  for instance in "$@"; do
    (($(status "$instance" | json_field release) + 0 >= release)) || return 1
  done
}

# ctl ARGUMENT... runs burdockctl with the time limit CTL_LIMIT_S.
ctl() { BURDOCKCTL_SETTINGS=$OUT/ctl.yaml timeout $CTL_LIMIT_S "$BIN/burdockctl" "$@" >>"$OUT/burdockctl.log" 2>&1; }

# write_settings INSTANCE writes the settings of both daemons of an entry instance.
write_settings() {
  local i=$1 common
  common="instance: entry-$i
data_centre: fukuoka
group: office
address: $ENTRY_NET.$i
entry_port: 6081
log_level: info"
  cat >"$OUT/entryd-$i.yaml" <<EOF
$common
metrics_listen: $ENTRY_NET.$i:9101
api_listen: $ENTRY_NET.$i:7081
fabric_return: $FABRIC_RETURN
EOF
  cat >"$OUT/controld-$i.yaml" <<EOF
$common
metrics_listen: $ENTRY_NET.$i:9102
entry_api: $ENTRY_NET.$i:7081
places: [fukuoka]
peer_port: 7946
platform: http://$PLATFORM
administration:
  listen: $ENTRY_NET.$i:7090
EOF
}

# start_entry INSTANCE starts both daemons of an entry instance.
start_entry() {
  start "entryd-$1" "$BIN/burdock-entryd" -settings "$OUT/entryd-$1.yaml"
  start_controller "$1"
}

start_controller() { start "controld-$1" "$BIN/burdock-controld" -settings "$OUT/controld-$1.yaml"; }

# put_instance INSTANCE STATE creates or updates an entry of the platform's instance
# list.
put_instance() {
  control PUT "$PLATFORM/control/instances/entry-$1" \
    "{\"address\": \"$ENTRY_NET.$1\", \"dataCentre\": \"fukuoka\", \"group\": \"office\", \"state\": \"$2\"}"
}

# set_fabric_entry PUT|DELETE INSTANCE adds an instance to, or removes it from, those
# that the fabric sprays packets over.
set_fabric_entry() { control "$1" "$FABRIC_CONTROL/control/entries/$ENTRY_NET.$2:6081"; }

# stop_entry INSTANCE CONTROLD_S ENTRYD_S shuts an instance down gracefully and limits
# the time in seconds that each daemon may take. controld hands over the flows first,
# while entryd relays the packets that the fabric still sends.
stop_entry() {
  local i=$1 begin
  put_instance "$i" leaving
  begin=$(elapsed_ms)
  send_signal "controld-$i" TERM
  sleep 1
  set_fabric_entry DELETE "$i"
  wait_for_exit "controld-$i" "$2"
  report_value "time until controld-$i has ended" "$(($(elapsed_ms) - begin)) ms"
  begin=$(elapsed_ms)
  send_signal "entryd-$i" TERM
  wait_for_exit "entryd-$i" "$3"
  report_value "time until entryd-$i has ended" "$(($(elapsed_ms) - begin)) ms"
}

# start_endpoint NAME BYTE SERVICE SLOTS starts one of ENDPOINTS.
start_endpoint() {
  start "$1" "$BIN/standin-endpoint" -name "$1" -services "$3" -slots "$4" -reports-file "$OUT/$1.reports" \
    -tunnel "$NET.20.$2:6081" -health "$NET.20.$2:8080" -return $FABRIC_RETURN
}

# start_all starts the platform, the fabric, the endpoints and the entry instances, and
# writes the settings of burdockctl.
start_all() {
  local i name byte service slots entries=
  start platform "$BIN/standin-platform" -listen $PLATFORM
  for i in $ENTRIES; do entries+=${entries:+,}$ENTRY_NET.$i:6081; done
  start fabric "$BIN/standin-fabric" -ingress $FABRIC_INGRESS -return $FABRIC_RETURN \
    -control $FABRIC_CONTROL -entries "$entries" -seed 1
  while read -r name byte service slots; do
    [ -n "$name" ] || continue
    start_endpoint "$name" "$byte" "$service" "$slots"
  done <<<"$ENDPOINTS"
  require "platform and fabric answer" 3 platform_and_fabric_ready
  for i in $ENTRIES; do
    put_instance "$i" live
    write_settings "$i"
    start_entry "$i"
  done
  echo "server: http://$ENTRY_NET.1:7090" >"$OUT/ctl.yaml"
  echo "author: $RUN" >>"$OUT/ctl.yaml"
}

platform_and_fabric_ready() {
  all_running && control GET "$PLATFORM/control/counters" && control GET "$FABRIC_CONTROL/control/counters"
}

# start_callers ARGUMENT... starts the callers with additional arguments.
start_callers() {
  local name byte endpoints=
  while read -r name byte _; do
    [ -n "$name" ] && endpoints+=${endpoints:+,}$NET.20.$byte:8080
  done <<<"$ENDPOINTS"
  start caller "$BIN/standin-caller" -listen $NET.0.1:6083 -fabric $FABRIC_INGRESS -control $CALLER_CONTROL \
    -callers 24 -seed 1 -drawings $DRAWINGS -boards $DESK -reports $DESK \
    -download-rate 100000 -requests-per-flow 20 -pause 150ms -grace 12s -stall "${STALL_S}s" \
    -endpoints "$endpoints" -summary "$OUT/summary.json" "$@"
}

caller_exited() { ! kill -0 "${pids[caller]}" 2>/dev/null; }

# wait_for_callers SECONDS waits until the callers exit.
wait_for_callers() {
  require "the callers end" "$1" caller_exited
  wait "${pids[caller]}"
  check "the callers report no failure" equal $? 0
  unset "pids[caller]"
}

# publish RELEASE INSTANCE... publishes a release and reports the time until it is in
# force on each instance.
publish() {
  local release=$1 begin
  shift
  begin=$(elapsed_ms)
  sed "s/127\.0\./$NET./" "$RELEASES/release-$release.yaml" >"$OUT/release-$release.yaml"
  check "burdockctl publishes release $release" ctl publish "$OUT/release-$release.yaml"
  require "release $release is in force on $# instances" 16 all_in_force "$release" "$@"
  local took=$(($(elapsed_ms) - begin))
  report_value "time to in force, release $release" "$took ms"
  check "release $release is in force within $MAX_IN_FORCE_MS ms" at_most $took $MAX_IN_FORCE_MS
}

# summary_texts KEY prints all string values of a key in the callers' summary.
# summary_times KEY prints timestamps in milliseconds since the epoch.
summary_texts() { grep -o "\"$1\": *\"[^\"]*\"" "$OUT/summary.json" | cut -d'"' -f4; }
summary_times() { summary_texts "$1" | while read -r time; do date -d "$time" +%s%3N; done; }

# check_invariants INSTANCE... checks that no instance reports an invariant violation.
check_invariants() {
  local i seen violations=0
  for i in "$@"; do
    seen=$(status "$i" | json_field invariant_violations)
    # A missing value fails the check.
    if is_number "$seen"; then violations=$((violations + seen)); else violations=unknown && break; fi
  done
  check "no invariant was violated" equal "$violations" 0
}

# check_deliveries checks in the endpoints' counters that each packet reached an
# endpoint of its service, as Geneve without options.
check_deliveries() {
  local name byte misdelivered=0 options=0 malformed=0
  while read -r name byte _; do
    [ -n "$name" ] || continue
    http "http://$NET.20.$byte:8080/control/counters" >"$OUT/$name.json"
    check "$name answers" at_least "$(json_number misdelivered <"$OUT/$name.json")" 0
    misdelivered=$((misdelivered + $(json_number misdelivered <"$OUT/$name.json")))
    options=$((options + $(json_number with_options <"$OUT/$name.json")))
    malformed=$((malformed + $(json_number malformed <"$OUT/$name.json")))
  done <<<"$ENDPOINTS"
  check "no packet reached an endpoint of another service" equal $misdelivered 0
  check "endpoints got plain Geneve only" equal $((options + malformed)) 0
}

# check_responses checks the responses and the reports in the callers' summary.
check_responses() {
  local file=$OUT/summary.json key
  report_value "flows opened" "$(json_number flows_opened <"$file")"
  report_value "broken flows" "$(json_number broken_flows <"$file")"
  report_value "downloads complete" "$(json_number downloads_complete <"$file")"
  report_value "lookups answered" "$(json_number boards_ok <"$file")"
  report_value "reports answered, refused, unknown" \
    "$(json_number reports_ok <"$file"), $(json_number reports_refused <"$file"), $(json_number reports_unknown <"$file")"
  check "downloads completed" at_least "$(json_number downloads_complete <"$file")" 1
  check "reports were answered" at_least "$(json_number reports_ok <"$file")" 1
  for key in wrong_answers crossed_answers unfinished reports_double_run endpoints_unread reports_run_twice reports_refused_but_run \
    reports_answered_but_not_run reports_run_but_never_sent; do
    check "${key//_/ }: 0" equal "$(json_number $key <"$file")" 0
  done
}

# prepare empties OUT and checks that all programs have been built.
prepare() {
  local program
  mkdir -p "$OUT"
  rm -f "$OUT"/*
  for program in burdock-entryd burdock-controld burdockctl standin-platform standin-fabric standin-endpoint standin-caller; do
    if [ ! -x "$BIN/$program" ]; then
      echo "bin/$program is missing; run make build" >&2
      exit 2
    fi
  done
}

trap stop_all EXIT
trap 'exit 130' INT TERM
