#!/usr/bin/env bash
# Guards against a new way to an upstream that doesn't ask for a permit: the functions that send something to an
# upstream may only be called from the places that tests/test_permit.c covers.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0

# only_in FUNCTION FILE...: FUNCTION is called in no other file of ingress/ and platform/ than FILE.
only_in() {
	local name=$1 found
	shift
	found=$(grep -lE "\b$name\(" ingress/*.c platform/*.c | sort | tr '\n' ' ')
	if [ "$found" = "$* " ]; then
		echo "ok      $name"
	else
		echo "FAILED  $name is called in $found; expected: $*"
		failed=1
	fi
}

only_in pd_registry_pick ingress/evidence.c ingress/fanout.c
only_in pd_exchange_start ingress/exchange.c ingress/fanout.c
only_in pd_pool_connect ingress/exchange.c ingress/pool.c
only_in pd_pool_get_idle ingress/exchange.c ingress/pool.c
only_in pd_registry_probe_target ingress/evidence.c ingress/ingress.c
# The reporter of crashes opens a connection to an upstream whose connection broke and closes it again; it sends nothing.
only_in pd_os_connect ingress/ingress.c ingress/membership.c ingress/reporter.c platform/store_client.c
only_in connect ingress/pool.c
[ "$failed" -eq 0 ]
