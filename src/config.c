#include "config.h"

#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY  16
#define OBJECT_TYPE_COUNT (PD_OBJ_KIND + 1)

/**
 * struct config_state - a configuration with its private data
 * @public: part that readers see; first member, so that a pointer to it can be cast to a pointer
 *	to the whole struct
 * @capacity: number of allocated items, by object type
 * @sorted_indices: indices of the items in the order of their names, by object type
 * @service_pool: memory for the service lists of all collections
 * @upstream_pool: memory for the upstream lists of all services
 */
struct config_state {
	struct pd_config public;
	uint32_t capacity[OBJECT_TYPE_COUNT];
	uint32_t *sorted_indices[OBJECT_TYPE_COUNT];
	uint32_t *service_pool;
	uint32_t *upstream_pool;
};

/**
 * struct table - array of the objects of one type; the first member of each object is its name
 * @items: pointer to the array
 * @count: number of objects
 * @size: size of an object, in bytes
 */
struct table {
	void **items;
	uint32_t *count;
	size_t size;
};

static struct table table_of(struct config_state *state, enum pd_object_type type)
{
	struct pd_config *c = &state->public;

	switch (type) {
	case PD_OBJ_ZONE:
		return (struct table){(void **)&c->zones, &c->zone_count, sizeof(*c->zones)};
	case PD_OBJ_COLLECTION:
		return (struct table){(void **)&c->collections, &c->collection_count,
				      sizeof(*c->collections)};
	case PD_OBJ_SERVICE:
		return (struct table){(void **)&c->services, &c->service_count,
				      sizeof(*c->services)};
	case PD_OBJ_UPSTREAM:
		return (struct table){(void **)&c->upstreams, &c->upstream_count,
				      sizeof(*c->upstreams)};
	case PD_OBJ_KIND:
		break;
	}
	return (struct table){(void **)&c->kinds, &c->kind_count, sizeof(*c->kinds)};
}

static const char *type_name(enum pd_object_type type)
{
	static const char *const names[OBJECT_TYPE_COUNT] = {
		[PD_OBJ_ZONE] = "zone",	      [PD_OBJ_COLLECTION] = "collection",
		[PD_OBJ_SERVICE] = "service", [PD_OBJ_UPSTREAM] = "upstream",
		[PD_OBJ_KIND] = "kind",
	};

	return names[type];
}

static enum pd_code no_memory(struct pd_error *err)
{
	return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY,
			    "out of memory for the configuration");
}

static void *item_at(const struct table *table, uint32_t index)
{
	return (char *)*table->items + index * table->size;
}

/* Returns the position in @sorted_indices of the first name that doesn't sort before @name. */
static uint32_t lower_bound(const uint32_t *sorted_indices, const struct table *table,
			    struct pd_str name, bool *found)
{
	uint32_t low = 0;
	uint32_t high = *table->count;

	*found = false;
	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const struct pd_name *other = item_at(table, sorted_indices[middle]);
		int comparison = pd_str_compare(pd_name_str(other), name);

