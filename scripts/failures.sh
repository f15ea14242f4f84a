#!/usr/bin/env bash
# Exposes the processes of the demo to failures: frozen and killed daemons, a platform
# outage, lost responses, concurrent publications, network impairments and killed
# endpoints. Callers run throughout. Every download is compared byte by byte, and every
# report is counted at the endpoint. Each broken flow is attributed to the failure
# during which it stopped and must be one that this failure may break. Exits with 0
# only if every check passes. Needs bash, curl and the programs of "make build".
cd "$(dirname "$0")/.." || exit 2
readonly RUN=failures
# The run must end within 4 minutes, and stopping the processes takes up to 3 s.
readonly LIMIT_S=230
# A publication may take up to 30 s.
readonly CTL_LIMIT_S=32
source scripts/lib.sh

readonly CALLERS_S=130
# On shutdown controld may replicate exceptions for 30 s and hand over for 9 s, and
# entryd may relay for 30 s (docs/OPERATIONS.md and docs/design.md, section 4).
readonly CONTROLD_STOP_S=39
readonly ENTRYD_STOP_S=30
# entryd acts as owner for 3 s after the last renewal of its lease. Without controld,
# flows opened in this time are not replicated to the successor (docs/design.md,
# section 3.6).
readonly LEASE_MS=3000
# The callers detect a stalled flow STALL_S after its last packet. Because workers
# pause between requests, the last packet may precede the failure by this much.
readonly STOPPED_EARLIER_MS=1000

# Each case injects one failure. It has a name, a start time, the interval of opening
# times of the flows that it may break, and an endpoint whose flows it may break. Times
# are in milliseconds since the epoch.
case_names=()
case_begins=()
case_from=()
case_until=()
case_endpoints=()
release=0
# highest_release is the highest release seen on each instance.
declare -A highest_release=()

now_ms() { date +%s%3N; }

# summary KEY prints a number from the callers' current summary.
summary() { counter $CALLER_CONTROL/control/summary "$1"; }

# begin_case NAME BEFORE_MS AFTER_MS [ENDPOINT] starts a case. Its failure may break
# flows opened from BEFORE_MS before now until AFTER_MS after now, and all flows of the
# endpoint. If BEFORE_MS is "-", it may break only flows of the endpoint, or none without
# an endpoint.
begin_case() {
  local now
  now=$(now_ms)
  case_names+=("$1")
  case_begins+=("$now")
  if [ "$2" = - ]; then
    case_from+=(0)
    case_until+=(0)
  else
    case_from+=($((now - $2)))
    case_until+=($((now + $3)))
  fi
  case_endpoints+=("${4:-}")
  broken_before=$(summary broken_flows)
  not_opened_before=$(not_opened)
  check "$1: flows are open" at_least "$(summary flows_open)" 1
  log "$1: begins"
}

# end_case INSTANCE... checks the releases of the running instances and prints the
# number of flows broken and not opened since the case began.
end_case() {
  check_releases "$@"
  log "${case_names[-1]}: $(($(summary broken_flows) - broken_before)) flows broken," \
    "$(($(not_opened) - not_opened_before)) not opened"
}

# not_opened prints the number of flows that could not be opened.
not_opened() { http "http://$CALLER_CONTROL/control/summary" | sum_not_opened; }

# sum_not_opened adds up the counts by reason in a summary on standard input.
sum_not_opened() {
  sed -n '/"flows_not_opened": {$/,/}/p' |
    grep -o '": [0-9]*' | awk '{ sum += $2 } END { print sum + 0 }'
}

# check_releases INSTANCE... checks that the release of no instance has decreased.
check_releases() {
  local i seen
  for i in "$@"; do
    seen=$(status "$i" | json_field release)
    if ! at_least "$seen" "${highest_release[$i]:-0}"; then
      check "entry-$i: release ${seen:-unknown} is not lower than ${highest_release[$i]:-0}" false
    else
      highest_release[$i]=$seen
    fi
  done
}

# wait_until_serving waits until each instance sees all instances as serving.
wait_until_serving() { require "${case_names[-1]}: all instances serve afterwards" 25 all_serving $ENTRIES; }

# signal_controllers SIGNAL INSTANCE... sends a signal to the controld of each.
signal_controllers() {
  local signal=$1 i
  shift
  for i in "$@"; do send_signal "controld-$i" "$signal"; done
}

