#include "rollout_exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "log.h"

#define EXPOSURE_INTERVAL_US (250 * PD_USEC_PER_MSEC)
/* A permission holds for this long after it was sent, as judged by the order's age. */
#define PERMISSION_US (1000 * PD_USEC_PER_MSEC)
/* Evidence is collected for this long before it is sent. */
#define EVIDENCE_INTERVAL_US (100 * PD_USEC_PER_MSEC)
/* Statements of a head, and in the full phase those of followers, are sent at least this often. */
#define STATEMENT_INTERVAL_US (200 * PD_USEC_PER_MSEC)
/* A lost datagram is made up for after this time, by followers and by heads, which send more. */
#define FOLLOWER_REPEAT_US (1000 * PD_USEC_PER_MSEC)
#define HEAD_REPEAT_US	   (3000 * PD_USEC_PER_MSEC)
/* Two statements of a follower or head may be lost before it counts as not heard. */
#define STATEMENT_AGE_MAX_US (700 * PD_USEC_PER_MSEC)
/* A new head has the evidence of the others after this time. */
#define HEAD_SETTLE_US (HEAD_REPEAT_US + 500 * PD_USEC_PER_MSEC)
/* The outcome is stated for this long, for instances that don't know it from the store yet. */
#define OUTCOME_STATED_US (3000 * PD_USEC_PER_MSEC)
#define SHARE_UNIT	  1e6
/* Who sends evidence; part of the datagrams. */
#define FROM_FOLLOWER 0
#define FROM_HEAD     1

void pd_rollout_exchange_init(struct pd_rollout_exchange *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

static void free_tracked(struct pd_rollout_tracked *tracked)
{
	pd_rollout_finish(&tracked->rollout);
	pd_rollout_ledger_finish(&tracked->ledger);
	free(tracked);
}

void pd_rollout_exchange_finish(struct pd_rollout_exchange *exchange)
{
	for (size_t i = 0; i < exchange->tracked_count; i++)
		free_tracked(exchange->tracked[i]);
	if (exchange->enabled)
		pd_rollout_writer_finish(exchange->writer);
	free(exchange->writer);
	free(exchange->set);
	memset(exchange, 0, sizeof(*exchange));
}

enum pd_code pd_rollout_exchange_enable(struct pd_rollout_exchange *exchange,
					struct pd_directory *directory, struct pd_sync *sync,
					double share, double slack, struct pd_error *err)
{
	exchange->directory = directory;
	exchange->registry = directory->registry;
	exchange->share = share;
	exchange->slack = slack;
	exchange->writer = calloc(1, sizeof(*exchange->writer));
	exchange->set = calloc(1, sizeof(*exchange->set));
	if (!exchange->writer || !exchange->set || !pd_sync_enable_rollouts(sync))
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "roll-outs");
	exchange->enabled = true;
	pd_rollout_writer_init(exchange->writer, sync);
	pd_registry_enable_versions(directory->registry);
	return PD_OK;
}

static struct pd_rollout_tracked *find_tracked(struct pd_rollout_exchange *exchange,
					       const struct pd_rollout_order *order)
{
	for (size_t i = 0; i < exchange->tracked_count; i++) {
		if (pd_rollout_same_order(&exchange->tracked[i]->order, order))
			return exchange->tracked[i];
	}
	return NULL;
}

static void add_tracked(struct pd_rollout_exchange *exchange, const struct pd_rollout_order *order)
{
	struct pd_rollout_tracked *tracked = calloc(1, sizeof(*tracked));

	if (!tracked) {
		pd_log(PD_LOG_ERROR, "rollout_not_kept", "service=%s reason=no_memory",
		       order->service.text);
		return;
	}
	tracked->order = *order;
	pd_rollout_init(&tracked->rollout);
	exchange->tracked[exchange->tracked_count++] = tracked;
}

