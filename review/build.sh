#!/bin/sh
# Builds the stand-ins of the cases, each with its scenario, into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in */case.c; do
	[ -e "$source" ] || continue
	gcc -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -Werror -pthread -Istandins \
		"$source" standins/lab.c -ljansson -o "build/case-$(dirname "$source")"
done
