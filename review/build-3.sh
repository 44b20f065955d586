#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into build/review-3/: one program for each case with a script, from the
# case's case.c, review/lab-3.c and the project's own stand-in of the platform's store. The ingress itself is built by
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Iingress -Iplatform -Istandins -Ireview"
sources="review/lab-3.c standins/platform_store.c ingress/http.c src/os.c src/str.c src/error.c"
for case in review/1[1-5]/case.c; do
	[ -e "$case" ] || continue
	name=case-$(basename "$(dirname "$case")")
	# shellcheck disable=SC2086
	gcc $flags -pthread "$case" $sources -o "$out/$name" -Wl,--as-needed -lhttp_parser -ljansson -lxxhash -lm
done
