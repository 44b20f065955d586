#!/usr/bin/env bash
# Soak test: runs build/release/soak, which causes random faults in eight ingress processes and checks the answers to
# callers. Without arguments, runs the seeds of tests/soak/seeds, which failed before, and two fixed ones. With
# `FROM TO [SECONDS]`, runs the seeds of that range with SECONDS of faults. Logs of a failed run stay in
# build/soak/SEED.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
ingress=${INGRESS:-$bin/peridot-ingress} # may be another build, for instance with a sanitizer
seconds=${3:-10}
SOAK_OPTIONS=${SOAK_OPTIONS:-} # "--keys" for requests with API keys that are withdrawn meanwhile
jobs=${JOBS:-3} # parallel runs; each has eight ingress processes and several hundred threads
if [ $# -ge 2 ]; then
	seeds=$(seq "$1" "$2")
else
	seeds="$(grep -oE '^[0-9]+' tests/soak/seeds) 5001 5002"
fi
run_seed() {
	local folder=build/soak/$1
	rm -rf "$folder"
	mkdir -p "$folder"
	# shellcheck disable=SC2086
	if "$bin/soak" $SOAK_OPTIONS --seed "$1" --seconds "$seconds" --ingress "$ingress" --folder "$folder" >"$folder/output" 2>&1; then
		tail -n 1 "$folder/output"
		rm -rf "$folder"
		return 0
	fi
	echo "FAILED  seed $1; logs are in $folder"
	tail -n 30 "$folder/output"
	return 1
}
export -f run_seed
export bin ingress seconds SOAK_OPTIONS
# xargs exits with status 123 if a run fails.
tr " " "\n" <<<"$seeds" | xargs -P "$jobs" -I{} bash -c 'run_seed {}'
