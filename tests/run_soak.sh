#!/usr/bin/env bash
# Soak test: runs build/release/soak, which causes random faults in eight ingress processes and checks the answers to
# callers. Without arguments, runs the seeds of tests/soak/seeds, which failed before, two fixed ones, and some with
# each of the options of the soak. With `FROM TO [SECONDS]`, runs the seeds of that range with SECONDS of faults and
# SOAK_OPTIONS. Logs of a failed run stay in build/soak/SEED. Without arguments, seeds that KNOWN-RED.txt lists as
# soak-SEED are passed over.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/release}
ingress=${INGRESS:-$bin/peridot-ingress} # may be another build, for instance with a sanitizer
seconds=${3:-10}
SOAK_OPTIONS=${SOAK_OPTIONS:-} # "--keys", "--quotas" or "--rollouts", see its help
known_red=run
jobs=${JOBS:-3} # parallel runs; each has eight ingress processes and several hundred threads
# list_runs OPTIONS SEED...: prints one line for each run, without a blank at its end, which xargs would join.
list_runs() {
	local options=$1 seed
	shift
	for seed in "$@"; do
		if [ "$known_red" = pass ] && grep -qx "test: soak-$seed" KNOWN-RED.txt 2>/dev/null; then
			echo "known red, passed over: soak-$seed (see KNOWN-RED.txt)" >&2
		else
			echo "$seed${options:+ $options}"
		fi
	done
}
list_all_runs() {
	# shellcheck disable=SC2046
	list_runs "$SOAK_OPTIONS" $(grep -oE '^[0-9]+' tests/soak/seeds) 5001 5002
	list_runs --keys 5011 5012 5013
	list_runs --quotas 5021 5022 5023 5024
	list_runs --rollouts 5031 5032 5033
}
# run_seed SEED [OPTION]...
run_seed() {
	local seed=$1 folder=build/soak/$1
	shift
	rm -rf "$folder"
	mkdir -p "$folder"
	if "$bin/soak" "$@" --seed "$seed" --seconds "$seconds" --ingress "$ingress" --folder "$folder" >"$folder/output" 2>&1; then
		tail -n 1 "$folder/output"
		rm -rf "$folder"
		return 0
	fi
	echo "FAILED  seed $seed $*; logs are in $folder"
	tail -n 30 "$folder/output"
	return 1
}
export -f run_seed
export bin ingress seconds
# xargs exits with status 123 if a run fails.
if [ $# -ge 2 ]; then
	# shellcheck disable=SC2046
	list_runs "$SOAK_OPTIONS" $(seq "$1" "$2")
else
	known_red=pass
	list_all_runs
fi | xargs -P "$jobs" -L 1 bash -c 'run_seed "$@"' run_seed
