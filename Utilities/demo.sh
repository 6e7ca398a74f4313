#!/usr/bin/env bash
# Builds everything, starts a small deployment of separate processes on loopback addresses, sends calls, bookings
# and configuration changes to it while processes fail, and reports the result of each check.
# Usage: demo.sh [--deployment vitosha|tubolimpo] [--keep-logs]
# The deployments are the two example configurations in Examples/.
# Exits with 1 if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=vitosha
keepLogs=no
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment="${2:-}"; shift 2 ;;
    --keep-logs) keepLogs=yes; shift ;;
    *) echo "demo.sh: unknown option \"$1\"; write --deployment vitosha or --deployment tubolimpo" >&2; exit 2 ;;
  esac
done

build=build
work="$(mktemp -d)"
token=demo-token
# Index 0 is unused, so that zone i has index i.
case "$deployment" in
  vitosha)
    zones=(- bg-south-a bg-south-b bg-south-c)
    ;;
  tubolimpo)
    zones=(- sul-a sul-b sul-c)
    ;;
  *) echo "demo.sh: unknown deployment \"$deployment\"; write vitosha or tubolimpo" >&2; exit 2 ;;
esac
example="Examples/$deployment.toml"
# One line "model group" for each group of the document.
modelGroups="$(awk -F'[][.]' '/^\[models\.model\./ { model = $4 } /^groups = / { gsub(/groups = |[",\[\]]/, " "); count = split($0, names, " "); for (i = 1; i <= count; i++) print model, names[i] }' "$example")"
mapfile -t groupModels < <(cut -d' ' -f1 <<<"$modelGroups")
mapfile -t groups < <(cut -d' ' -f2 <<<"$modelGroups")
model="${groupModels[0]}"
# Uses the first service with a non-idempotent operation, and an idempotent operation of the same service.
services="$(awk -F'[][.]' '/^\[models\.service\./ { service = $4 } /^[a-z-]+ = \{ idempotent/ { split($0, words, " "); print service, words[1], words[6] }' "$example")"
read -r service booking _ < <(grep 'false' <<<"$services")
lookup="$(grep "^$service .*true" <<<"$services" | head -1 | cut -d' ' -f2)"
customer="$(sed -n 's/^\[customers\.\([^].]*\)\].*/\1/p' "$example" | head -1)"

./Utilities/build.sh >/dev/null
# shellcheck source=Utilities/deployment.sh
. ./Utilities/deployment.sh
cleanUp() {
  killAllProcesses
  if [ "$keepLogs" = yes ]; then echo "Logs are in $work"; else rm -rf "$work"; fi
}
trap cleanUp EXIT

# Replaces the tokens of all teams by the token of the demonstration.
tokenHash="$(printf %s "$token" | sha256sum | cut -d' ' -f1)"
# The minimum interval between map changes is 1 s, so that a change happens during the demonstration.
sed "s/^token_sha256 = .*/token_sha256 = [\"$tokenHash\"]/; s/^min_interval_s = .*/min_interval_s = 1/" "$example" >"$work/document.toml"

passed=0
failed=0
topicCalls=()
check() {
  local name="$1"
  shift
  if "$@"; then
    echo "  pass  $name"
    passed=$((passed + 1))
  else
    echo "  FAIL  $name"
    failed=$((failed + 1))
  fi
}

# Sends a POST request and prints the body of the response: post ENTRY PATH BODY [curl options]
post() {
  local entry="${entryAddress[$1]}" path="$2" body="$3"
  shift 3
  curl -s -N -m 60 -X POST "http://$entry$path" -H "X-Customer: $customer" -H 'Content-Type: application/json' -d "$body" "$@"
}

completionBody() {
  echo "{\"model\":\"$model\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":$3}"
}

# Prints the text of a completion from a file with a response, streamed or not.
completionText() {
  grep -o '"text":"[^"]*"' "$1" | sed 's/"text":"//; s/"$//' | tr -d '\n'
}

# Prints how often all application engines have executed a booking: executions KEY
executions() {
  local i sum=0 count
  for i in 1 2 3; do
    count="$(curl -s -m 5 "http://${engineAddress[application-$i]}/v1/executions" | grep -o "\"$booking/$1\":[0-9]*" | cut -d: -f2 || true)"
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}

configVersion() {
  "$program" config get --entry "${entryAddress[$1]}" 2>/dev/null | head -1 | tr -dc '0-9'
}

