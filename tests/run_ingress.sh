#!/usr/bin/env bash
# Plays every script in tests/ingress against peridot-ingress and compares what it prints with the expected
# output. Each script's first line says which failure it guards against.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
passed=0
for script in ${1:-tests/ingress/*.script}; do
	name=$(basename "$script" .script)
	"$bin/standin-deployment" "$bin/peridot-ingress" "$work/$name.json" <"$script" >"$work/$name.out" 2>&1
	if diff -u "tests/ingress/$name.expected" "$work/$name.out"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAILED  $name; the end of its log:"
		tail -n 25 "$work/$name.json.log"
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