/* Logs the outcome, with the figures if this head has decided the same. */
static void log_outcome(const struct pd_rollout_tracked *tracked, int64_t now_us)
{
	const struct pd_rollout *rollout = &tracked->rollout;
	bool own = rollout->decided == tracked->order.state;

	pd_log(PD_LOG_INFO, "rollout_outcome",
	       "service=%s version=%s state=%s reason=%s age_ms=%" PRId64 " requests=%" PRIu32
	       " new_sent=%" PRIu32 " %s",
	       tracked->order.service.text, tracked->order.target.text,
	       pd_rollout_state_name(tracked->order.state),
	       own ? rollout->verdict.reason : "another_head",
	       (now_us - tracked->order.started_us) / PD_USEC_PER_MSEC,
	       tracked->ledger.sum.requests, tracked->ledger.sum.sent[PD_ROLLOUT_NEW],
	       own ? rollout->verdict.figures : "");
}

/* Takes over what is known of a tracked order from the store. */
static void update_tracked(struct pd_rollout_tracked *tracked, const struct pd_rollout_order *order,
			   bool is_head, int64_t now_us)
{
	tracked->order = *order;
	pd_rollout_observe(&tracked->rollout, order->state, order->revision);
	if (!pd_rollout_is_final(order->state) || tracked->ended_us)
		return;
	tracked->ended_us = now_us;
	if (is_head)
		log_outcome(tracked, now_us);
}

/* Whether the store has begun an order anew that has ended. */
static bool has_begun_anew(const struct pd_rollout_tracked *tracked,
			   const struct pd_rollout_order *order)
{
	return tracked->ended_us && !pd_rollout_is_final(order->state);
}

static void remove_outdated(struct pd_rollout_exchange *exchange)
{
	for (size_t i = exchange->tracked_count; i > 0; i--) {
		struct pd_rollout_tracked *tracked = exchange->tracked[i - 1];
		const struct pd_rollout_order *order =
			pd_rollout_set_find(exchange->set, &tracked->order.service);

		if (order && pd_rollout_same_order(order, &tracked->order) &&
		    !has_begun_anew(tracked, order))
			continue;
		free_tracked(tracked);
		exchange->tracked[i - 1] = exchange->tracked[--exchange->tracked_count];
	}
}

static void refresh_orders(struct pd_rollout_exchange *exchange, int64_t now_us)
{
	if (!pd_directory_get_rollouts(exchange->directory, &exchange->changes, exchange->set))
		return;
	remove_outdated(exchange);
	for (size_t i = 0; i < exchange->set->count; i++) {
		const struct pd_rollout_order *order = &exchange->set->orders[i];

		if (!find_tracked(exchange, order) && !pd_rollout_is_final(order->state))
			add_tracked(exchange, order);
		if (find_tracked(exchange, order))
			update_tracked(find_tracked(exchange, order), order,
				       exchange->head_since_us != 0, now_us);
	}
}

/* Copies the evidence of this process to its entry in the ledger. */
static struct pd_rollout_origin *update_own(struct pd_rollout_exchange *exchange,
					    struct pd_rollout_tracked *tracked, uint64_t id,
					    int64_t now_us, struct pd_version_view *view)
{
	struct pd_rollout_origin *own = pd_rollout_ledger_origin(&tracked->ledger, id);
	struct pd_rollout_evidence evidence = {0};

	pd_registry_view_version(exchange->registry, &tracked->order, now_us, view, &evidence);
	if (!own) {
		pd_rollout_evidence_finish(&evidence);
		return NULL;
	}
	own->changed = own->changed ||
		       memcmp(own->evidence.sent, evidence.sent, sizeof(evidence.sent)) != 0 ||
		       memcmp(own->evidence.ended, evidence.ended, sizeof(evidence.ended)) != 0;
	if (own->gauges.full != view->full || own->gauges.old_in_flight != view->old_in_flight)
		own->changed = true;
	own->gauges.full = view->full;
	own->gauges.old_in_flight = view->old_in_flight;
	own->heard_us = now_us;
	pd_rollout_ledger_set(&tracked->ledger, own, &evidence);
	pd_rollout_evidence_finish(&evidence);
	return own;
}

static void write_order(const struct pd_rollout_tracked *tracked, int64_t now_us,
			struct pd_buf *payload)
{
	pd_datagram_put_str(payload, pd_name_str(&tracked->order.service));
	pd_datagram_put_str(payload, pd_name_str(&tracked->order.target));
	pd_datagram_put_uint(payload, (uint64_t)(now_us - tracked->order.started_us));
}

