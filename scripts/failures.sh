#!/usr/bin/env bash
# Runs the processes of the demo through failures: frozen and killed daemons, a
# platform outage, a lost response, two operators at once, a bad network and a
# killed endpoint. Callers run throughout; every download is compared byte for
# byte and every report counted at the endpoint. Each broken flow is assigned to
# the failure in which it stopped and must be one that the failure may break. It
# exits with 0 only if every check holds. Needs bash, curl and the programs of
# "make build".
cd "$(dirname "$0")/.." || exit 2
readonly RUN=failures
# The run must end within 4 minutes. Ending the processes takes up to 3 s.
readonly LIMIT_S=230
# A publication may take 30 s.
readonly CTL_LIMIT_S=32
source scripts/lib.sh

readonly CALLERS_S=130
# controld may report exceptions for 30 s and hand over for 9 s, entryd may relay
# for 30 s (docs/OPERATIONS.md and section 4 of docs/design.md).
readonly CONTROLD_STOP_S=39
readonly ENTRYD_STOP_S=30
# entryd decides by its flow table for 3 s after the last renewal of its lease,
# while the flows opened meanwhile cannot be reported to the successor without
# controld (section 3.6).
readonly LEASE_MS=3000
# A stalled flow stopped STALL_S before the callers noticed it; its last packet
# may be this much older than the failure, because workers pause.
readonly STOPPED_EARLIER_MS=1000

# Per failure: begin, bounds of the time of opening of the flows that it may
# break, endpoint whose flows it may break. All times in ms since the epoch.
case_names=()
case_begins=()
case_from=()
case_until=()
case_endpoints=()
release=0
declare -A highest=()

now_ms() { date +%s%3N; }

summary() { counter $CALLER_CONTROL/control/summary "$1"; }

# begin_case NAME BEFORE_MS AFTER_MS [ENDPOINT] begins a failure. It may break
# flows opened between BEFORE_MS before now and AFTER_MS after, and all flows of
# the endpoint. "-" for BEFORE_MS means that it may break none.
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
  say "$1: begins"
}

# end_case INSTANCE... prints what the callers have noticed so far. The instances
# are those that run.
end_case() {
  note_releases "$@"
  say "${case_names[-1]}: $(($(summary broken_flows) - broken_before)) flows broken," \
    "$(($(not_opened) - not_opened_before)) not opened"
}

# not_opened prints how many flows could not be opened.
not_opened() { http "http://$CALLER_CONTROL/control/summary" | sum_not_opened; }

# sum_not_opened adds up the reasons in a summary.
sum_not_opened() {
  sed -n '/"flows_not_opened": {$/,/}/p' |
    grep -o '": [0-9]*' | awk '{ sum += $2 } END { print sum + 0 }'
}

# note_releases INSTANCE... checks that the release of each instance is not lower than before.
note_releases() {
  local i seen
  for i in "$@"; do
    seen=$(status "$i" | field release)
    if ! at_least "$seen" "${highest[$i]:-0}"; then
      check "entry-$i: release ${seen:-unknown} is not lower than ${highest[$i]:-0}" false
    else
      highest[$i]=$seen
    fi
  done
}

# settle waits until all instances serve and agree on it.
settle() { must "${case_names[-1]}: all instances serve afterwards" 25 all_serving $ENTRIES; }

# signal_controllers SIGNAL INSTANCE... sends a signal to the controld of each.
signal_controllers() {
  local signal=$1 i
  shift
  for i in "$@"; do send "controld-$i" "$signal"; done
}

freeze_instance() {
  begin_case "entry-2 frozen for 6 s" $UNREPLICATED_MS 0
  send entryd-2 STOP
  send controld-2 STOP
  # The fabric notices later.
  sleep 2
  spray DELETE 2
  sleep 4
  send entryd-2 CONT
  send controld-2 CONT
  sleep 1
  settle
  spray PUT 2
  sleep 2
  end_case $ENTRIES
}

freeze_controller() {
  begin_case "controld-4 frozen for 6 s" $UNREPLICATED_MS $LEASE_MS
  send controld-4 STOP
  sleep 6
  send controld-4 CONT
  sleep 1
  settle
  sleep 2
  end_case $ENTRIES
}

kill_controller() {
  begin_case "controld-5 killed and started" $UNREPLICATED_MS $LEASE_MS
  send controld-5 KILL
  await_end controld-5 1
  sleep 1
  start_controller 5
  sleep 1
  settle
  sleep 2
  end_case $ENTRIES
}

# freeze_controllers checks that the entryd daemons go on forwarding. Flows
# opened during the freeze have no replicated state, but their owners still run.
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
  forwarded=$(packets_with 1020)
  fenced=$(packets_with 1100)
  sleep 8
  check "downloads complete without controld" at_least "$(summary downloads_complete)" $((downloads + 1))
  check "lookups are answered without controld" at_least "$(summary boards_ok)" $((boards + 1))
  check "reports are answered without controld" at_least "$(summary reports_ok)" $((reports + 1))
  note "without controld, from 4 s to 12 s" "$(($(summary downloads_complete) - downloads)) downloads, \
$(($(summary boards_ok) - boards)) lookups, $(($(summary reports_ok) - reports)) reports"
  note "lookups per second, before and then" "$rate, $((($(summary boards_ok) - boards) / 8))"
  note "packets then: forwarded, code 1100" "$(($(packets_with 1020) - forwarded)), $(($(packets_with 1100) - fenced))"
  signal_controllers CONT $ENTRIES
  sleep 2
  settle
  sleep 2
  end_case $ENTRIES
}