setCustomers() {
  "$program" config set --entry "${entryAddress[$1]}" --section customers --if-match "$2" --token "$token" "$3"
}

checkAddresses() {
  local addresses
  addresses="$(curl -s "http://${entryAddress[entry-1]}/v1/addresses?zone=${zones[2]}")"
  [ "$(grep -o '127\.10\.[0-9.]*:' <<<"$addresses" | wc -l)" -eq 4 ] && grep -q '"addresses":\["127.10.2.' <<<"$addresses"
}

checkStream() {
  post entry-1 /v1/completions "$(completionBody 'Quote for an obsolete chip' 30 true)" >"$work/stream"
  post entry-2 /v1/completions "$(completionBody 'Quote for an obsolete chip' 30 false)" >"$work/whole"
  grep -q 'data: \[DONE\]' "$work/stream" && [ -n "$(completionText "$work/whole")" ] && [ "$(completionText "$work/stream")" = "$(completionText "$work/whole")" ]
}

checkLookup() {
  post entry-3 "/v1/services/$service/$lookup" '{"part":"7400"}' | grep -q '"result"'
}

checkBooking() {
  post entry-1 "/v1/services/$service/$booking" '{"part":"7400"}' -H 'Idempotency-Key: first' >"$work/booking1" &
  local first=$!
  post entry-2 "/v1/services/$service/$booking" '{"part":"7400"}' -H 'Idempotency-Key: first' >"$work/booking2"
  wait "$first"
  grep -q '"booking"' "$work/booking1" && cmp -s "$work/booking1" "$work/booking2" && [ "$(executions first)" -eq 1 ]
}

checkErrors() {
  post entry-1 "/v1/services/$service/$booking" '{}' | grep -q '"code":1004' || return 1
  post entry-1 "/v1/services/$service/$booking" '{"part":"other"}' -H 'Idempotency-Key: first' | grep -q '"code":1005' || return 1
  post entry-1 /v1/completions '{' | grep -q '"code":1001' || return 1
  head -c 1500000 /dev/zero | curl -s -m 20 -X POST "http://${entryAddress[entry-1]}/v1/completions" --data-binary @- | grep -q '"code":1002' || return 1
  post entry-1 /v1/completions "$(completionBody x 5 false)" | grep -q '"choices"'
}

checkChange() {
  "$program" config get --entry "${entryAddress[entry-1]}" --section customers | tail -n +2 >"$work/customers.toml"
  sed "0,/^weight = .*/s//weight = 7.5/" "$work/customers.toml" >"$work/changed.toml"
  setCustomers entry-2 "$(configVersion entry-2)" "$work/changed.toml" >/dev/null || return 1
  local i
  for i in 1 2 3 4; do
    waitFor 7 grep -q 'weight = 7.5' <("$program" config get --entry "${entryAddress[entry-$i]}" --section customers) || return 1
  done
}

# Two operators change the same section concurrently. Exactly one of them succeeds.
checkRace() {
  local version results=0
  version="$(configVersion entry-1)"
  sed "0,/^weight = .*/s//weight = 3.5/" "$work/customers.toml" >"$work/race1.toml"
  sed "0,/^weight = .*/s//weight = 4.5/" "$work/customers.toml" >"$work/race2.toml"
  (setCustomers entry-1 "$version" "$work/race1.toml" >/dev/null 2>&1 && echo accepted >"$work/race1") &
  local first=$!
  (setCustomers entry-3 "$version" "$work/race2.toml" >/dev/null 2>&1 && echo accepted >"$work/race2") || true
  wait "$first" || true
  [ -f "$work/race1" ] && results=$((results + 1))
  [ -f "$work/race2" ] && results=$((results + 1))
  [ "$results" -eq 1 ]
}

checkBadDocument() {
  sed "0,/^weight = .*/s//weight = 0/" "$work/customers.toml" >"$work/bad.toml"
  ! setCustomers entry-1 "$(configVersion entry-1)" "$work/bad.toml" 2>"$work/bad" && grep -q 'line .*weight' "$work/bad"
}

checkEngineKill() {
  local killedEngine
  post entry-1 /v1/completions "$(completionBody 'Summarise the shortage notice' 250 true)" >"$work/killed" &
  local call=$!
  waitFor 10 grep -q '^id:' "$work/killed" || return 1
  killedEngine="$(sed -n 's/^id: [^/]*\/\([^/]*\)\/.*/\1/p' "$work/killed" | head -1)"
  signalProcess "engine-$killedEngine" KILL
  wait "$call" || true
  post entry-2 /v1/completions "$(completionBody 'Summarise the shortage notice' 250 false)" >"$work/reference"
  grep -q 'data: \[DONE\]' "$work/killed" && [ "$(completionText "$work/killed")" = "$(completionText "$work/reference")" ]
}