/* Reads what write_order() has written. */
static bool read_order(struct pd_datagram_reader *reader, int64_t now_us,
		       struct pd_rollout_order *order)
{
	struct pd_str service = pd_datagram_get_str(reader), target = pd_datagram_get_str(reader);
	uint64_t age_us = pd_datagram_get_uint(reader);

	if (reader->failed || age_us > INT64_MAX / 2 || !pd_name_set(&order->service, service) ||
	    !pd_name_set(&order->target, target))
		return false;
	order->started_us = now_us - (int64_t)age_us;
	return true;
}

/* Begins a payload of evidence. */
static void begin_evidence(const struct pd_rollout_tracked *tracked, bool is_head, int64_t now_us,
			   struct pd_buf *payload)
{
	const struct pd_rollout *rollout = &tracked->rollout;

	pd_buf_clear(payload);
	pd_datagram_put_uint(payload, is_head ? FROM_HEAD : FROM_FOLLOWER);
	write_order(tracked, now_us, payload);
	if (!is_head)
		return;
	pd_datagram_put_uint(payload, (uint64_t)now_us);
	pd_datagram_put_uint(payload, (uint64_t)rollout->phase);
	pd_datagram_put_uint(payload, (uint64_t)rollout->decided);
	pd_datagram_put_uint(payload, (uint64_t)rollout->state);
	pd_datagram_put_uint(payload,
			     (uint64_t)pd_rollout_full_left_us(rollout, tracked->drained, now_us));
	pd_datagram_put_uint(payload, tracked->drained);
}

static void send_evidence_payload(struct pd_cluster *cluster, bool is_head,
				  const struct pd_buf *payload)
{
	if (is_head)
		pd_cluster_send_to_heads(cluster, PD_DATAGRAM_EVIDENCE, pd_buf_str(payload));
	else
		pd_cluster_send_to_source(cluster, PD_DATAGRAM_EVIDENCE, pd_buf_str(payload));
}

/* Sends the records of the processes that have changed, or of all. A head sends a statement in any
 * case.
 */
static void send_records(struct pd_cluster *cluster, struct pd_rollout_tracked *tracked,
			 bool is_head, bool all, int64_t now_us)
{
	struct pd_buf payload = {0};
	bool pending = is_head;

	begin_evidence(tracked, is_head, now_us, &payload);
	for (size_t i = 0; i < tracked->ledger.count; i++) {
		struct pd_rollout_origin *origin = &tracked->ledger.origins[i];
		size_t next = 0;

		if (!(all || origin->changed) || (!is_head && origin->id != cluster->incarnation))
			continue;
		while (!pd_rollout_origin_write(origin, &next, PD_DATAGRAM_PAYLOAD_MAX_BYTES,
						&payload)) {
			send_evidence_payload(cluster, is_head, &payload);
			begin_evidence(tracked, is_head, now_us, &payload);
		}
		origin->changed = false;
		pending = true;
	}
	if (pending)
		send_evidence_payload(cluster, is_head, &payload);
	pd_buf_finish(&payload);
}

/* Sends evidence if that is due. */
static void send_evidence(struct pd_cluster *cluster, struct pd_rollout_tracked *tracked,
			  struct pd_rollout_origin *own, bool is_head, int64_t now_us)
{
	bool state, repeat = now_us >= tracked->next_repeat_us;

	if (now_us < tracked->next_evidence_us)
		return;
	state = own && (own->changed || repeat || own->gauges.full) &&
		now_us >= tracked->next_evidence_us;
	if (state) {
		own->gauges.sequence = (uint64_t)now_us;
		own->changed = true;
	}
	if (!state && !is_head)
		return;
	tracked->next_evidence_us =
		now_us +
		(is_head || (own && own->changed) ? EVIDENCE_INTERVAL_US : STATEMENT_INTERVAL_US);
	if (repeat)
		tracked->next_repeat_us = now_us + (is_head ? HEAD_REPEAT_US : FOLLOWER_REPEAT_US);
	send_records(cluster, tracked, is_head, repeat, now_us);
}

/* Appends the permission for an order. */
static void write_exposure(const struct pd_rollout_exchange *exchange,
			   const struct pd_rollout_tracked *tracked, int64_t now_us,
			   struct pd_buf *payload)
{
	write_order(tracked, now_us, payload);
	pd_datagram_put_uint(payload, (uint64_t)tracked->rollout.phase);
	pd_datagram_put_uint(payload, (uint64_t)(exchange->share / 2 * SHARE_UNIT));
}