# packets_with CODE adds up the packets of all instances with a result code. Code
# 1100 stands for those that a fenced instance relays or drops.
packets_with() {
  local i
  for i in $ENTRIES; do http "http://$ENTRY_NET.$i:9101/metrics"; done |
    awk -v name="burdock_entry_results_total{code=\"$1\"}" '$1 == name { sum += $2 } END { print sum + 0 }'
}

stop_instance() {
  begin_case "entry-5 stopped as planned" -
  stop_entry 5 $CONTROLD_STOP_S $ENTRYD_STOP_S
  end_case 1 2 3 4
}

set_faults() { control PATCH "$PLATFORM/control/faults" "$1"; }

applied() { at_least "$(own_field "$1" release)" "$release"; }

platform_outage() {
  local begin drawings took
  begin_case "platform outage of 8 s" -
  list_instance 5 live
  sleep 0.5
  check "the platform's outage begins" set_faults '{"outage": "drop"}'
  begin=$(now_ms)
  check "burdockctl drains drawing-1 in the outage" ctl drain drawing-1
  start_entry 5
  sleep $DRAIN_S
  drawings=$(counter $NET.20.1:8080/control/counters drawings)
  check "entry-5 takes release $release from a peer" poll 4 applied 5
  took=$(($(now_ms) - begin))
  check "entry-5 has the release before the outage ends" at_most $took 7500
  note "release from a peer after" "$took ms"
  while (($(now_ms) < begin + 8000)); do sleep 0.1; done
  check "the platform's outage ends" set_faults '{"outage": "none"}'
  settle
  spray PUT 5
  sleep 2
  check "drawing-1 got no new downloads $DRAIN_S s after the drain" \
    equal "$(counter $NET.20.1:8080/control/counters drawings)" "$drawings"
  check "burdockctl undrains drawing-1" ctl undrain drawing-1
  end_case $ENTRIES
}

# write_variant NAME MINUTES writes a release that differs in a deadline only.
write_variant() {
  sed "s/^name: downloads\$/&\ndrain_deadline: $2m/" "$OUT/release-2.yaml" >"$OUT/$1.yaml"
}

# releases_noted NOTE prints how often the history has a release with the note.
releases_noted() {
  BURDOCKCTL_SETTINGS=$OUT/ctl.yaml timeout 10 "$BIN/burdockctl" history -o json | grep -o "\"note\": *\"$1\"" | wc -l
}

# lose_answers COUNT publishes while the platform loses answers of changes.
lose_answers() {
  local count=$1 lost i
  lost=$(counter $PLATFORM/control/counters answers_lost)
  begin_case "$count answers of the platform lost" -
  write_variant "lost-$count" $((20 + count))
  check "the platform will lose $count answers" set_faults "{\"lose_answers\": $count}"
  check "burdockctl publishes with $count answers lost" ctl publish -note "lost $count" "$OUT/lost-$count.yaml"
  set_faults '{"lose_answers": 0}'
  lost=$(($(counter $PLATFORM/control/counters answers_lost) - lost))
  note "answers lost in the publication" "$lost"
  check "answers were lost" at_least $lost 1
  release=$((release + 1))
  must "release $release is in force on 5 instances" 16 all_in_force $release $ENTRIES
  sleep 1
  for i in $ENTRIES; do check "entry-$i has release $release and no higher one" equal "$(own_field "$i" release)" $release; done
  check "the release with $count answers lost was accepted once" equal "$(releases_noted "lost $count")" 1
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
  note "exit codes of the two operators" "${codes[*]}"
  check "one operator wins, the other gets exit code 4" one_wins "${codes[@]}"
  release=$((release + 1))
  must "release $release is in force on 5 instances" 16 all_in_force $release $ENTRIES
  sleep 1
  for i in $ENTRIES; do check "entry-$i has release $release and no higher one" equal "$(own_field "$i" release)" $release; done
  check "one release of the two was accepted" equal $(($(releases_noted "operator 1") + $(releases_noted "operator 2"))) 1
  end_case $ENTRIES
}

one_wins() { [ "$*" = "0 4" ] || [ "$*" = "4 0" ]; }

