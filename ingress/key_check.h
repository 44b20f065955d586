/**
 * DOC: Whether a request may still run by its API key
 *
 * A key may be withdrawn while a request waits or the process is suspended. Each attempt of a
 * request therefore asks again, by the configuration that is in force then and by how recent it is
 * proven to be.
 */
#ifndef PD_KEY_CHECK_H
#define PD_KEY_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "str.h"

/* Subtracted from the time in which a withdrawn key must have no effect: the time that an attempt
 * takes from the last check until the upstream runs it.
 */
#define PD_KEY_CHECK_MARGIN_MS 500

/**
 * struct pd_key_check - what an attempt depends on
 * @directory: directory with the proof that the configuration is the newest one
 * @key: API key of the client
 * @account: name of the account that the key belonged to when the request arrived
 * @version: version of the configuration by which that was decided
 * @revocation_ms: time after which a withdrawn key must have no effect, in milliseconds; 0 if
 *	revocation isn't strict
 */
struct pd_key_check {
	struct pd_directory *directory;
	struct pd_str key;
	struct pd_str account;
	uint64_t version;
	uint32_t revocation_ms;
};

/* Returns the time until which the configuration counts as the newest one, by a proof at
 * @confirmed_us; 0 without a proof, INT64_MAX if revocation isn't strict. All times are in
 * microseconds of pd_os_boot_us().
 */
int64_t pd_key_confirmed_until_us(int64_t confirmed_us, uint32_t revocation_ms);
/* Returns the time until which an attempt may begin to be sent; 0 if the key was withdrawn. */
int64_t pd_key_check_until_us(const struct pd_key_check *check);

#endif