freeze_instance() {
  begin_case "entry-2 frozen for 6 s" $UNREPLICATED_MS 0
  send_signal entryd-2 STOP
  send_signal controld-2 STOP
  # The fabric changes with a delay.
  sleep 2
  set_fabric_entry DELETE 2
  sleep 4
  send_signal entryd-2 CONT
  send_signal controld-2 CONT
  sleep 1
  wait_until_serving
  set_fabric_entry PUT 2
  sleep 2
  end_case $ENTRIES
}

freeze_controller() {
  begin_case "controld-4 frozen for 6 s" $UNREPLICATED_MS $LEASE_MS
  send_signal controld-4 STOP
  sleep 6
  send_signal controld-4 CONT
  sleep 1
  wait_until_serving
  sleep 2
  end_case $ENTRIES
}

kill_controller() {
  begin_case "controld-5 killed and started" $UNREPLICATED_MS $LEASE_MS
  send_signal controld-5 KILL
  wait_for_exit controld-5 1
  sleep 1
  start_controller 5
  sleep 1
  wait_until_serving
  sleep 2
  end_case $ENTRIES
}

# freeze_controllers checks that the entryd daemons continue to forward. Flows opened
# during the freeze are not replicated, but their owners are still running.
freeze_controllers() {
  local downloads reports boards forwarded fenced rate
  boards=$(summary boards_ok)
  sleep 4
  rate=$((($(summary boards_ok) - boards) / 4))
  begin_case "all controld frozen for 12 s" $UNREPLICATED_MS $LEASE_MS
  signal_controllers STOP $ENTRIES
  sleep 4
  downloads=$(summary downloads_complete)
  boards=$(summary boards_ok)
  reports=$(summary reports_ok)
  forwarded=$(packets_with_code 1020)
  fenced=$(packets_with_code 1100)
  sleep 8
  check "downloads complete without controld" at_least "$(summary downloads_complete)" $((downloads + 1))
  check "lookups are answered without controld" at_least "$(summary boards_ok)" $((boards + 1))
  check "reports are answered without controld" at_least "$(summary reports_ok)" $((reports + 1))
  report_value "without controld, from 4 s to 12 s" "$(($(summary downloads_complete) - downloads)) downloads, \
$(($(summary boards_ok) - boards)) lookups, $(($(summary reports_ok) - reports)) reports"
  report_value "lookups per second, before and then" "$rate, $((($(summary boards_ok) - boards) / 8))"
  report_value "packets then: forwarded, code 1100" "$(($(packets_with_code 1020) - forwarded)), $(($(packets_with_code 1100) - fenced))"
  signal_controllers CONT $ENTRIES
  sleep 2
  wait_until_serving
  sleep 2
  end_case $ENTRIES
}

# packets_with_code CODE prints the number of packets on all instances with a result
# code. Code 1100 counts packets that a fenced instance relays or drops.
packets_with_code() {
  local i
  for i in $ENTRIES; do http "http://$ENTRY_NET.$i:9101/metrics"; done |
    awk -v name="burdock_entry_results_total{code=\"$1\"}" '$1 == name { sum += $2 } END { print sum + 0 }'
}

stop_instance() {
  begin_case "entry-5 stopped as planned" -
  stop_entry 5 $CONTROLD_STOP_S $ENTRYD_STOP_S
  end_case 1 2 3 4
}

# set_faults BODY changes the faults that the platform injects.
set_faults() { control PATCH "$PLATFORM/control/faults" "$1"; }

# release_applied INSTANCE succeeds if the instance has applied the current release.
release_applied() { at_least "$(own_status_field "$1" release)" "$release"; }

platform_outage() {
  local begin drawings took
  begin_case "platform outage of 8 s" -
  put_instance 5 live
  sleep 0.5
  check "the platform's outage begins" set_faults '{"outage": "drop"}'
  begin=$(now_ms)
  check "burdockctl drains drawing-1 in the outage" ctl drain drawing-1
  start_entry 5
  sleep $DRAIN_S
  drawings=$(counter $NET.20.1:8080/control/counters drawings)
  check "entry-5 takes release $release from a peer" poll 4 release_applied 5
  took=$(($(now_ms) - begin))
  check "entry-5 has the release before the outage ends" at_most $took 7500
  report_value "release from a peer after" "$took ms"
  while (($(now_ms) < begin + 8000)); do sleep 0.1; done
  check "the platform's outage ends" set_faults '{"outage": "none"}'
  wait_until_serving
  set_fabric_entry PUT 5
  sleep 2
  check "drawing-1 got no new downloads $DRAIN_S s after the drain" \
    equal "$(counter $NET.20.1:8080/control/counters drawings)" "$drawings"
  check "burdockctl undrains drawing-1" ctl undrain drawing-1
  end_case $ENTRIES
}