impair_fabric() {
  local bad='{"loss_percent": 2, "duplicate_percent": 2, "reorder_percent": 5, "reorder_ms": 20}'
  local key good='{"loss_percent": 0, "duplicate_percent": 0, "reorder_percent": 0, "reorder_ms": 0}'
  begin_case "loss, duplication, reordering for 10 s" -
  check "the fabric's impairments begin" control PATCH "$FABRIC_CONTROL/control/impairments" "{\"to_entries\": $bad, \"to_callers\": $bad}"
  sleep 10
  check "the fabric's impairments end" control PATCH "$FABRIC_CONTROL/control/impairments" "{\"to_entries\": $good, \"to_callers\": $good}"
  http "http://$FABRIC_CONTROL/control/counters" >"$OUT/fabric.json"
  for key in lost duplicated reordered; do
    check "the fabric has $key packets" at_least "$(number_of $key <"$OUT/fabric.json")" 1
  done
  sleep 2
  end_case $ENTRIES
}

# kill_endpoint NAME kills an endpoint and starts it again. The flows of a dead
# endpoint end (section 8).
kill_endpoint() {
  local name=$1 begin
  begin_case "$name killed and started" - - "$name"
  send "$name" KILL
  await_end "$name" 1
  must "$name: is seen as down" 10 endpoint_down "$name"
  sleep 2
  start_endpoint $(grep "^$name " <<<"$ENDPOINTS")
  begin=$(elapsed_ms)
  must "$name: up again" 15 endpoint_up "$name"
  note "time until $name is up or cold" "$(($(elapsed_ms) - begin)) ms"
  sleep 3
  end_case $ENTRIES
}

endpoint_down() { [ "$(status 1 | grep "\"name\":\"$1\"" | field state)" = down ]; }
endpoint_up() { [[ $(status 1 | grep "\"name\":\"$1\"" | field state) =~ ^(up|cold)$ ]]; }

# assign_broken assigns each broken flow to a failure by the time at which it
# stopped and lists those that the failure may not break.
assign_broken() {
  local opened broken at endpoint reason line i n count=${#case_names[@]}
  local -a all allowed
  permitted=0
  for ((i = 0; i < count; i++)); do all[i]=0 allowed[i]=0; done
  while IFS='|' read -r opened broken endpoint reason line; do
    at=$broken
    if [ "$reason" = stalled ]; then at=$((broken - STALL_S * 1000 + STOPPED_EARLIER_MS)); fi
    n=-1
    for ((i = 0; i < count; i++)); do if ((at >= case_begins[i])); then n=$i; fi; done
    if ((n >= 0)); then all[n]=$((all[n] + 1)); fi
    if ((n >= 0)) && may_break "$n" "$opened" "$endpoint"; then
      allowed[n]=$((allowed[n] + 1))
      permitted=$((permitted + 1))
    else
      printf '  not allowed: %s, opened %+d ms, broken %+d ms from the beginning of "%s"\n' "$line" \
        $((opened - case_begins[n < 0 ? 0 : n])) $((broken - case_begins[n < 0 ? 0 : n])) "${case_names[n < 0 ? 0 : n]}"
    fi
  done < <(paste -d'|' <(times_of opened_at) <(times_of broken_at) <(texts_of endpoint) <(texts_of reason) \
    <(paste -d' ' <(texts_of local) <(texts_of service) <(texts_of endpoint) <(texts_of reason) <(texts_of opened_at)))
  for ((i = 0; i < count; i++)); do
    note "${case_names[i]}" "${all[i]} flows broken, ${allowed[i]} of them allowed"
    check "${case_names[i]}: broke only flows that it may break" equal "${all[i]}" "${allowed[i]}"
  done
}

# may_break CASE OPENED ENDPOINT holds when the failure may break such a flow.
may_break() {
  (($2 >= case_from[$1] && $2 <= case_until[$1])) || { [ -n "$3" ] && [ "$3" = "${case_endpoints[$1]}" ]; }
}

check_broken() {
  local file=$OUT/summary.json broken excused
  broken=$(number_of broken_flows <"$file")
  assign_broken
  check "every broken flow is listed and allowed" equal "$broken" "$permitted"
  # A request fails with its flow, or is refused without being run.
  excused=$((permitted + $(sum_not_opened <"$file") + \
    $(number_of requests_refused <"$file")))
  check "downloads and lookups failed: at most $excused with broken or refused flows" \
    at_most $(($(number_of downloads_failed <"$file") + $(number_of boards_failed <"$file"))) $excused
  check "reports unknown: at most $permitted with broken flows" at_most "$(number_of reports_unknown <"$file")" "$permitted"
}

prepare
start_all
must "all entry instances know each other" 10 all_known $ENTRIES
must "every program runs" 1 all_run
publish 1 $ENTRIES
publish 2 $ENTRIES
release=2
must "all entry instances serve" 15 all_serving $ENTRIES
start_callers -download-size 800000 -duration ${CALLERS_S}s
say "callers started"
sleep 5

freeze_instance
freeze_controller
kill_controller
freeze_controllers
lose_answers 1
lose_answers 6
two_operators
impair_fabric
kill_endpoint drawing-2
kill_endpoint order-2
stop_instance
platform_outage

begin_case "after the failures" -
await_callers 60
must "release $release is in force on all instances at the end" 5 all_in_force $release $ENTRIES
note_releases $ENTRIES
check_invariants $ENTRIES
check_deliveries
check_answers
check_broken
finish