static void begin_exposure(struct pd_rollout_exchange *exchange, const struct pd_cluster *cluster,
			   struct pd_buf *payload)
{
	pd_buf_clear(payload);
	pd_datagram_put_uint(payload, cluster->incarnation);
	pd_datagram_put_uint(payload, ++exchange->sequence);
}

/* Sends the permissions for all orders to the followers. */
static void send_exposure(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			  int64_t now_us)
{
	struct pd_buf payload = {0}, entry = {0};
	size_t entries = 0;

	begin_exposure(exchange, cluster, &payload);
	for (size_t i = 0; i < exchange->tracked_count; i++) {
		struct pd_rollout_tracked *tracked = exchange->tracked[i];

		tracked->phase = tracked->rollout.phase;
		if (tracked->ignored ||
		    (tracked->ended_us && now_us - tracked->ended_us > OUTCOME_STATED_US))
			continue;
		pd_buf_clear(&entry);
		write_exposure(exchange, tracked, now_us, &entry);
		if (payload.len + entry.len > PD_DATAGRAM_PAYLOAD_MAX_BYTES) {
			pd_cluster_send_to_followers(cluster, PD_DATAGRAM_EXPOSURE,
						     pd_buf_str(&payload));
			begin_exposure(exchange, cluster, &payload);
		}
		pd_buf_append_str(&payload, pd_buf_str(&entry));
		entries++;
	}
	if (entries)
		pd_cluster_send_to_followers(cluster, PD_DATAGRAM_EXPOSURE, pd_buf_str(&payload));
	pd_buf_finish(&payload);
	pd_buf_finish(&entry);
}

static bool is_heard(const struct pd_rollout_head *head, int64_t now_us)
{
	return now_us - head->heard_us <= STATEMENT_AGE_MAX_US;
}

/* Returns the number of other zones with a head that was heard lately. */
static size_t count_zones(const struct pd_rollout_tracked *tracked, const struct pd_name *own_zone,
			  int64_t now_us)
{
	size_t zones = 0;

	for (size_t i = 0; i < tracked->head_count; i++) {
		const struct pd_rollout_head *head = &tracked->heads[i];
		bool counted = pd_name_equal(&head->zone, own_zone) || !is_heard(head, now_us);

		for (size_t j = 0; j < i && !counted; j++)
			counted = is_heard(&tracked->heads[j], now_us) &&
				  pd_name_equal(&tracked->heads[j].zone, &head->zone);
		zones += !counted;
	}
	return zones;
}

/* Takes over what the other heads have stated. */
static void add_heads(const struct pd_rollout_tracked *tracked, const struct pd_cluster *cluster,
		      int64_t now_us, struct pd_rollout_input *input)
{
	for (size_t i = 0; i < tracked->head_count; i++) {
		const struct pd_rollout_head *head = &tracked->heads[i];

		if (head->state == PD_ROLLOUT_COMPLETED)
			input->completed = true;
		if (head->decided == PD_ROLLOUT_ROLLED_BACK)
			input->halted = true;
		if (!is_heard(head, now_us))
			continue;
		if (head->full_until_us - now_us < input->others_full_us)
			input->others_full_us = head->full_until_us - now_us;
		input->another_full |= head->phase == PD_ROLLOUT_FULL;
		if (head->full_until_us - now_us > input->another_full_us)
			input->another_full_us = head->full_until_us - now_us;
		input->drained = input->drained && head->drained;
		input->rank +=
			pd_str_compare(pd_name_str(&head->name), pd_name_str(&cluster->name)) < 0;
	}
}