# write_variant NAME MINUTES writes a variant of release 2 with another drain deadline.
write_variant() {
  sed "s/^name: downloads\$/&\ndrain_deadline: $2m/" "$OUT/release-2.yaml" >"$OUT/$1.yaml"
}

# releases_with_note NOTE prints the number of releases in the history with a note.
releases_with_note() {
  BURDOCKCTL_SETTINGS=$OUT/ctl.yaml timeout 10 "$BIN/burdockctl" history -o json | grep -o "\"note\": *\"$1\"" | wc -l
}

# lose_responses COUNT publishes while the platform drops its responses to COUNT
# changes.
lose_responses() {
  local count=$1 lost i
  lost=$(counter $PLATFORM/control/counters answers_lost)
  begin_case "$count answers of the platform lost" -
  write_variant "lost-$count" $((20 + count))
  check "the platform will lose $count answers" set_faults "{\"lose_answers\": $count}"
  check "burdockctl publishes with $count answers lost" ctl publish -note "lost $count" "$OUT/lost-$count.yaml"
  set_faults '{"lose_answers": 0}'
  lost=$(($(counter $PLATFORM/control/counters answers_lost) - lost))
  report_value "answers lost in the publication" "$lost"
  check "answers were lost" at_least $lost 1
  release=$((release + 1))
  require "release $release is in force on 5 instances" 16 all_in_force $release $ENTRIES
  sleep 1
  for i in $ENTRIES; do check "entry-$i has release $release and no higher one" equal "$(own_status_field "$i" release)" $release; done
  check "the release with $count answers lost was accepted once" equal "$(releases_with_note "lost $count")" 1
  end_case $ENTRIES
}

two_operators() {
  local i first second codes=()
  begin_case "two operators at once" -
  write_variant operator-1 41
  write_variant operator-2 42
  ctl publish -server "http://$ENTRY_NET.1:7090" -base $release -note "operator 1" "$OUT/operator-1.yaml" &
  first=$!
  ctl publish -server "http://$ENTRY_NET.3:7090" -base $release -note "operator 2" "$OUT/operator-2.yaml" &
  second=$!
  wait $first
  codes+=($?)
  wait $second
  codes+=($?)
  report_value "exit codes of the two operators" "${codes[*]}"
  check "one operator wins, the other gets exit code 4" one_succeeds "${codes[@]}"
  release=$((release + 1))
  require "release $release is in force on 5 instances" 16 all_in_force $release $ENTRIES
  sleep 1
  for i in $ENTRIES; do check "entry-$i has release $release and no higher one" equal "$(own_status_field "$i" release)" $release; done
  check "one release of the two was accepted" equal $(($(releases_with_note "operator 1") + $(releases_with_note "operator 2"))) 1
  end_case $ENTRIES
}

# one_succeeds CODE CODE succeeds if one publisher succeeded and the other got a
# conflict (exit code 4).
one_succeeds() { [ "$*" = "0 4" ] || [ "$*" = "4 0" ]; }

impair_fabric() {
  local impaired='{"loss_percent": 2, "duplicate_percent": 2, "reorder_percent": 5, "reorder_ms": 20}'
  local key unimpaired='{"loss_percent": 0, "duplicate_percent": 0, "reorder_percent": 0, "reorder_ms": 0}'
  begin_case "loss, duplication, reordering for 10 s" -
  check "the fabric's impairments begin" control PATCH "$FABRIC_CONTROL/control/impairments" "{\"to_entries\": $impaired, \"to_callers\": $impaired}"
  sleep 10
  check "the fabric's impairments end" control PATCH "$FABRIC_CONTROL/control/impairments" "{\"to_entries\": $unimpaired, \"to_callers\": $unimpaired}"
  http "http://$FABRIC_CONTROL/control/counters" >"$OUT/fabric.json"
  for key in lost duplicated reordered; do
    check "the fabric has $key packets" at_least "$(json_number $key <"$OUT/fabric.json")" 1
  done
  sleep 2
  end_case $ENTRIES
}