# The entry is killed in the middle of a stream, and the caller resumes the stream at another entry.
checkEntryKill() {
  local last
  post entry-3 /v1/completions "$(completionBody 'Brief the crew on Rua Sete' 250 true)" >"$work/part1" &
  local call=$!
  waitFor 10 grep -q '^id:' "$work/part1" || return 1
  sleep 0.3
  signalProcess entry-3 KILL
  wait "$call" || true
  # The last event may be truncated. Only complete events are used.
  awk 'BEGIN { RS = ""; ORS = "\n\n" } /\}$/' "$work/part1" >"$work/part1whole"
  last="$(sed -n 's/^id: //p' "$work/part1whole" | tail -1)"
  post entry-2 /v1/completions "$(completionBody 'Brief the crew on Rua Sete' 250 true)" -H "Last-Event-ID: $last" >"$work/part2"
  post entry-1 /v1/completions "$(completionBody 'Brief the crew on Rua Sete' 250 false)" >"$work/reference"
  grep -q 'data: \[DONE\]' "$work/part2" && [ "$(completionText "$work/part1whole")$(completionText "$work/part2")" = "$(completionText "$work/reference")" ]
}

checkShutdown() {
  post entry-4 /v1/completions "$(completionBody 'Inspection summary' 250 true)" >"$work/drained" &
  local call=$!
  waitFor 10 grep -q '^id:' "$work/drained" || return 1
  signalProcess entry-4 TERM
  sleep 0.5
  post entry-4 /v1/completions "$(completionBody x 5 false)" | grep -q '"code":2004,.*"executed":"no"' || return 1
  waitFor 5 bash -c "! curl -s http://${entryAddress[entry-1]}/v1/addresses | grep -q '${entryAddress[entry-4]}'" || return 1
  wait "$call" || true
  post entry-1 /v1/completions "$(completionBody 'Inspection summary' 250 false)" >"$work/reference"
  grep -q 'data: \[DONE\]' "$work/drained" && [ "$(completionText "$work/drained")" = "$(completionText "$work/reference")" ]
}

checkOutage() {
  curl -s -X POST "http://$platform/control" -d '{"down":true}' >/dev/null
  sleep 4
  local result=0
  post entry-1 /v1/completions "$(completionBody x 5 false)" | grep -q '"choices"' || result=1
  post entry-2 "/v1/services/$service/$lookup" '{}' | grep -q '"result"' || result=1
  post entry-1 "/v1/services/$service/$booking" '{}' -H 'Idempotency-Key: outage' | grep -q '"executed":"no"' || result=1
  ! setCustomers entry-1 "$(configVersion entry-1)" "$work/customers.toml" >/dev/null 2>&1 || result=1
  curl -s -X POST "http://$platform/control" -d '{"down":false}' >/dev/null
  [ "$(executions outage)" -eq 0 ] || result=1
  waitFor 10 bash -c "curl -s -X POST http://${entryAddress[entry-1]}/v1/services/$service/$booking -H 'X-Customer: $customer' -H 'Idempotency-Key: later' -d '{}' | grep -q booking" || result=1
  [ "$(executions later)" -eq 1 ] || result=1
  return "$result"
}

checkLoad() {
  local entries="${entryAddress[entry-1]},${entryAddress[entry-2]},${entryAddress[entry-3]},${entryAddress[entry-4]}"
  "$program" load --entries "$entries" --rate 40 --seconds 4 --model "$model" --service "$service" \
    --lookup-operation "$lookup" --booking-operation "$booking" --completions 3 --lookups 2 --bookings 1 \
    --min-tokens 10 --max-tokens 40 --customers "$customer" >"$work/load"
}

timelineShows() {
  "$program" timeline --platform "$platform" --processes "${entryAddress[entry-1]},${entryAddress[entry-2]}" >"$work/timeline"
  grep -q "$1" "$work/timeline"
}

checkTimeline() {
  waitFor 10 timelineShows 'InstanceSuspected entry-3' && timelineShows ConfigurationInForce
}

