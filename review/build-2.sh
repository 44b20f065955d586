#!/bin/sh
# Builds the stand-ins of the cases from review/6 on into target/review-2. They need only gcc and the
# C library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for scenario in review/lab-2/case-*.c; do
	[ -e "$scenario" ] || continue
	gcc -D_GNU_SOURCE -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation -pthread review/lab-2/lab.c "$scenario" \
		-o "target/review-2/$(basename "$scenario" .c)"
done
