#!/usr/bin/env bash
# Tests the stand-ins over their sockets. Guards against wrong statuses and headers in the protocols of the
# platform and of the upstreams, and against control commands that don't cause the fault they are meant to
# inject. All processes are ended when the script exits.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
work=$(mktemp -d)
pids=()
failed=0
passed=0

finish() {
	local pid
	for pid in ${pids[@]+"${pids[@]}"}; do
		kill "$pid" 2>/dev/null
	done
	wait
	rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...: starts a program, waits until it listens, and stores its IP:PORT in the
# variable NAME and its process id in pid_NAME.
start() {
	local name=$1 program=$2 line
	shift 2
	mkfifo "$work/$name"
	"$bin/$program" --listen 127.0.0.1:0 --max-seconds 100 "$@" >"$work/$name" 2>>"$work/$name.log" &
	pids+=($!)
	printf -v "pid_$name" %s $!
	read -r -t 10 line <"$work/$name" || { echo "FAILED  $program didn't start"; cat "$work/$name.log"; exit 1; }
	printf -v "$name" %s "${line#listening }"
}

# check WHAT EXPECTED ACTUAL: counts a passed or failed check; prints both values if they differ.
check() {
	if [ "$2" == "$3" ]; then
		passed=$((passed + 1))
		return
	fi
	failed=$((failed + 1))
	printf 'FAILED  %s\n  expected: %s\n  actual:   %s\n' "$1" "$2" "$3"
}

control() { curl -sS -m 5 --data-binary "$2" "http://$1/control"; }
get() { curl -s -m 5 "http://$1"; }
status() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@"; }
# field NAME: prints the value of a number or string in the JSON on standard input.
field() { sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"; }

# run ADDRESS ID SNAPSHOT BODY [HEADER...]: sends a /run request; prints the status, the headers of the
# protocol and the body of the response.
run() {
	local address=$1 id=$2 snapshot=$3 body=$4 args=()
	shift 4
	for header in "$@"; do
		args+=(-H "$header")
	done
	curl -s -i -m 20 -H "Request-Id: $id" -H 'Service: s1' -H "Snapshot: $snapshot" ${args[@]+"${args[@]}"} \
		--data-binary "$body" "http://$address/run" | tr -d '\r' |
		sed -n '1s/HTTP.* \([0-9]*\) .*/\1/p; /^\(Request-Id\|Service\|Snapshot\|Snapshots\|Covers\|Not-Run\): /p; /^[[{d]/p' |
		paste -sd' '
}

# await ADDRESS NAME VALUE: waits until a counter of /stats has the value; fails a check after 1000 attempts.
await() {
	local i
	for ((i = 0; i < 1000; i++)); do
		[ "$(get "$1/stats" | field "$2")" == "$3" ] && return
		sleep 0.01
	done
	check "$2 of $1 becomes $3" "$3" "$(get "$1/stats" | field "$2")"
}

# await_ok URL: waits until the URL responds with status 200; fails a check after 1000 attempts.
await_ok() {
	local i
	for ((i = 0; i < 1000; i++)); do
		[ "$(status "http://$1")" == 200 ] && return
		sleep 0.01
	done
	check "$1 responds with 200" 200 "$(status "http://$1")"
}

test_options() {
	local program
	for program in platform upstream balancer relay; do
		check "--version of standin-$program" "standin-$program 0.1.0" "$("$bin/standin-$program" --version)"
		"$bin/standin-$program" --no-such-option >/dev/null 2>&1
		check "unknown option of standin-$program" 2 $?
	done
}

test_platform() {
	local key
	start platform standin-platform --list-lag-ms 0
	key="http://$platform/objects/config/log/00000001"
	check "create" '{"version":1}' "$(curl -s -X PUT --data '{"a":1}' "$key?if_version=0")"
	check "create twice" 409 "$(status -X PUT --data '{"a":2}' "$key?if_version=0")"
	check "get" '{"key":"config/log/00000001","version":1,"value":{"a":1}}' "$(curl -s "$key")"
	check "invalid JSON" 400 "$(status -X PUT --data '{' "$key")"
	head -c 1048577 /dev/zero | tr '\0' 1 >"$work/large"
	check "too large" 413 "$(status -X PUT --data-binary "@$work/large" "$key")"
	check "update" '{"version":2}' "$(curl -s -X PUT --data '[2]' "$key?if_version=1")"
	check "watch" '{"revision":2,"events":[{"key":"config/log/00000001","version":2,"value":[2]}]}' \
		"$(get "$platform/watch?prefix=config/&after=1&wait_ms=0")"
	curl -s -m 10 "http://$platform/watch?prefix=x/&after=2&wait_ms=9000" >"$work/watch" &
	pids+=($!)
	local watch=$!
	await "$platform" watches 2
	curl -s -o /dev/null -X PUT --data 1 "http://$platform/objects/x/1"
	wait "$watch"
	check "long poll" '{"revision":3,"events":[{"key":"x/1","version":1,"value":1}]}' "$(cat "$work/watch")"
	check "future revision" 410 "$(status "http://$platform/watch?after=99")"
	check "delete" 200 "$(status -X DELETE "http://$platform/objects/x/1?if_version=1")"
	check "deleted" '{"revision":4,"events":[{"key":"x/1","version":2,"deleted":true}]}' \
		"$(get "$platform/watch?prefix=&after=3")"
	check "list" '{"revision":4,"objects":[{"key":"config/log/00000001","version":2,"value":[2]}]}' \
		"$(get "$platform/objects?prefix=")"
}

test_platform_faults() {
	local key="http://$platform/objects/lost"
	control "$platform" 'lose_answers 1' >/dev/null
	check "dropped response" 000 "$(status -X PUT --data 1 "$key")"
	check "write with a dropped response took effect" '{"key":"lost","version":1,"value":1}' "$(curl -s "$key")"
	curl -s -m 10 -w '%{http_code}' "http://$platform/watch?prefix=x/&after=5&wait_ms=9000" >"$work/watch" &
	pids+=($!)
	local watch=$! watches
	watches=$(get "$platform/stats" | field watches)
	await "$platform" watches 5
	control "$platform" 'outage on' >/dev/null
	wait "$watch"
	check "outage ends a watch" $'outage\n503' "$(cat "$work/watch")"
	check "outage" 503 "$(status "$key")"
	control "$platform" $'outage off\nhang on' >/dev/null
	check "hang" 000 "$(curl -s -m 0.3 -o /dev/null -w '%{http_code}' "$key")"
	control "$platform" 'hang off' >/dev/null
	check "after the hang" 200 "$(status "$key")"
	check "malformed control command" 'line 2: unknown command or malformed argument' \
		"$(control "$platform" $'delay_ms 0\ninstance e1 nobody 127.0.0.1:1 live')"
}

test_upstream() {
	start one standin-upstream --name u1 --service s1 --versions 41,42 --shards 4 --shard 1 --slots 1 --queue 1 \
		--service-ms 1
	check "run" '200 Request-Id: r1 Service: s1 Snapshot: 42 Covers: 243-485 [{"buckets":"243-485","snapshot":42,"upstream":"u1"}]' \
		"$(run "$one" r1 42 x)"
	check "text response" '200 Request-Id: r2 Service: s1 Snapshot: 0 done u1 r2' "$(run "$one" r2 0 x)"
	check "snapshot that is not held" '409 Request-Id: r3 Service: s1 Snapshot: 43 Snapshots: 41,42' "$(run "$one" r3 43 x)"
	control "$one" $'load 43\ndrop 41' >/dev/null
	check "versions" '409 Request-Id: r4 Service: s1 Snapshot: 41 Snapshots: 42,43' "$(run "$one" r4 41 x)"
	check "deadline" '504 Request-Id: r5 Service: s1 Snapshot: 42 Not-Run: deadline' \
		"$(run "$one" r5 42 x 'Deadline-Ms: 0')"
	check "past deadline" '504 Request-Id: r6 Service: s1 Snapshot: 42 Not-Run: deadline' \
		"$(run "$one" r6 42 x 'Deadline-At: 1000')"
	check "record" '"request_id":"r1","snapshot":42,"covers":"243-485","status":200,"begun":true,"finished":true' \
		"$(get "$one/record" | sed -n '1s/.*\("request_id.*\),"arrived.*/\1/p')"
	control "$one" 'truncate 1' >/dev/null
	curl -s -m 5 -o /dev/null -H 'Request-Id: r7' -H 'Service: s1' -H 'Snapshot: 42' --data x "http://$one/run"
	check "truncated body" 18 $?
	control "$one" 'lie warm' >/dev/null
	control "$one" 'cold' >/dev/null
	check "lie: reports warm while cold" warm "$(get "$one/load" | field state)"
	control "$one" 'lie off' >/dev/null
	check "cold" cold "$(get "$one/load" | field state)"
	control "$one" $'cross on\nwarm' >/dev/null
	check "responses with the id of another request" 2 "$(for i in {1..40}; do run "$one" "c$i" 42 x | grep -v "Request-Id: c$i "; done | wc -l)"
}

test_upstream_queue() {
	start slow standin-upstream --name u1 --service s1 --slots 1 --queue 1 --service-ms 60000
	run "$slow" a 1 x >"$work/a" &
	local first=$!
	await "$slow" begun 1
	run "$slow" b 1 x >"$work/b" &
	local second=$!
	await "$slow" requests 2
	check "shed" '503 Request-Id: c Service: s1 Snapshot: 1 Not-Run: shed' "$(run "$slow" c 1 x)"
	check "cancel" '{"cancelled":1}' "$(curl -s -X POST -H 'Request-Id: b' "http://$slow/cancel")"
	wait "$second"
	check "cancelled in the queue" '410 Request-Id: b Service: s1 Snapshot: 1 Not-Run: cancelled' "$(cat "$work/b")"
	curl -s -o /dev/null -X POST -H 'Request-Id: a' "http://$slow/cancel"
	wait "$first"
	check "cancelled while it ran" '410 Request-Id: a Service: s1 Snapshot: 1' "$(cat "$work/a")"
	control "$slow" 'drain refuse' >/dev/null
	check "draining" '503 Request-Id: d Service: s1 Snapshot: 1 Not-Run: draining' "$(run "$slow" d 1 x)"
	check "health" 503 "$(status "http://$slow/health")"
	check "new work counted" 1 "$(get "$slow/stats" | field new_work_after_drain)"
	check "cancelled counted" 2 "$(get "$slow/stats" | field cancelled)"
}

test_upstream_crash() {
	start cold standin-upstream --name u1 --service s1 --start-cold --cold-ms 60000 --cold-factor 1 \
		--fall-over-ms 50 --down-ms 100 --service-ms 60000
	run "$cold" a 1 x >"$work/a" &
	local first=$!
	await "$cold" begun 1
	check "one request is no overload" 0 "$(get "$cold/stats" | field cold_overloads)"
	check "overload closes the connection" '' "$(run "$cold" b 1 x)"
	wait "$first"
	check "crash closes the other connection" '' "$(cat "$work/a")"
	await_ok "$cold/stats"
	check "overloads" 1 "$(get "$cold/stats" | field cold_overloads)"
	check "crashes" 1 "$(get "$cold/stats" | field crashes)"
	check "cold after a crash" cold "$(get "$cold/load" | field state)"
	control "$cold" 'crash_text poison pill' >/dev/null
	check "crash text" '' "$(run "$cold" p 1 'a poison pill inside')"
	await_ok "$cold/stats"
	check "crashes by text" 2 "$(get "$cold/stats" | field crashes)"
	start gone standin-upstream --crash-exit
	control "$gone" crash >/dev/null
	wait "$pid_gone"
	check "crash-exit" 1 $?
}

# begin_two ADDRESS BEGUN: starts two requests on an upstream that has started BEGUN requests so far, and
# cancels them; prints the counters of overloads and the overloads in the records.
begin_two() {
	local address=$1 begun=$2 id runs=()
	for id in a b; do
		run "$address" "$id" 1 x >/dev/null &
		runs+=($!)
		await "$address" begun $((begun += 1))
	done
	for id in a b; do
		curl -s -o /dev/null -X POST -H "Request-Id: $id" "http://$address/cancel"
	done
	wait "${runs[@]}"
	echo "$(get "$address/stats" | field cold_overloads) $(get "$address/stats" | field unannounced_overloads)" \
		"$(get "$address/record" | field overload | sort | paste -sd' ')"
}

# Guards against overloads that are counted as unannounced although the sender could know of the cold
# start, and against overloads that are counted although it could not.
test_upstream_overload_counts() {
	local cold=(standin-upstream --name u1 --service s1 --cold-ms 60000 --fall-over-ms 60000)
	start unknown "${cold[@]}" --service-ms 60000
	control "$unknown" cold >/dev/null
	check "overload before a client can know of the cold start" '0 1 none unannounced' "$(begin_two "$unknown" 0)"
	start replied "${cold[@]}" --service-ms 60000
	control "$replied" cold >/dev/null
	run "$replied" first 1 x 'Deadline-Ms: 20' >/dev/null
	check "overload after a response" '1 0 counted none none' "$(begin_two "$replied" 1)"
	start waited "${cold[@]}" --service-ms 10 --cold-factor 6000
	control "$waited" cold >/dev/null
	sleep 0.12
	check "overload after responses have been missing" '1 0 counted none' "$(begin_two "$waited" 0)"
	start restarted "${cold[@]}" --service-ms 60000 --down-ms 1
	control "$restarted" crash >/dev/null
	await "$restarted" crashes 1
	await_ok "$restarted/health"
	check "overload after a crash" '1 0 counted none' "$(begin_two "$restarted" 0)"
}

# Guards against requests that keep running after the deadline in their headers.
test_upstream_deadline() {
	start late standin-upstream --name u1 --service s1 --service-ms 60000
	check "deadline of a running request" '504 Request-Id: a Service: s1 Snapshot: 1' \
		"$(run "$late" a 1 x 'Deadline-Ms: 50')"
	check "absolute deadline of a running request" '504 Request-Id: b Service: s1 Snapshot: 1' \
		"$(run "$late" b 1 x "Deadline-At: $(($(date +%s%3N) + 300))")"
	check "both requests started" 2 "$(get "$late/stats" | field begun)"
}

# ask FD: sends GET /health on an open connection; prints the status line received within 0.5 s, if any.
ask() {
	local line=
	printf 'GET /health HTTP/1.1\r\nHost: x\r\n\r\n' >&"$1"
	read -r -t 0.5 line <&"$1"
	line=${line%$'\r'}
	# Read the rest of the response, so that it is not mistaken for the next one.
	[ -n "$line" ] && while read -r -t 0.2 _ <&"$1"; do :; done
	echo "$line"
}

test_upstream_connections() {
	start few standin-upstream --connections 2
	exec {fd}<>"/dev/tcp/${few/:/\/}"
	check "open connection" 'HTTP/1.1 200 OK' "$(ask "$fd")"
	control "$few" 'silent on' >/dev/null
	check "silent connection" '' "$(ask "$fd")"
	check "new connection" 200 "$(status "http://$few/health")"
	await "$few" connections 1
	exec {other}<>"/dev/tcp/${few/:/\/}"
	await "$few" connections 2
	check "connection over the limit" 000 "$(status "http://$few/health")"
	check "limit" 2 "$(get "$few/stats" | field max_connections)"
	exec {fd}>&- {other}>&-
}

test_balancer() {
	start e1 standin-upstream --name e1
	start e2 standin-upstream --name e2
	start balancer standin-balancer --platform "$platform"
	check "no instances" 000 "$(status "http://$balancer/health")"
	control "$platform" "instance e1 entry $e1 live
instance e2 entry $e2 live
instance u9 upstream 127.0.0.1:9 live" >/dev/null
	check "instances" "{\"instances\":[{\"name\":\"e1\",\"role\":\"entry\",\"address\":\"$e1\",\"state\":\"live\"},{\"name\":\"e2\",\"role\":\"entry\",\"address\":\"$e2\",\"state\":\"live\"},{\"name\":\"u9\",\"role\":\"upstream\",\"address\":\"127.0.0.1:9\",\"state\":\"live\"}]}" "$(get "$platform/instances")"
	await_ok "$balancer/health"
	local i names
	# The balancer may find the second instance ready one readiness check later.
	for ((i = 0; i < 100; i++)); do
		names=$(for _ in 1 2; do run "$balancer" x 0 x 'Service: any' | grep -o 'done e[12]'; done | sort | paste -sd' ')
		[ "$names" == 'done e1 done e2' ] && break
		sleep 0.05
	done
	check "round robin" 'done e1 done e2' "$names"
	kill "$pid_e1"
	wait "$pid_e1"
	check "exit status after SIGTERM" 0 $?
	check "stopped instance is skipped" 'done e2 done e2' \
		"$(for _ in 1 2; do run "$balancer" x 0 x | grep -o 'done e[12]'; done | paste -sd' ')"
}

test_relay() {
	local route started ended
	check "--control takes precedence over --listen" "127.0.0.2" \
		"$("$bin/standin-relay" --control 127.0.0.2:0 --listen 127.0.0.1:0 --max-seconds 0 2>/dev/null |
			sed 's/listening \(.*\):.*/\1/')"
	start relay standin-relay --route "a-b,127.0.0.1:0,$e2" --delay-us 20000
	route=$(get "$relay/stats" | field listen)
	started=$(date +%s%N)
	check "relayed" 200 "$(status "http://$route/health")"
	ended=$(date +%s%N)
	check "delayed both ways" 1 $(((ended - started) / 1000 >= 40000))
	head -c 1000000 /dev/zero | tr '\0' x >"$work/body"
	check "large body" 200 "$(status -H 'Request-Id: l' -H 'Service: s' -H 'Snapshot: 0' -H 'Expect:' \
		--data-binary "@$work/body" "http://$route/run")"
	control "$relay" $'delay_us a-* 0' >/dev/null
	exec {fd}<>"/dev/tcp/${route/:/\/}"
	check "open connection" 'HTTP/1.1 200 OK' "$(ask "$fd")"
	control "$relay" 'silent a-b' >/dev/null
	check "silent connection" '' "$(ask "$fd")"
	check "new connection" 200 "$(status "http://$route/health")"
	control "$relay" 'cut *-b' >/dev/null
	curl -s -m 0.3 "http://$route/health"
	check "cut route sends no response" 28 $?
	control "$relay" 'heal a-b' >/dev/null
	check "healed" 200 "$(status "http://$route/health")"
	check "connection stays silent after heal" '' "$(ask "$fd")"
	control "$relay" 'refuse a-b' >/dev/null
	check "refused" 000 "$(status "http://$route/health")"
	IFS= read -r -t 5 -N 1 _ <&"$fd"
	check "refuse closes open connections" 1 $?
	check "no such route" 'line 1: unknown command or malformed argument' "$(control "$relay" 'cut z')"
	exec {fd}>&-
}

test_options
test_platform
test_platform_faults
test_upstream
test_upstream_queue
test_upstream_crash
test_upstream_overload_counts
test_upstream_deadline
test_upstream_connections
test_balancer
test_relay
echo "$passed checks passed, $failed failed"
[ "$failed" -eq 0 ]