		if (comparison == 0)
			*found = true;
		if (comparison < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the index of an object, or PD_CONFIG_NONE. */
static uint32_t find_object(const struct config_state *state, enum pd_object_type type,
			    struct pd_str name)
{
	struct table table = table_of((struct config_state *)state, type);
	bool found;
	uint32_t position = lower_bound(state->sorted_indices[type], &table, name, &found);

	return found ? state->sorted_indices[type][position] : PD_CONFIG_NONE;
}

/* Allocates memory for @count items and returns their array; NULL if out of memory. */
static void *reserve_items(struct config_state *state, enum pd_object_type type, uint32_t count)
{
	struct table table = table_of(state, type);
	uint32_t capacity = state->capacity[type] ? state->capacity[type] : INITIAL_CAPACITY;
	uint32_t *sorted_indices;
	void *items;

	if (count <= state->capacity[type])
		return *table.items;
	while (capacity < count)
		capacity *= 2;
	items = realloc(*table.items, capacity * table.size);
	if (!items)
		return NULL;
	*table.items = items;
	sorted_indices = realloc(state->sorted_indices[type], capacity * sizeof(*sorted_indices));
	if (!sorted_indices)
		return NULL;
	state->sorted_indices[type] = sorted_indices;
	state->capacity[type] = capacity;
	return items;
}

/* Appends @item, whose name must not exist yet; returns false if out of memory. */
static bool insert_object(struct config_state *state, enum pd_object_type type, const void *item)
{
	struct table table = table_of(state, type);
	uint32_t *sorted_indices;
	uint32_t position;
	bool found;

	if (!reserve_items(state, type, *table.count + 1))
		return false;
	sorted_indices = state->sorted_indices[type];
	position = lower_bound(sorted_indices, &table, pd_name_str(item), &found);
	memmove(sorted_indices + position + 1, sorted_indices + position,
		(*table.count - position) * sizeof(*sorted_indices));
	sorted_indices[position] = *table.count;
	memcpy(item_at(&table, *table.count), item, table.size);
	++*table.count;
	return true;
}

/* Adjusts @index after the item at index @removed was removed from the array that it refers to. */
static void decrement_index_above(uint32_t *index, uint32_t removed)
{
	if (*index > removed)
		--*index;
}

/* Adjusts all references to objects of @type after the object at index @removed was removed. */
static void decrement_references_above(struct pd_config *c, enum pd_object_type type,
				       uint32_t removed)
{
	for (uint32_t i = 0; type == PD_OBJ_COLLECTION && i < c->service_count; i++)
		decrement_index_above(&c->services[i].collection, removed);
	for (uint32_t i = 0; type == PD_OBJ_SERVICE && i < c->upstream_count; i++)
		decrement_index_above(&c->upstreams[i].service, removed);
	for (uint32_t i = 0; type == PD_OBJ_ZONE && i < c->upstream_count; i++)
		decrement_index_above(&c->upstreams[i].zone, removed);
}

/* Removes the object at @index, to which no other object may refer. */
static void remove_item(struct config_state *state, enum pd_object_type type, uint32_t index)
{
	struct table table = table_of(state, type);
	uint32_t *sorted_indices = state->sorted_indices[type];
	uint32_t kept_count = 0;

	for (uint32_t i = 0; i < *table.count; i++) {
		if (sorted_indices[i] == index)
			continue;
		sorted_indices[kept_count] = sorted_indices[i];
		decrement_index_above(&sorted_indices[kept_count], index);
		kept_count++;
	}
	--*table.count;
	memmove(item_at(&table, index), item_at(&table, index + 1),
		(*table.count - index) * table.size);
	decrement_references_above(&state->public, type, index);
}

static struct config_state *state_new(uint64_t version)
{
	struct config_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->public.version = version;
	state->public.refs = 1;
	return state;
}

static void state_free(struct config_state *state)
{
	if (!state)
		return;
	for (int type = PD_OBJ_ZONE; type < OBJECT_TYPE_COUNT; type++) {
		struct table table = table_of(state, (enum pd_object_type)type);

		free(*table.items);
		free(state->sorted_indices[type]);
	}
	free(state->service_pool);
	free(state->upstream_pool);
	free(state);
}

static struct config_state *state_copy(const struct config_state *from, uint64_t version)
{
	struct config_state *state = state_new(version);

	for (int i = PD_OBJ_ZONE; state && i < OBJECT_TYPE_COUNT; i++) {
		enum pd_object_type type = (enum pd_object_type)i;
		void *items;
		struct table source = table_of((struct config_state *)from, type);
		struct table table = table_of(state, type);

		if (!*source.count)
			continue;
		/* Most commands add an object, so allocate memory for one more. */
		items = reserve_items(state, type, *source.count + 1);
		if (!items) {
			state_free(state);
			return NULL;
		}
		memcpy(items, *source.items, *source.count * table.size);
		memcpy(state->sorted_indices[type], from->sorted_indices[type],
		       *source.count * sizeof(*state->sorted_indices[type]));
		*table.count = *source.count;
	}
	return state;
}

/* Builds the service list of each collection, in the order of creation; returns false if out of
 * memory. */
static bool build_service_lists(struct config_state *state)
{
	struct pd_config *c = &state->public;
	uint32_t *next = malloc((c->service_count + 1) * sizeof(*next));

	if (!next)
		return false;
	state->service_pool = next;
	for (uint32_t i = 0; i < c->collection_count; i++)
		c->collections[i].service_count = 0;
	for (uint32_t i = 0; i < c->service_count; i++)
		c->collections[c->services[i].collection].service_count++;
	for (uint32_t i = 0; i < c->collection_count; i++) {
		c->collections[i].services = next;
		next += c->collections[i].service_count;
		c->collections[i].service_count = 0;
	}
	for (uint32_t i = 0; i < c->service_count; i++) {
		struct pd_collection *collection = &c->collections[c->services[i].collection];

		collection->services[collection->service_count++] = i;
	}
	return true;
}

/* Builds the upstream list of each service, in the order of creation; returns false if out of
 * memory. */
static bool build_upstream_lists(struct config_state *state)
{
	struct pd_config *c = &state->public;
	uint32_t *next = malloc((c->upstream_count + 1) * sizeof(*next));

	if (!next)
		return false;
	state->upstream_pool = next;
	for (uint32_t i = 0; i < c->service_count; i++)
		c->services[i].upstream_count = 0;
	for (uint32_t i = 0; i < c->upstream_count; i++)
		c->services[c->upstreams[i].service].upstream_count++;
	for (uint32_t i = 0; i < c->service_count; i++) {
		c->services[i].upstreams = next;
		next += c->services[i].upstream_count;
		c->services[i].upstream_count = 0;
	}
	for (uint32_t i = 0; i < c->upstream_count; i++) {
		struct pd_service *service = &c->services[c->upstreams[i].service];

		service->upstreams[service->upstream_count++] = i;
	}
	return true;
}

/* Builds the lists of @state and stores its public part in @config; frees @state on failure. */
static enum pd_code finalize(struct config_state *state, struct pd_config **config,
			     struct pd_error *err)
{
	if (!build_service_lists(state) || !build_upstream_lists(state)) {
		state_free(state);
		return no_memory(err);
	}
	*config = &state->public;
	return PD_OK;
}

/* Stores the index of an object that must exist. */
static enum pd_code require_object(const struct config_state *state, enum pd_object_type type,
				   const struct pd_name *name, uint32_t *index,
				   struct pd_error *err)
{
	*index = find_object(state, type, pd_name_str(name));
	if (*index != PD_CONFIG_NONE)
		return PD_OK;
	return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND, "%s \"%s\" does not exist",
			    type_name(type), name->text);
}

static bool insert_upstream(struct config_state *state, const struct pd_command_object *object,
			    uint32_t service, uint32_t zone)
{
	struct pd_upstream_config upstream = {
		.name = object->name,
		.service = service,
		.zone = zone,
		.address = object->address,
		.slots = object->slots,
		.connections = object->connections,
		.connect_us = object->connect_us > 0 ? object->connect_us : 0,
	};

	return insert_object(state, PD_OBJ_UPSTREAM, &upstream);
}

static enum pd_code create_upstream(struct config_state *state,
				    const struct pd_command_object *object, struct pd_error *err)
{
	uint32_t service;
	uint32_t zone = PD_CONFIG_NONE;
	enum pd_code code = require_object(state, PD_OBJ_SERVICE, &object->service, &service, err);

	if (!code)
		code = require_object(state, PD_OBJ_ZONE, &object->zone, &zone, err);
	if (code)
		return code;
	return insert_upstream(state, object, service, zone) ? PD_OK : no_memory(err);
}

static enum pd_code create_service(struct config_state *state,
				   const struct pd_command_object *object, struct pd_error *err)
{
	struct pd_service service = {.name = object->name};
	enum pd_code code = require_object(state, PD_OBJ_COLLECTION, &object->collection,
					   &service.collection, err);

	if (code)
		return code;
	return insert_object(state, PD_OBJ_SERVICE, &service) ? PD_OK : no_memory(err);
}

static enum pd_code create_object(struct config_state *state,
				  const struct pd_command_object *object, struct pd_error *err)
{
	struct pd_zone zone = {.name = object->name};
	struct pd_collection collection = {.name = object->name, .buckets = object->buckets};
	struct pd_kind kind = {object->name, object->urgency, object->deadline_us};

	if (find_object(state, object->object_type, pd_name_str(&object->name)) != PD_CONFIG_NONE)
		return pd_error_set(err, PD_LAYER_STATE, PD_CONFLICT, "%s \"%s\" exists already",
				    type_name(object->object_type), object->name.text);
	switch (object->object_type) {
	case PD_OBJ_ZONE:
		return insert_object(state, PD_OBJ_ZONE, &zone) ? PD_OK : no_memory(err);
	case PD_OBJ_COLLECTION:
		return insert_object(state, PD_OBJ_COLLECTION, &collection) ? PD_OK
									    : no_memory(err);
	case PD_OBJ_SERVICE:
		return create_service(state, object, err);
	case PD_OBJ_UPSTREAM:
		return create_upstream(state, object, err);
	case PD_OBJ_KIND:
		break;
	}
	return insert_object(state, PD_OBJ_KIND, &kind) ? PD_OK : no_memory(err);
}

static void set_kind(struct pd_kind *kind, const struct pd_command_object *object)
{
	if (object->has_urgency)
		kind->urgency = object->urgency;
	if (object->deadline_us)
		kind->deadline_us = object->deadline_us;
}

static enum pd_code set_object(struct config_state *state, const struct pd_command_object *object,
			       struct pd_error *err)
{
	struct table table = table_of(state, object->object_type);
	uint32_t index;
	enum pd_code code = require_object(state, object->object_type, &object->name, &index, err);
	void *item = code ? NULL : item_at(&table, index);

