#include "key_check.h"

#include "os.h"
#include "registry.h"

int64_t pd_key_confirmed_until_us(int64_t confirmed_us, uint32_t revocation_ms)
{
	if (!revocation_ms)
		return INT64_MAX;
	if (!confirmed_us || revocation_ms <= PD_KEY_CHECK_MARGIN_MS)
		return 0;
	return confirmed_us + (revocation_ms - PD_KEY_CHECK_MARGIN_MS) * PD_USEC_PER_MSEC;
}

/* Whether the key still belongs to the account by the configuration that is in force. */
static bool is_valid(const struct pd_key_check *check)
{
	struct pd_catalog *catalog = pd_registry_catalog(check->directory->registry);
	bool valid = catalog && catalog->version == check->version;

	if (catalog && !valid) {
		const struct pd_account *account = pd_catalog_find_account(catalog, check->key);

		valid = !catalog->has_accounts ||
			(account && pd_str_equal(account->name, check->account));
	}
	pd_catalog_release(catalog);
	return valid;
}

int64_t pd_key_check_until_us(const struct pd_key_check *check)
{
	/* Read before the configuration: the one that is in force then is at least as recent. */
	int64_t confirmed_us = pd_directory_config_confirmed_us(check->directory);

	return is_valid(check) ? pd_key_confirmed_until_us(confirmed_us, check->revocation_ms) : 0;
}
