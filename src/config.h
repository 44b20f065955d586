/**
 * DOC: The configuration: all objects that operators created, at one version
 *
 * A pd_config is immutable and reference-counted. Applying a command creates a new pd_config;
 * readers hold a reference to the one that they started with. Objects refer to each other by their
 * index in the arrays of the same pd_config.
 */
#ifndef PD_CONFIG_H
#define PD_CONFIG_H

#include "command.h"

#define PD_CONFIG_NONE UINT32_MAX /* index returned if no object was found */

struct pd_zone {
	struct pd_name name;
	bool out; /* an operator took the zone out of service */
};

struct pd_collection {
	struct pd_name name;
	uint32_t buckets;
	uint32_t *services; /* indices of its services */
	uint32_t service_count;
};

struct pd_service {
	struct pd_name name;
	uint32_t collection; /* index */
	uint32_t *upstreams; /* indices of its upstreams */
	uint32_t upstream_count;
};

struct pd_upstream_config {
	struct pd_name name;
	uint32_t service; /* index */
	uint32_t zone; /* index */
	struct pd_address address;
	uint32_t slots; /* number of requests that it runs concurrently after its slow start */
	uint32_t connections; /* maximum number of connections that it accepts */
	int64_t connect_us; /* time to open a connection, in microseconds */
	bool out; /* an operator took the upstream out of service */
};

struct pd_kind {
	struct pd_name name;
	enum pd_urgency urgency;
	int64_t deadline_us; /* deadline of requests that give none, in microseconds */
};

struct pd_config {
	uint64_t version; /* number of the last log entry included; 0 for the empty configuration */
	struct pd_zone *zones;
	uint32_t zone_count;
	struct pd_collection *collections;
	uint32_t collection_count;
	struct pd_service *services;
	uint32_t service_count;
	struct pd_upstream_config *upstreams;
	uint32_t upstream_count;
	struct pd_kind *kinds;
	uint32_t kind_count;
	uint32_t refs; /* reference count, private to config.c; atomic */
};

/* Creates the empty configuration, version 0, with one reference; NULL if out of memory. */
struct pd_config *pd_config_new(void);
/* Takes a reference. */
struct pd_config *pd_config_get(struct pd_config *config);
/* Drops a reference and frees @config with the last one; NULL is allowed. */
void pd_config_put(struct pd_config *config);

/**
 * pd_config_apply() - applies a command to a copy of @config
 * @config: current configuration; stays unchanged
 * @command: command to apply: create, set or delete
 * @next: stores the new configuration with one reference; its version is one higher
 * @err: stores the cause on failure; its text names the object
 *
 * Return: PD_OK; PD_INVALID if the command can't change a configuration; PD_NOT_FOUND if a named
 * object doesn't exist; PD_CONFLICT if the object to create exists or the object to delete is
 * still referred to; PD_NO_MEMORY.
 */
enum pd_code pd_config_apply(const struct pd_config *config, const struct pd_command *command,
			     struct pd_config **next, struct pd_error *err);

/**
 * pd_config_skip() - copies @config and increases the version by one
 * @config: current configuration; stays unchanged
 * @next: stores the copy with one reference
 * @err: stores the cause on failure
 *
 * Used for a stored command that this program can't apply, for example one written by a newer
 * release, so that a version number means the same log entry in every process.
 */
enum pd_code pd_config_skip(const struct pd_config *config, struct pd_config **next,
			    struct pd_error *err);

/* Appends the commands that create the configuration, one per line. A zone or upstream that is out
 * of service is followed by a `set ... out` line. */
void pd_config_print(const struct pd_config *config, struct pd_buf *out);
/* Builds a configuration with the given version from the output of pd_config_print(). */
enum pd_code pd_config_from_text(struct pd_str text, uint64_t version, struct pd_config **config,
				 struct pd_error *err);

/* Return the index of the object with this name, or PD_CONFIG_NONE. */
uint32_t pd_config_find_zone(const struct pd_config *config, struct pd_str name);
uint32_t pd_config_find_collection(const struct pd_config *config, struct pd_str name);
uint32_t pd_config_find_service(const struct pd_config *config, struct pd_str name);
uint32_t pd_config_find_upstream(const struct pd_config *config, struct pd_str name);
uint32_t pd_config_find_kind(const struct pd_config *config, struct pd_str name);

/**
 * struct pd_config_holder - the current configuration of this process
 * @mutex: protects @current
 * @current: current configuration; never NULL between init and finish
 */
struct pd_config_holder {
	pthread_mutex_t mutex;
	struct pd_config *current;
};

enum pd_code pd_config_holder_init(struct pd_config_holder *holder, struct pd_error *err);
void pd_config_holder_finish(struct pd_config_holder *holder);
/* Returns the current configuration with a new reference. */
struct pd_config *pd_config_holder_read(struct pd_config_holder *holder);
/* Replaces the current configuration with @next if the version of @next is higher; returns false
 * otherwise. The caller's reference to @next is consumed in both cases. */
bool pd_config_holder_advance(struct pd_config_holder *holder, struct pd_config *next);

#endif