	if (!item)
		return code;
	switch (object->object_type) {
	case PD_OBJ_ZONE:
		((struct pd_zone *)item)->out = object->out;
		return PD_OK;
	case PD_OBJ_UPSTREAM:
		((struct pd_upstream_config *)item)->out = object->out;
		return PD_OK;
	case PD_OBJ_KIND:
		set_kind(item, object);
		return PD_OK;
	case PD_OBJ_COLLECTION:
	case PD_OBJ_SERVICE:
		break;
	}
	return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
			    "%s \"%s\" has no properties that can be set",
			    type_name(object->object_type), object->name.text);
}

/* Returns the name of an object that refers to the object of @type at @index, or NULL; stores the
 * type of the referring object in @referrer_type. */
static const char *find_referrer(const struct pd_config *c, enum pd_object_type type,
				 uint32_t index, enum pd_object_type *referrer_type)
{
	*referrer_type = type == PD_OBJ_COLLECTION ? PD_OBJ_SERVICE : PD_OBJ_UPSTREAM;
	for (uint32_t i = 0; type == PD_OBJ_COLLECTION && i < c->service_count; i++) {
		if (c->services[i].collection == index)
			return c->services[i].name.text;
	}
	for (uint32_t i = 0; i < c->upstream_count; i++) {
		if ((type == PD_OBJ_SERVICE && c->upstreams[i].service == index) ||
		    (type == PD_OBJ_ZONE && c->upstreams[i].zone == index))
			return c->upstreams[i].name.text;
	}
	return NULL;
}