# kill_endpoint NAME kills an endpoint and starts it again. The flows of a dead endpoint
# end (docs/design.md, section 8).
kill_endpoint() {
  local name=$1 begin
  begin_case "$name killed and started" - - "$name"
  send_signal "$name" KILL
  wait_for_exit "$name" 1
  require "$name: is seen as down" 10 endpoint_down "$name"
  sleep 2
  start_endpoint $(grep "^$name " <<<"$ENDPOINTS")
  begin=$(elapsed_ms)
  require "$name: up again" 15 endpoint_up "$name"
  report_value "time until $name is up or cold" "$(($(elapsed_ms) - begin)) ms"
  sleep 3
  end_case $ENTRIES
}

endpoint_down() { [ "$(status 1 | grep "\"name\":\"$1\"" | json_field state)" = down ]; }
endpoint_up() { [[ $(status 1 | grep "\"name\":\"$1\"" | json_field state) =~ ^(up|cold)$ ]]; }

# attribute_broken_flows attributes each broken flow to the case during which it
# stopped, prints the flows that this case may not break, and sets allowed_total to the
# number of the others.
attribute_broken_flows() {
  local opened broken at endpoint reason line i n count=${#case_names[@]}
  local -a all allowed
  allowed_total=0
  for ((i = 0; i < count; i++)); do all[i]=0 allowed[i]=0; done
  while IFS='|' read -r opened broken endpoint reason line; do
    at=$broken
    if [ "$reason" = stalled ]; then at=$((broken - STALL_S * 1000 + STOPPED_EARLIER_MS)); fi
    n=-1
    for ((i = 0; i < count; i++)); do if ((at >= case_begins[i])); then n=$i; fi; done
    if ((n >= 0)); then all[n]=$((all[n] + 1)); fi
    if ((n >= 0)) && may_break "$n" "$opened" "$endpoint"; then
      allowed[n]=$((allowed[n] + 1))
      allowed_total=$((allowed_total + 1))
    else
      printf '  not allowed: %s, opened %+d ms, broken %+d ms from the beginning of "%s"\n' "$line" \
        $((opened - case_begins[n < 0 ? 0 : n])) $((broken - case_begins[n < 0 ? 0 : n])) "${case_names[n < 0 ? 0 : n]}"
    fi
  done < <(paste -d'|' <(summary_times opened_at) <(summary_times broken_at) <(summary_texts endpoint) <(summary_texts reason) \
    <(paste -d' ' <(summary_texts local) <(summary_texts service) <(summary_texts endpoint) <(summary_texts reason) <(summary_texts opened_at)))
  for ((i = 0; i < count; i++)); do
    report_value "${case_names[i]}" "${all[i]} flows broken, ${allowed[i]} of them allowed"
    check "${case_names[i]}: broke only flows that it may break" equal "${all[i]}" "${allowed[i]}"
  done
}

# may_break CASE OPENED_MS ENDPOINT succeeds if the case may break a flow of the
# endpoint that was opened at this time.
may_break() {
  (($2 >= case_from[$1] && $2 <= case_until[$1])) || { [ -n "$3" ] && [ "$3" = "${case_endpoints[$1]}" ]; }
}

check_broken() {
  local file=$OUT/summary.json broken max_failed
  broken=$(json_number broken_flows <"$file")
  attribute_broken_flows
  check "every broken flow is listed and allowed" equal "$broken" "$allowed_total"
  # A request may fail because its flow broke or was not opened, or because it was
  # refused without being run.
  max_failed=$((allowed_total + $(sum_not_opened <"$file") + \
    $(json_number requests_refused <"$file")))
  check "downloads and lookups failed: at most $max_failed with broken or refused flows" \
    at_most $(($(json_number downloads_failed <"$file") + $(json_number boards_failed <"$file"))) $max_failed
  check "reports unknown: at most $allowed_total with broken flows" at_most "$(json_number reports_unknown <"$file")" "$allowed_total"
}

prepare
start_all
require "all entry instances know each other" 10 all_known $ENTRIES
require "every program runs" 1 all_running
publish 1 $ENTRIES
publish 2 $ENTRIES
release=2
require "all entry instances serve" 15 all_serving $ENTRIES
start_callers -download-size 800000 -duration ${CALLERS_S}s
log "callers started"
sleep 5

freeze_instance
freeze_controller
kill_controller
freeze_controllers
lose_responses 1
lose_responses 6
two_operators
impair_fabric
kill_endpoint drawing-2
kill_endpoint order-2
stop_instance
platform_outage

begin_case "after the failures" -
wait_for_callers 60
require "release $release is in force on all instances at the end" 5 all_in_force $release $ENTRIES
check_releases $ENTRIES
check_invariants $ENTRIES
check_deliveries
check_responses
check_broken
finish
