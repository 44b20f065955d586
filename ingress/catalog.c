#include "catalog.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "os.h"

struct pd_catalog *pd_catalog_new(size_t services, size_t routes, size_t text)
{
	struct pd_catalog *catalog = calloc(1, sizeof(*catalog));

	if (!catalog)
		return NULL;
	catalog->references = 1;
	catalog->limits = PD_LIMITS_DEFAULT;
	catalog->services = calloc(services + 1, sizeof(*catalog->services));
	catalog->routes = calloc(routes + 1, sizeof(*catalog->routes));
	catalog->text = malloc(text + 1);
	catalog->text_size = text;
	if (!catalog->services || !catalog->routes || !catalog->text) {
		pd_catalog_release(catalog);
		return NULL;
	}
	return catalog;
}

bool pd_catalog_reserve_accounts(struct pd_catalog *catalog, size_t accounts, size_t keys)
{
	catalog->accounts = calloc(accounts + 1, sizeof(*catalog->accounts));
	return catalog->accounts && pd_key_table_init(&catalog->keys, keys);
}

struct pd_str pd_catalog_copy(struct pd_catalog *catalog, struct pd_str s)
{
	char *at = catalog->text + catalog->text_len;

	if (!s.len || s.len > catalog->text_size - catalog->text_len)
		return (struct pd_str){NULL, 0};
	memcpy(at, s.data, s.len);
	catalog->text_len += s.len;
	return (struct pd_str){at, s.len};
}

int64_t pd_catalog_age_ms(const struct pd_catalog *catalog)
{
	int64_t age = pd_os_unix_ms() - catalog->received_unix_ms;

	if (!catalog->received_unix_ms)
		return -1;
	return age < 0 ? 0 : age;
}

struct pd_catalog *pd_catalog_acquire(struct pd_catalog *catalog)
{
	if (catalog)
		ck_pr_inc_int(&catalog->references);
	return catalog;
}

void pd_catalog_release(struct pd_catalog *catalog)
{
	if (!catalog || ck_pr_faa_int(&catalog->references, -1) != 1)
		return;
	for (size_t i = 0; i < catalog->route_count; i++)
		free(catalog->routes[i].targets);
	free(catalog->routes);
	free(catalog->accounts);
	pd_key_table_finish(&catalog->keys);
	free(catalog->services);
	free(catalog->text);
	free(catalog);
}

static int compare_services(const void *a, const void *b)
{
	const struct pd_catalog_service *left = a, *right = b;

	return pd_str_compare(left->name, right->name);
}

void pd_catalog_sort_services(struct pd_catalog *catalog)
{
	qsort(catalog->services, catalog->service_count, sizeof(*catalog->services),
	      compare_services);
}

static int compare_routes(const void *a, const void *b)
{
	const struct pd_route *left = a, *right = b;
	int order = pd_str_compare(left->host, right->host);

	if (order)
		return order;
	if (left->prefix.len != right->prefix.len)
		return left->prefix.len < right->prefix.len ? 1 : -1;
	return left->unusable - right->unusable;
}

void pd_catalog_sort_routes(struct pd_catalog *catalog)
{
	qsort(catalog->routes, catalog->route_count, sizeof(*catalog->routes), compare_routes);
}

long pd_catalog_find_service(const struct pd_catalog *catalog, struct pd_str name)
{
	struct pd_catalog_service key = {.name = name};
	struct pd_catalog_service *found = bsearch(&key, catalog->services, catalog->service_count,
						   sizeof(key), compare_services);

	return found ? found - catalog->services : -1;
}

static struct pd_str without_port(struct pd_str host)
{
	const char *colon = host.len ? memchr(host.data, ':', host.len) : NULL;

	return colon ? (struct pd_str){host.data, (size_t)(colon - host.data)} : host;
}

struct pd_route *pd_catalog_find_route(const struct pd_catalog *catalog, struct pd_str host,
				       struct pd_str path)
{
	struct pd_str name = without_port(host);

	for (size_t i = 0; i < catalog->route_count; i++) {
		struct pd_route *route = &catalog->routes[i];

		if (route->host.len != name.len ||
		    strncasecmp(route->host.data, name.data, name.len) != 0)
			continue;
		if (route->prefix.len <= path.len &&
		    !memcmp(route->prefix.data, path.data, route->prefix.len))
			return route;
	}
	return NULL;
}

const struct pd_account *pd_catalog_find_account(const struct pd_catalog *catalog,
						 struct pd_str key)
{
	uint32_t owner = pd_key_table_find(&catalog->keys, key);

	return owner == PD_KEY_TABLE_NONE ? NULL : &catalog->accounts[owner];
}