static enum pd_code remove_object(struct config_state *state,
				  const struct pd_command_object *object, struct pd_error *err)
{
	enum pd_object_type referrer_type;
	const char *referrer;
	uint32_t index;
	enum pd_code code = require_object(state, object->object_type, &object->name, &index, err);

	if (code)
		return code;
	referrer = find_referrer(&state->public, object->object_type, index, &referrer_type);
	if (referrer)
		return pd_error_set(err, PD_LAYER_STATE, PD_CONFLICT,
				    "%s \"%s\" is still referred to by %s \"%s\"",
				    type_name(object->object_type), object->name.text,
				    type_name(referrer_type), referrer);
	remove_item(state, object->object_type, index);
	return PD_OK;
}

static enum pd_code apply_command(struct config_state *state, const struct pd_command *command,
				  struct pd_error *err)
{
	switch (command->type) {
	case PD_CMD_CREATE:
		return create_object(state, &command->object, err);
	case PD_CMD_SET:
		return set_object(state, &command->object, err);
	case PD_CMD_DELETE:
		return remove_object(state, &command->object, err);
	case PD_CMD_EMPTY:
	case PD_CMD_QUERY:
	case PD_CMD_RUN:
	case PD_CMD_SHOW:
		break;
	}
	return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
			    "the command does not change the configuration: expected create, set "
			    "or delete");
}