# Prints a value of the state of a group at an entry: groupValue ENTRY GROUP KEY
groupValue() {
  curl -s -m 5 "http://${entryAddress[$1]}/v1/status" | grep -o "{[^{}]*\"group\":\"$2\"[^{}]*\"holder\"[^{}]*}" | grep -o "\"$3\":[^,}]*" | cut -d: -f2 | tr -d '"'
}

# Prints the entry that reports that it holds the lease of a group: leaseHolder GROUP
leaseHolder() {
  local i
  for i in 1 2 3 4; do
    if [ "$(groupValue "entry-$i" "$1" holds_lease)" = true ]; then
      echo "entry-$i"
      return 0
    fi
  done
  return 1
}

mapChanged() {
  local holder
  holder="$(leaseHolder "${groups[0]}")" && [ "$(groupValue "$holder" "${groups[0]}" switches)" -ge 1 ]
}

# Prints one line "step version" for each step that is still recorded by an engine of a group: stepsOfGroup GROUP
stepsOfGroup() {
  local name
  for name in "${engineNames[@]}"; do
    curl -s -m 5 "http://${engineAddress[$name]}/v1/steps" | grep "\"group\":\"$1\"" |
      grep -o '"map_version":[0-9]*,"step":[0-9]*' | sed 's/"map_version":\([0-9]*\),"step":\([0-9]*\)/\2 \1/' || true
  done
}

# Sends calls about one topic after another. Each topic uses different experts, so the expert load changes.
checkMapChange() {
  local topic call mixed name
  for topic in 1 2 3 4; do
    for call in 1 2 3 4 5 6; do
      post "entry-$((call % 4 + 1))" /v1/completions "$(completionBody "Topic $topic, question $call" 100 false)" >/dev/null &
      topicCalls+=("$!")
    done
    if waitFor 2 mapChanged && [ "$topic" -ge 2 ]; then break; fi
  done
  wait "${topicCalls[@]}" || true
  waitFor 15 mapChanged || return 1
  stepsOfGroup "${groups[0]}" | sort -u >"$work/steps"
  # Two lines for the same step mean that engines used different maps in this step.
  [ "$(cut -d' ' -f1 "$work/steps" | uniq -d | wc -l)" -eq 0 ] || return 1
  [ "$(cut -d' ' -f2 "$work/steps" | sort -u | wc -l)" -ge 2 ] || return 1
  for name in "${engineNames[@]}"; do
    mixed="$(curl -s -m 5 "http://${engineAddress[$name]}/v1/steps" | grep -o '"mixed_map_steps":[0-9]*' | cut -d: -f2)"
    [ "${mixed:-0}" -eq 0 ] || return 1
  done
}

# The killed entry no longer renews its lease. The other entries see that in the row of the lease in the table.
checkTakeover() {
  local holder
  holder="$(leaseHolder "${groups[0]}")" || return 1
  signalProcess "$holder" KILL
  waitFor 20 leaseHolderIsNot "$holder" && timelineShows "LeaseAcquired ${groups[0]}"
}

leaseHolderIsNot() {
  local holder
  holder="$(leaseHolder "${groups[0]}")" && [ "$holder" != "$1" ]
}

start="$SECONDS"
echo "Deployment $deployment: 4 entries, 16 model engines, 3 application engines in ${zones[*]:1}"
startDeployment
echo "  ${#processIds[@]} processes started"
check "the address list contains all entries, nearest zone first" checkAddresses
check "a change of the expert load changes the expert map in the same step on all engines" checkMapChange
check "a streamed completion is complete and the same as one from another entry" checkStream
check "a lookup succeeds" checkLookup
check "a booking sent to two entries is executed once" checkBooking
check "malformed requests are refused with the right result codes" checkErrors
check "a small load of all kinds has no wrong response and no call without a response" checkLoad
check "a configuration change is in force on all entries" checkChange
check "if two operators change the same section concurrently, one succeeds" checkRace
check "an invalid section is refused with the line of the error" checkBadDocument
check "a stream continues after its engine is killed" checkEngineKill
check "calls succeed and bookings are refused during a platform outage" checkOutage
check "a graceful shutdown of an entry finishes its stream" checkShutdown
check "a caller resumes its stream after its entry is killed" checkEntryKill
check "the timeline shows the changes and the killed entry" checkTimeline
check "another entry takes over the expert maps after the lease holder is killed" checkTakeover
sed 's/^/    /' "$work/load"
echo "$passed passed, $failed failed in $((SECONDS - start)) s"
[ "$failed" -eq 0 ]
