#!/usr/bin/env bash
# Shows the whole system at work on this machine: Karoo's places with 6 entries,
# 3 control replicas and 9 upstream stand-ins. Stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install.sh
scripts/build.sh

readonly folder=build/demo
readonly base_port=${DEMO_BASE_PORT:-28000}
readonly control_ports=(0 1 2)
readonly regions=(wcape gauteng ecape)
readonly services=(gradebook dispatch ledger)
readonly reads=200
rm -rf "$folder"
mkdir -p "$folder"

pids=()
stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
}
trap stop_all EXIT

fail() {
    echo "demo: $*" >&2
    exit 1
}

# Runs a command until it succeeds, for at most 20 s.
wait_for() {
    local deadline=$((SECONDS + 20))
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || fail "gave up waiting for: $*"
        sleep 0.1
    done
}

start() {
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids+=($!)
    started=$!
}

internal_address() { echo "127.0.0.1:$((base_port + $1))"; }
operator_address() { echo "127.0.0.1:$((base_port + 10 + $1))"; }
control_http() { echo "127.0.0.1:$((base_port + 20 + $1))"; }
entry_http() { echo "127.0.0.1:$((base_port + 30 + $1))"; }
entry_peer() { echo "127.0.0.1:$((base_port + 40 + $1))"; }
upstream_http() { echo "127.0.0.1:$((base_port + 50 + $1))"; }

join() {
    local IFS=,
    echo "$*"
}

operators=$(join $(for i in "${control_ports[@]}"; do operator_address "$i"; done))
controls=$(join $(for i in "${control_ports[@]}"; do internal_address "$i"; done))
peers=$(join $(for i in 0 1 2 3 4 5; do entry_peer "$i"; done))
entries=$(join $(for i in 0 1 2 3 4 5; do entry_http "$i"; done))
members=$(join $(for i in "${control_ports[@]}"; do
    echo "control-$((i + 1))@$(internal_address "$i")"
done))

ctl() { build/verbenactl --control "$operators" "$@"; }

echo "1. Three control replicas, one in each region."
for i in "${control_ports[@]}"; do
    cat >"$folder/control-$i.ini" <<INI
[control]
name = control-$((i + 1))
region = ${regions[$i]}
zone = ${regions[$i]}-a
data_folder = $folder/control-$i.data
listen = $(internal_address "$i")
operator = $(operator_address "$i")
http = $(control_http "$i")

[replicas]
members = $members
INI
    build/verbenacove-control --config "$folder/control-$i.ini" --initialize \
        >/dev/null
    start "control-$i" build/verbenacove-control \
        --config "$folder/control-$i.ini"
done

echo "2. Six entries, one in each availability zone."
entry_pids=()
for i in 0 1 2 3 4 5; do
    region=${regions[$((i / 2))]}
    zone=$region-$([ $((i % 2)) = 0 ] && echo a || echo b)
    cat >"$folder/entry-$i.ini" <<INI
[entry]
name = entry-$((i + 1))
region = $region
zone = $zone
http = $(entry_http "$i")
peer = $(entry_peer "$i")

[control]
addresses = $controls

[peers]
addresses = $peers
INI
    start "entry-$i" build/verbenacove-entry --config "$folder/entry-$i.ini"
    entry_pids+=("$started")
done
for i in 0 1 2 3 4 5; do
    wait_for curl -sf "http://$(entry_http "$i")/readyz"
done

echo "3. Three services, committed by a majority of the replicas."
create_service() {
    echo "{\"name\": \"$1\", \"class\": \"$2\", \"timeout_ms\": $3,
           \"max_body_bytes\": 65536}" |
        ctl create service "$1" --file - >/dev/null 2>&1 ||
        fail "cannot create service $1"
}
create_service gradebook interactive 3000
create_service dispatch non-idempotent 5000
create_service ledger batch 30000

echo "4. Nine upstreams announce themselves, three for each service."
for i in 0 1 2 3 4 5 6 7 8; do
    service=${services[$((i % 3))]}
    region=${regions[$((i / 3))]}
    start "upstream-$i" build/tests/upstream_stand_in \
        --id "$service-$((i / 3 + 1))" --service "$service" \
        --region "$region" --zone "$region-a" \
        --listen "$(upstream_http "$i")" \
        --announce-address "$(upstream_http "$i")" \
        --entries "$entries" --run-log "$folder/upstream-$i.runs"
done

call() {
    curl -s -o "$folder/answer" -D "$folder/headers" -w '%{http_code}' "$@"
}
header() {
    sed -n "s/^$1: *//Ip" "$folder/headers" | tr -d '\r'
}
lookup() {
    curl -sf "http://$(entry_http 0)/v1/lookup?service=$1&region=wcape"
}
answers_all() {
    for i in 0 1 2 3 4 5; do
        [ "$(call "http://$(entry_http "$i")/v1/call/$1/ready")" = 200 ] ||
            return 1
    done
}
wait_for answers_all gradebook
wait_for answers_all ledger

echo "5. A look-up for gradebook, by a caller in wcape:"
lookup gradebook | sed 's/^/   /'
echo

answered=0
asked=0
count_call() {
    asked=$((asked + 1))
    local status
    status=$(call "$@")
    if [ "$status" = 200 ] && [ "$(header Run-Verdict)" = ran ]; then
        answered=$((answered + 1))
    else
        echo "   not answered: $status $(cat "$folder/answer")"
    fi
}

echo "6. Grade queries, while one upstream is drained by its operator."
for n in $(seq "$reads"); do
    if [ "$n" = 50 ]; then
        ctl drain upstream gradebook-1 >/dev/null 2>&1 ||
            fail "cannot drain gradebook-1"
    fi
    count_call "http://$(entry_http $((n % 6)))/v1/call/gradebook/lots/$n"
done
runs_before=$(wc -l <"$folder/upstream-0.runs")
echo "   gradebook-1 ran $runs_before of the requests, until its drain."

ctl status | sed "s/^/   /"

echo "7. A bale is released, and the same release is sent again elsewhere."
release=(-X POST -H 'Idempotency-Key: bale-77' -d '{"bale": 77}')
count_call "${release[@]}" \
    "http://$(entry_http 0)/v1/call/dispatch/bales/77/release"
cp "$folder/answer" "$folder/first-answer"
count_call "${release[@]}" \
    "http://$(entry_http 3)/v1/call/dispatch/bales/77/release"
replayed=$(header Run-Replayed)
cmp -s "$folder/first-answer" "$folder/answer" ||
    fail "the second answer differs"
released=$(cat "$folder"/upstream-*.runs | grep -c bale-77 || true)
echo "   runs on upstreams: $released; second answer replayed: $replayed"

echo "8. An entry stops while queries go on at the others."
kill -TERM "${entry_pids[5]}"
for n in $(seq 50); do
    count_call "http://$(entry_http $((n % 5)))/v1/call/gradebook/lots/$n"
done
wait "${entry_pids[5]}" || fail "the entry did not stop gracefully"

echo "demo: $answered of $asked requests answered, bale 77 released" \
    "$released time(s), entry-6 stopped with exit code 0"
[ "$answered" = "$asked" ] && [ "$released" = 1 ] && [ "$replayed" = true ]