struct pd_config *pd_config_new(void)
{
	struct config_state *state = state_new(0);
	struct pd_config *config = NULL;

	if (state)
		finalize(state, &config, NULL);
	return config;
}

struct pd_config *pd_config_get(struct pd_config *config)
{
	ck_pr_inc_32(&config->refs);
	return config;
}

void pd_config_put(struct pd_config *config)
{
	uint32_t previous_refs;

	if (!config)
		return;
	/* Order the accesses of this reader before the decrement, and the decrements of all readers
	 * before the free. */
	ck_pr_fence_release();
	previous_refs = ck_pr_faa_32(&config->refs, (uint32_t)-1);
	if (previous_refs != 1)
		return;
	ck_pr_fence_acquire();
	state_free((struct config_state *)config);
}

enum pd_code pd_config_apply(const struct pd_config *config, const struct pd_command *command,
			     struct pd_config **next, struct pd_error *err)
{
	struct config_state *state =
		state_copy((const struct config_state *)config, config->version + 1);
	enum pd_code code;

	if (!state)
		return no_memory(err);
	code = apply_command(state, command, err);
	if (code) {
		state_free(state);
		return code;
	}
	return finalize(state, next, err);
}

enum pd_code pd_config_skip(const struct pd_config *config, struct pd_config **next,
			    struct pd_error *err)
{
	struct config_state *state =
		state_copy((const struct config_state *)config, config->version + 1);

	return state ? finalize(state, next, err) : no_memory(err);
}

static void print_line(struct pd_command *command, struct pd_buf *out)
{
	pd_command_print(command, out);
	pd_buf_append(out, "\n", 1);
}

/* Prints `set TYPE NAME out` for a zone or an upstream. */
static void print_set_out(enum pd_object_type type, const struct pd_name *name, struct pd_buf *out)
{
	struct pd_command command = {
		.type = PD_CMD_SET,
		.object = {.object_type = type, .name = *name, .has_out = true, .out = true},
	};

	print_line(&command, out);
}

static void print_upstream(const struct pd_config *config, const struct pd_upstream_config *u,
			   struct pd_buf *out)
{
	struct pd_command command = {
		.type = PD_CMD_CREATE,
		.object = {.object_type = PD_OBJ_UPSTREAM,
			   .name = u->name,
			   .service = config->services[u->service].name,
			   .zone = config->zones[u->zone].name,
			   .address = u->address,
			   .slots = u->slots,
			   .connections = u->connections,
			   .connect_us = u->connect_us},
	};

	print_line(&command, out);
	if (u->out)
		print_set_out(PD_OBJ_UPSTREAM, &u->name, out);
}

static void print_zones(const struct pd_config *config, struct pd_buf *out)
{
	for (uint32_t i = 0; i < config->zone_count; i++) {
		struct pd_command command = {
			.type = PD_CMD_CREATE,
			.object = {.object_type = PD_OBJ_ZONE, .name = config->zones[i].name},
		};

		print_line(&command, out);
		if (config->zones[i].out)
			print_set_out(PD_OBJ_ZONE, &config->zones[i].name, out);
	}
}

static void print_kinds(const struct pd_config *config, struct pd_buf *out)
{
	for (uint32_t i = 0; i < config->kind_count; i++) {
		const struct pd_kind *kind = &config->kinds[i];
		struct pd_command command = {
			.type = PD_CMD_CREATE,
			.object = {.object_type = PD_OBJ_KIND,
				   .name = kind->name,
				   .has_urgency = true,
				   .urgency = kind->urgency,
				   .deadline_us = kind->deadline_us},
		};

		print_line(&command, out);
	}
}

