#!/usr/bin/env bash
# Runs a small deployment with all its processes. Guards against answers that mix snapshots, state a wrong coverage or
# belong to another request, against requests with an id that are executed twice, and against requests that are refused
# although they were executed. Latencies and shares depend on the machine and aren't checked here.
set -eu
cd "$(dirname "$0")/.." || exit 1
build/release/peridot-load --folder build/smoke experiments/smoke.toml