static void fill_input(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
		       struct pd_rollout_tracked *tracked, const struct pd_version_view *view,
		       int64_t now_us, struct pd_rollout_input *input)
{
	struct pd_cluster_view instances;
	size_t other_zones;
	bool settled = now_us - exchange->head_since_us >= HEAD_SETTLE_US ||
		       exchange->head_since_us <= tracked->order.started_us;

	pd_cluster_view(cluster, now_us, &instances);
	other_zones = instances.zone_count - 1;
	tracked->drained = view->full && !view->old_in_flight &&
			   pd_rollout_ledger_drained(&tracked->ledger, STATEMENT_AGE_MAX_US,
						     now_us) >= instances.followers;
	*input = (struct pd_rollout_input){
		.age_us = now_us - tracked->order.started_us,
		.duration_us = tracked->order.duration_ms * PD_USEC_PER_MSEC,
		.share = exchange->share,
		.slack = exchange->slack,
		.evidence = &tracked->ledger.sum,
		.target_ready = view->target_ready,
		.same_version = view->same_version,
		.settled = settled,
		.connected = settled && instances.zones_heard == other_zones &&
			     count_zones(tracked, &cluster->zone, now_us) == other_zones &&
			     pd_directory_is_store_reachable(exchange->directory),
		.others_full_us = INT64_MAX,
		.drained = tracked->drained,
	};
	add_heads(tracked, cluster, now_us, input);
}

static void log_phase(struct pd_rollout_exchange *exchange, struct pd_rollout_tracked *tracked,
		      const struct pd_rollout_input *input)
{
	const struct pd_rollout *rollout = &tracked->rollout;

	if (rollout->phase != tracked->logged) {
		tracked->logged = rollout->phase;
		pd_log(PD_LOG_INFO, "rollout_phase",
		       "service=%s version=%s phase=%s share=%g age_ms=%" PRId64
		       " requests=%" PRIu32 " new_sent=%" PRIu32
		       " target_ready=%d connected=%d drained=%d",
		       tracked->order.service.text, tracked->order.target.text,
		       pd_rollout_phase_name(rollout->phase), exchange->share / 2,
		       input->age_us / PD_USEC_PER_MSEC, tracked->ledger.sum.requests,
		       tracked->ledger.sum.sent[PD_ROLLOUT_NEW], input->target_ready,
		       input->connected, input->drained);
	}
	if (pd_rollout_is_final(rollout->decided) && rollout->decided != tracked->decision_logged)
		pd_log(PD_LOG_INFO, "rollout_decision",
		       "service=%s version=%s state=%s reason=%s age_ms=%" PRId64
		       " requests=%" PRIu32 " new_sent=%" PRIu32 " drained=%d %s",
		       tracked->order.service.text, tracked->order.target.text,
		       pd_rollout_state_name(rollout->decided), rollout->verdict.reason,
		       input->age_us / PD_USEC_PER_MSEC, tracked->ledger.sum.requests,
		       tracked->ledger.sum.sent[PD_ROLLOUT_NEW], input->drained,
		       rollout->verdict.figures);
	tracked->decision_logged = rollout->decided;
}

/* Takes the result of a call to the store, and has the next one made. */
static void call_store(struct pd_rollout_exchange *exchange, struct pd_rollout_tracked *tracked,
		       int64_t now_us)
{
	struct pd_rollout *rollout = &tracked->rollout;
	struct pd_rollout_order order = tracked->order;
	struct pd_rollout_job job;
	enum pd_rollout_call call;

	/* A result may be of an earlier time as a head. */
	if (rollout->writing && pd_rollout_writer_take(exchange->writer, &tracked->order, &job) &&
	    job.order.revision == rollout->call_revision) {
		if (job.call == PD_ROLLOUT_CALL_WRITE)
			pd_rollout_end_write(rollout, job.code, now_us);
		else
			pd_rollout_end_read(rollout, job.code == PD_OK, job.found, job.state,
					    job.revision, now_us);
	}
	call = pd_rollout_next_call(rollout, now_us);
	if (call == PD_ROLLOUT_NO_CALL)
		return;
	order.revision = rollout->revision;
	if (!pd_rollout_writer_queue(exchange->writer, call, &order, rollout->written))
		pd_rollout_end_write(rollout, PD_UNAVAILABLE, now_us);
}

/* Decides on an order as a head. */
static void lead(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
		 struct pd_rollout_tracked *tracked, const struct pd_version_view *view,
		 int64_t now_us)
{
	struct pd_rollout_input input;

	fill_input(exchange, cluster, tracked, view, now_us, &input);
	pd_rollout_update(&tracked->rollout, &input, now_us);
	log_phase(exchange, tracked, &input);
	pd_registry_permit_version(exchange->registry, &tracked->order, tracked->rollout.phase,
				   exchange->share / 2, now_us + PERMISSION_US);
	if (!tracked->ended_us)
		call_store(exchange, tracked, now_us);
	if (tracked->phase != tracked->rollout.phase)
		exchange->next_exposure_us = now_us;
}