void pd_config_print(const struct pd_config *config, struct pd_buf *out)
{
	struct pd_command command = {.type = PD_CMD_CREATE};

	print_zones(config, out);
	print_kinds(config, out);
	for (uint32_t i = 0; i < config->collection_count; i++) {
		command.object = (struct pd_command_object){
			.object_type = PD_OBJ_COLLECTION,
			.name = config->collections[i].name,
			.buckets = config->collections[i].buckets,
		};
		print_line(&command, out);
	}
	for (uint32_t i = 0; i < config->service_count; i++) {
		command.object = (struct pd_command_object){
			.object_type = PD_OBJ_SERVICE,
			.name = config->services[i].name,
			.collection = config->collections[config->services[i].collection].name,
		};
		print_line(&command, out);
	}
	for (uint32_t i = 0; i < config->upstream_count; i++)
		print_upstream(config, &config->upstreams[i], out);
}

static enum pd_code apply_line(struct config_state *state, struct pd_str line, struct pd_error *err)
{
	struct pd_command command;
	enum pd_code code = pd_command_parse(&command, line, err);

	if (code)
		return code;
	if (command.type != PD_CMD_EMPTY)
		code = apply_command(state, &command, err);
	pd_command_finish(&command);
	return code;
}

static enum pd_code apply_lines(struct config_state *state, struct pd_str text,
				struct pd_error *err)
{
	size_t start = 0;
	unsigned int line_number = 1;
	char context[32];

	while (start < text.len) {
		const char *end = memchr(text.data + start, '\n', text.len - start);
		size_t len = end ? (size_t)(end - text.data) - start : text.len - start;
		enum pd_code code = apply_line(state, (struct pd_str){text.data + start, len}, err);

		if (code) {
			snprintf(context, sizeof(context), "line %u", line_number);
			return pd_error_wrap(err, PD_LAYER_STATE, code, context);
		}
		start += len + 1;
		line_number++;
	}
	return PD_OK;
}

enum pd_code pd_config_from_text(struct pd_str text, uint64_t version, struct pd_config **config,
				 struct pd_error *err)
{
	struct config_state *state = state_new(version);
	enum pd_code code;

	if (!state)
		return no_memory(err);
	code = apply_lines(state, text, err);
	if (code) {
		state_free(state);
		return code;
	}
	return finalize(state, config, err);
}

uint32_t pd_config_find_zone(const struct pd_config *config, struct pd_str name)
{
	return find_object((const struct config_state *)config, PD_OBJ_ZONE, name);
}

uint32_t pd_config_find_collection(const struct pd_config *config, struct pd_str name)
{
	return find_object((const struct config_state *)config, PD_OBJ_COLLECTION, name);
}

uint32_t pd_config_find_service(const struct pd_config *config, struct pd_str name)
{
	return find_object((const struct config_state *)config, PD_OBJ_SERVICE, name);
}

uint32_t pd_config_find_upstream(const struct pd_config *config, struct pd_str name)
{
	return find_object((const struct config_state *)config, PD_OBJ_UPSTREAM, name);
}

uint32_t pd_config_find_kind(const struct pd_config *config, struct pd_str name)
{
	return find_object((const struct config_state *)config, PD_OBJ_KIND, name);
}

enum pd_code pd_config_holder_init(struct pd_config_holder *holder, struct pd_error *err)
{
	memset(holder, 0, sizeof(*holder));
	pthread_mutex_init(&holder->mutex, NULL);
	holder->current = pd_config_new();
	return holder->current ? PD_OK : no_memory(err);
}

void pd_config_holder_finish(struct pd_config_holder *holder)
{
	pd_config_put(holder->current);
	holder->current = NULL;
	pthread_mutex_destroy(&holder->mutex);
}

struct pd_config *pd_config_holder_read(struct pd_config_holder *holder)
{
	struct pd_config *config;

	pthread_mutex_lock(&holder->mutex);
	config = pd_config_get(holder->current);
	pthread_mutex_unlock(&holder->mutex);
	return config;
}

bool pd_config_holder_advance(struct pd_config_holder *holder, struct pd_config *next)
{
	struct pd_config *old = next;
	bool advanced = false;

	pthread_mutex_lock(&holder->mutex);
	if (next->version > holder->current->version) {
		old = holder->current;
		holder->current = next;
		advanced = true;
	}
	pthread_mutex_unlock(&holder->mutex);
	pd_config_put(old);
	return advanced;
}
