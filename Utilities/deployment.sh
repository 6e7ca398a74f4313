# shellcheck shell=bash
# shellcheck disable=SC2034,SC2154  # variables are shared with the script that sources this file
# Functions that start and end a small deployment on loopback addresses; sourced by demo.sh.
# The caller sets: work (a folder for logs), build (the build folder), zones, groups, groupModels and service.
# Availability zone i uses the addresses 127.10.i.x.

program="$build/Source/damaskgrade"
standIns="$build/StandIns/damaskgrade-standins"
platform=127.10.0.1:7000
callerPort=8000
linkPort=8001
httpPort=8002
enginePort=8003

# A new key for each run, which the processes read from their environment.
DAMASKGRADE_LINK_KEYS="run:$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')"
export DAMASKGRADE_LINK_KEYS

declare -A processIds=()
declare -a engineNames=()
declare -A engineAddress=()

# Starts a process that logs to $work/NAME.log: startProcess NAME COMMAND...
startProcess() {
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  processIds[$name]=$!
}

# Sends a signal to a started process: signalProcess NAME SIGNAL
signalProcess() {
  kill "-$2" "${processIds[$1]}" 2>/dev/null || true
}

# Kills all started processes, also stopped ones, and waits for them.
killAllProcesses() {
  local name
  for name in "${!processIds[@]}"; do
    kill -CONT "${processIds[$name]}" 2>/dev/null || true
    kill -KILL "${processIds[$name]}" 2>/dev/null || true
  done
  wait >/dev/null 2>&1 || true
}

# Waits until a command succeeds, and fails after the timeout: waitFor SECONDS COMMAND...
waitFor() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      return 1
    fi
    sleep 0.1
  done
}

# Checks whether a process responds to HTTP requests: isHealthy ADDRESS
isHealthy() {
  curl -s -f -m 2 "http://$1/healthz"
}

# Checks whether an entry admits calls: isReady ADDRESS
isReady() {
  curl -s -f -m 2 "http://$1/readyz"
}

# Adds an instance to the instance list: registerInstance NAME ROLE ZONE LINK SERVES CALLERS
registerInstance() {
  local name="$1" role="$2" zone="$3" link="$4" serves="$5" callers="$6"
  local body="{\"name\":\"$name\",\"role\":\"$role\",\"state\":\"live\",\"availabilityZone\":\"$zone\",\"serves\":\"$serves\",\"link\":\"$link\""
  if [ -n "$callers" ]; then
    body="$body,\"callers\":\"$callers\""
  fi
  curl -s -f -X PUT "http://$platform/v1/instances/$name" -d "$body}" >/dev/null
}

startPlatform() {
  startProcess platform "$standIns" platform --listen "$platform" --list-lag-ms 500 \
    --table-writes-per-second 400 --table-reads-per-second 2000
  waitFor 10 isHealthy "$platform"
}

# Starts a model engine and its agent: startModelEngine NUMBER ZONE-INDEX GROUP-INDEX BARRIER MEMBERS
# The first engine of a group hosts its barrier.
startModelEngine() {
  local name="model-$1" zone="$2" group="${groups[$3]}" served="${groupModels[$3]}" barrier="$4" members="$5"
  local address="127.10.$zone.$((100 + $1))"
  local -a memberNames=()
  IFS=, read -ra memberNames <<<"$members"
  local -a options=(--listen "$address:$enginePort" --name "$name" --model "$served" --group "$group"
    --ranks 2 --capacity 8 --step-ms 10 --prefill-tokens-per-ms 10 --weight-store "$platform" --group-engines "${#memberNames[@]}" --barrier "$barrier" --wait-for-map)
  startProcess "engine-$name" "$standIns" model-engine "${options[@]}"
  startProcess "agent-$name" "$program" agent --name "$name" --availability-zone "${zones[$zone]}" \
    --link "$address:$linkPort" --http "$address:$httpPort" --engine "$address:$enginePort" \
    --engine-kind model --serves "$served" --group "$group" --group-members "$members" --ranks 2 --platform "$platform"
  engineNames+=("$name")
  engineAddress[$name]="$address:$enginePort"
  registerInstance "$name" backendServer "${zones[$zone]}" "$address:$linkPort" "$served" ""
}

# Starts an application engine and its agent: startApplicationEngine NAME ZONE-INDEX HOST
startApplicationEngine() {
  local name="$1" zone="$2" host="$3"
  local address="127.10.$zone.$host"
  startProcess "engine-$name" "$standIns" application-engine --listen "$address:$enginePort" --name "$name" \
    --service "$service" --service-ms 5
  startProcess "agent-$name" "$program" agent --name "$name" --availability-zone "${zones[$zone]}" \
    --link "$address:$linkPort" --http "$address:$httpPort" --engine "$address:$enginePort" \
    --engine-kind application --serves "$service" --platform "$platform"
  engineAddress[$name]="$address:$enginePort"
  registerInstance "$name" backendServer "${zones[$zone]}" "$address:$linkPort" "$service" ""
}

# Starts an entry: startEntry NAME ZONE-INDEX HOST
startEntry() {
  local name="$1" zone="$2" host="$3"
  local address="127.10.$zone.$host"
  startProcess "$name" "$program" entry --name "$name" --availability-zone "${zones[$zone]}" \
    --callers "$address:$callerPort" --link "$address:$linkPort" --platform "$platform" \
    --slots entry-1,entry-2,entry-3,entry-4 --initial-document "$work/document.toml"
  entryAddress[$name]="$address:$callerPort"
  registerInstance "$name" entry "${zones[$zone]}" "$address:$linkPort" "" "$address:$callerPort"
}

# Starts the platform, 16 model engines that are distributed over the groups, with each group in one availability
# zone, 3 application engines and 4 entries, and waits until the entries are ready.
startDeployment() {
  local i group zone barrier count="${#groups[@]}"
  local -A barriers=() members=()
  startPlatform
  for i in $(seq 1 16); do
    group=$(((i - 1) % count))
    members[$group]="${members[$group]:+${members[$group]},}model-$i"
  done
  for i in $(seq 1 16); do
    group=$(((i - 1) % count))
    zone=$((group % 3 + 1))
    barrier="${barriers[$group]:-}"
    barriers[$group]="${barrier:-127.10.$zone.$((100 + i)):$enginePort}"
    startModelEngine "$i" "$zone" "$group" "${barriers[$group]}" "${members[$group]}"
  done
  for i in 1 2 3; do
    startApplicationEngine "application-$i" "$i" 50
  done
  for i in 1 2 3 4; do
    startEntry "entry-$i" "$(((i - 1) % 3 + 1))" "$((10 + i))"
  done
  for i in 1 2 3 4; do
    waitFor 30 isReady "${entryAddress[entry-$i]}"
  done
}

declare -A entryAddress=()
