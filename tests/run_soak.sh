#!/usr/bin/env bash
# Soak: random faults against four ingress processes, checked from outside. Without arguments plays the seeds in
# tests/soak/seeds, which failed once, and two fixed ones; with `FROM TO [SECONDS]` these seeds, by hand.
# A run that fails leaves its logs in build/soak/SEED.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
ingress=${INGRESS:-$bin/peridot-ingress} # another build of it, with a sanitizer
seconds=${3:-10}
jobs=${JOBS:-3} # each runs four ingress processes and some hundred threads
if [ $# -ge 2 ]; then
	seeds=$(seq "$1" "$2")
else
	seeds="$(grep -oE '^[0-9]+' tests/soak/seeds) 5001 5002"
fi
play() {
	local folder=build/soak/$1
	rm -rf "$folder"
	mkdir -p "$folder"
	if "$bin/soak" --seed "$1" --seconds "$seconds" --ingress "$ingress" --folder "$folder" >"$folder/output" 2>&1; then
		tail -n 1 "$folder/output"
		rm -rf "$folder"
		return 0
	fi
	echo "FAILED  seed $1; logs are in $folder"
	tail -n 30 "$folder/output"
	return 1
}
export -f play
export bin ingress seconds
# xargs ends with 123 when a run fails.
tr " " "\n" <<<"$seeds" | xargs -P "$jobs" -I{} bash -c 'play {}'
