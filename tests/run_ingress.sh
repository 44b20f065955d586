#!/usr/bin/env bash
# Runs every script in tests/ingress, or only the given one, against peridot-ingress and compares the output
# with the .expected file of the script. The comment at the head of a script names the failure that it guards
# against. Scripts that KNOWN-RED.txt lists as ingress-NAME are passed over.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
passed=0
for script in ${1:-tests/ingress/*.script}; do
	name=$(basename "$script" .script)
	if [ $# -eq 0 ] && grep -qx "test: ingress-$name" KNOWN-RED.txt 2>/dev/null; then
		echo "known red, passed over: ingress-$name (see KNOWN-RED.txt)"
		continue
	fi
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