/* Begins anew when this instance isn't a head any more: what it has decided is out of date when it
 * becomes one again.
 */
static void reset_rollout(struct pd_rollout_tracked *tracked)
{
	if (!tracked->rollout.started_us)
		return;
	pd_rollout_finish(&tracked->rollout);
	pd_rollout_init(&tracked->rollout);
	pd_rollout_observe(&tracked->rollout, tracked->order.state, tracked->order.revision);
	tracked->decision_logged = PD_ROLLOUT_NONE;
}

static bool is_ignored(struct pd_rollout_tracked *tracked, const struct pd_version_view *view)
{
	if (!view->exists && !tracked->ignored)
		pd_log(PD_LOG_WARNING, "rollout_ignored",
		       "service=%s version=%s reason=unknown_service", tracked->order.service.text,
		       tracked->order.target.text);
	tracked->ignored = !view->exists;
	return tracked->ignored;
}

void pd_rollout_exchange_tick(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			      int64_t now_us)
{
	struct pd_cluster_view instances;

	if (!exchange->enabled)
		return;
	refresh_orders(exchange, now_us);
	pd_cluster_view(cluster, now_us, &instances);
	if (!instances.is_head)
		exchange->head_since_us = 0;
	else if (!exchange->head_since_us)
		exchange->head_since_us = now_us;
	for (size_t i = 0; i < exchange->tracked_count; i++) {
		struct pd_rollout_tracked *tracked = exchange->tracked[i];
		struct pd_version_view view;
		struct pd_rollout_origin *own;

		if (tracked->ended_us && now_us - tracked->ended_us > OUTCOME_STATED_US)
			continue;
		own = update_own(exchange, tracked, cluster->incarnation, now_us, &view);
		if (is_ignored(tracked, &view))
			continue;
		if (instances.is_head)
			lead(exchange, cluster, tracked, &view, now_us);
		else
			reset_rollout(tracked);
		send_evidence(cluster, tracked, own, instances.is_head, now_us);
	}
	if (!instances.is_head || now_us < exchange->next_exposure_us)
		return;
	exchange->next_exposure_us = now_us + EXPOSURE_INTERVAL_US;
	send_exposure(exchange, cluster, now_us);
}

/* Finds the order of a datagram, whose age may be larger than the known one. */
static struct pd_rollout_tracked *find_aged(struct pd_rollout_exchange *exchange,
					    const struct pd_rollout_order *order)
{
	struct pd_rollout_tracked *tracked = find_tracked(exchange, order);

	if (tracked && order->started_us < tracked->order.started_us) {
		tracked->order.started_us = order->started_us;
		pd_directory_age_rollout(exchange->directory, order, order->started_us);
	}
	return tracked;
}

/* Returns the entry of a head, which is added if it is new; NULL if there are too many. */
static struct pd_rollout_head *get_head(struct pd_rollout_tracked *tracked,
					const struct pd_datagram *datagram)
{
	size_t i = 0;

	while (i < tracked->head_count &&
	       !pd_name_equal(&tracked->heads[i].name, &datagram->sender))
		i++;
	if (i == PD_CLUSTER_HEADS_MAX)
		return NULL;
	if (i == tracked->head_count)
		tracked->heads[tracked->head_count++] = (struct pd_rollout_head){0};
	return &tracked->heads[i];
}

/* Reads what another head states @lag_us after it was sent. */
static bool receive_statement(struct pd_rollout_tracked *tracked, struct pd_datagram_reader *reader,
			      const struct pd_datagram *datagram, int64_t lag_us, int64_t now_us)
{
	struct pd_rollout_head stated = {.name = datagram->sender,
					 .zone = datagram->zone,
					 .incarnation = datagram->incarnation,
					 .stamp = pd_datagram_get_uint(reader),
					 .heard_us = now_us};
	uint64_t phase = pd_datagram_get_uint(reader), decided = pd_datagram_get_uint(reader);
	uint64_t state = pd_datagram_get_uint(reader), full_us = pd_datagram_get_uint(reader);
	struct pd_rollout_head *head;

	stated.drained = pd_datagram_get_uint(reader) != 0;
	if (reader->failed || phase > PD_ROLLOUT_FULL || decided > PD_ROLLOUT_ROLLED_BACK ||
	    state > PD_ROLLOUT_ROLLED_BACK || full_us > INT64_MAX / 2)
		return false;
	stated.phase = (enum pd_rollout_phase)phase;
	stated.decided = (enum pd_rollout_state)decided;
	stated.state = (enum pd_rollout_state)state;
	stated.full_until_us = full_us ? now_us + (int64_t)full_us - lag_us : 0;
	head = get_head(tracked, datagram);
	if (head && (head->incarnation != stated.incarnation || stated.stamp > head->stamp))
		*head = stated;
	return true;
}

