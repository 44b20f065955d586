#!/usr/bin/env bash
# Tests peridotctl from the command line, against a stand-in of the platform. Guards against results that don't state
# whether a change took effect, wrong exit statuses, lost or duplicate changes when operators race, and wrong results
# after lost responses and during outages of the platform. Every process ends with this script.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
work=$(mktemp -d)
failed=0
passed=0
platform_pid=

finish() {
	[ -n "$platform_pid" ] && kill "$platform_pid" 2>/dev/null
	wait
	rm -rf "$work"
}
trap finish EXIT

mkfifo "$work/platform"
"$bin/standin-platform" --listen 127.0.0.1:0 --max-seconds 100 >"$work/platform" 2>"$work/platform.log" &
platform_pid=$!
read -r -t 10 line <"$work/platform" || { echo "FAILED  standin-platform didn't start"; exit 1; }
platform=${line#listening }

# check NAME EXPECTED: compares EXPECTED with $output.
check() {
	if [ "$output" == "$2" ]; then
		passed=$((passed + 1))
		return
	fi
	failed=$((failed + 1))
	printf 'FAILED  %s\n--- expected\n%s\n--- actual\n%s\n' "$1" "$2" "$output"
}

# ctl ARGUMENT...: stores standard output, standard error and the exit status in $output.
ctl() {
	output=$("$bin/peridotctl" --platform "$platform" --operator anna "$@" 2>&1; echo "exit $?")
}

control() { curl -sS -m 5 --data-binary "$1" "http://$platform/control" >/dev/null; }

ctl create zone boston
check "a change reports its version" "applied as version 1
exit 0"
ctl 'create zone boston'
check "creating an existing object is a conflict" 'not applied: conflict: zone "boston" exists already
exit 1'
ctl set zone portland out
check "an unknown name is reported" 'not applied: zone "portland" does not exist
exit 1'
ctl create zone
check "a syntax error names the column" "column 12: end of line: expected the name of a zone (1 to 63 letters, digits, '.', '_' or '-')
exit 1"

cat >"$work/commands" <<'END'
# The catalogue of one zone
create collection catalogue buckets 1000
create service catalogue-1 in catalogue
create upstream cat-1-a service catalogue-1 zone boston address 10.0.0.1:80 slots 3 connections 60 connect 6ms

create upstream cat-1-a service catalogue-1 zone boston address 10.0.0.1:80 slots 3 connections 60 connect 6ms
create kind lookup urgency urgent deadline 0.2s
set kind lookup
set upstream cat-1-a out
END
ctl -f "$work/commands"
check "a file is processed after an error, which names its line" 'applied as version 2
applied as version 3
applied as version 4
line 6: not applied: conflict: upstream "cat-1-a" exists already
applied as version 5
line 8: column 16: end of line: expected urgency or deadline
applied as version 6
exit 1'
ctl show config
check "show config prints all objects" '# version 6
create zone boston
create kind lookup urgency urgent deadline 200ms
create collection catalogue buckets 1000
create service catalogue-1 in catalogue
create upstream cat-1-a service catalogue-1 zone boston address 10.0.0.1:80 slots 3 connections 60 connect 6ms
set upstream cat-1-a out
exit 0'
ctl show upstreams
check "show upstreams prints a table" 'UPSTREAM  SERVICE      ZONE    ADDRESS      SLOTS  CONNECTIONS  CONNECT  STATE
cat-1-a   catalogue-1  boston  10.0.0.1:80  3      60           6ms      out
exit 0'
output=$(printf 'show zones\nshow collections\nshow services\nshow kinds\n' |
	"$bin/peridotctl" -p "$platform"; echo "exit $?")
check "commands are read from standard input" 'ZONE    STATE
boston  in
COLLECTION  BUCKETS  SERVICES
catalogue   1000     1
SERVICE      COLLECTION  UPSTREAMS
catalogue-1  catalogue   1
KIND    URGENCY  DEADLINE
lookup  urgent   200ms
exit 0'
ctl delete zone boston
check "an object that is referred to is not deleted" 'not applied: conflict: zone "boston" is still referred to by upstream "cat-1-a"
exit 1'
ctl show log
output=$(echo "$output" | sed 's/  20[-0-9T:]*Z  /  TIME  /' | tail -n 3)
check "show log prints the last entries" '5  TIME  anna  create kind lookup urgency urgent deadline 200ms
6  TIME  anna  set upstream cat-1-a out
exit 0'

control 'lose_answers 1'
ctl set zone boston out
check "the outcome is determined after a lost response" "applied as version 7
exit 0"
ctl set zone boston out
check "set is idempotent" "applied as version 8
exit 0"

control 'outage on'
ctl --deadline-ms 300 set zone boston in
check "a change is not applied during an outage" "not applied: deadline exceeded: config/snapshot: platform answered status 503
exit 1"
(sleep 0.5; control 'outage off') &
ctl --deadline-ms 20000 set zone boston in
check "a change waits for the end of an outage" "applied as version 9
exit 0"

# Each zone must be created by exactly one of the operators; the others must get a conflict.
for i in $(seq 20); do echo "create zone z$i"; done >"$work/race"
pids=()
for operator in op-1 op-2 op-3 op-4; do
	"$bin/peridotctl" -p "$platform" -o $operator -d 30000 -f "$work/race" >"$work/$operator" 2>&1 &
	pids+=($!)
done
wait "${pids[@]}"
output=$(cat "$work"/op-* | grep -c '^applied as version')
check "racing operators create each zone once" "20"
output=$(cat "$work"/op-* | grep '^applied as' | sort | uniq -d | wc -l)
check "no two changes have the same version" "0"
output=$(cat "$work"/op-* | grep -c '^line [0-9]*: not applied: conflict: .*zone "z[0-9]*" exists already$')
check "the other operators get a conflict" "60"

for i in $(seq 50); do echo "set zone z1 out"; done | "$bin/peridotctl" -p "$platform" >"$work/many"
output=$(tail -n 1 "$work/many"; curl -s -m 5 "http://$platform/objects/config/snapshot" |
	sed -n 's/.*"value":{"version":\([0-9]*\),.*/snapshot \1/p')
check "the snapshot is rewritten at the 64th entry" "applied as version 79
snapshot 64"

ctl query catalogue 'broken rib'
check "query requires an entry instance" "not run: --entry IP:PORT is required for this command
exit 1"
ctl --entry 127.0.0.1:1 run catalogue-1 'book "x"' id 1-a
check "a request over a refused connection was not run" "not run: connection refused
exit 1"
ctl --deadline-ms 0 show zones
check "options are validated" 'peridotctl: --deadline-ms "0": expected a number from 1 to 60000
exit 2'
ctl --file x show zones
check "a file and a command exclude each other" 'peridotctl: argument "show": expected either --file or a command
exit 2'

echo "$passed checks passed, $failed failed"
[ "$failed" -eq 0 ]