static void receive_evidence(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			     const struct pd_datagram *datagram, int64_t now_us)
{
	struct pd_rollout_tracked *tracked;
	struct pd_datagram_reader reader;
	struct pd_rollout_order order;
	bool from_head;

	pd_datagram_reader_init(&reader, datagram->payload);
	from_head = pd_datagram_get_uint(&reader) == FROM_HEAD;
	if (!read_order(&reader, now_us, &order))
		return;
	tracked = find_aged(exchange, &order);
	/* An instance with a source leaves the decision to it. */
	if (!exchange->head_since_us) {
		if (!from_head)
			pd_cluster_forward_to_source(cluster, datagram);
		return;
	}
	if (!tracked ||
	    (from_head && !receive_statement(tracked, &reader, datagram,
					     order.started_us - tracked->order.started_us, now_us)))
		return;
	pd_rollout_ledger_read(&tracked->ledger, &reader, !from_head, cluster->incarnation, now_us);
}

/* Takes over the permission for one order, unless a later one was received. By the age of the
 * order, it may have been waiting in the socket while this process was suspended.
 */
static void receive_permission(struct pd_rollout_exchange *exchange,
			       struct pd_rollout_tracked *tracked,
			       const struct pd_rollout_order *order, uint64_t sender,
			       uint64_t sequence, enum pd_rollout_phase phase, double share,
			       int64_t now_us)
{
	int64_t lag_us = order->started_us - tracked->order.started_us;

	if (lag_us >= PERMISSION_US ||
	    (tracked->exposure_sender == sender && tracked->exposure_sequence >= sequence))
		return;
	tracked->exposure_sender = sender;
	tracked->exposure_sequence = sequence;
	pd_registry_permit_version(exchange->registry, &tracked->order, phase, share,
				   now_us + PERMISSION_US - lag_us);
}

static void receive_exposure(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			     const struct pd_datagram *datagram, int64_t now_us)
{
	struct pd_datagram_reader reader;
	uint64_t sender, sequence;

	if (!pd_cluster_is_source(cluster, &datagram->from))
		return;
	pd_datagram_reader_init(&reader, datagram->payload);
	sender = pd_datagram_get_uint(&reader);
	sequence = pd_datagram_get_uint(&reader);
	while (!reader.failed && !pd_datagram_reader_at_end(&reader)) {
		struct pd_rollout_tracked *tracked;
		struct pd_rollout_order order;
		uint64_t phase, share;

		if (!read_order(&reader, now_us, &order))
			return;
		phase = pd_datagram_get_uint(&reader);
		share = pd_datagram_get_uint(&reader);
		if (reader.failed || phase > PD_ROLLOUT_FULL || share > (uint64_t)SHARE_UNIT)
			return;
		tracked = find_aged(exchange, &order);
		if (tracked)
			receive_permission(exchange, tracked, &order, sender, sequence,
					   (enum pd_rollout_phase)phase, (double)share / SHARE_UNIT,
					   now_us);
	}
	pd_cluster_send_to_followers(cluster, PD_DATAGRAM_EXPOSURE, datagram->payload);
}

void pd_rollout_exchange_receive(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
				 const struct pd_datagram *datagram, int64_t now_us)
{
	if (!exchange->enabled)
		return;
	if (datagram->kind == PD_DATAGRAM_EVIDENCE)
		receive_evidence(exchange, cluster, datagram, now_us);
	else if (datagram->kind == PD_DATAGRAM_EXPOSURE)
		receive_exposure(exchange, cluster, datagram, now_us);
}
