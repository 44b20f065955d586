#include "peer_api.h"

#include <stdlib.h>

/**
 * struct peer_request - a sub-request of a peer whose reply is not sent yet
 * @link: connection to send the reply on; holds a reference
 * @call: call id of the sub-request
 */
struct peer_request {
	struct pd_link *link;
	uint64_t call;
};

static void send_reply(void *arg, const struct pd_msg_subreply *reply)
{
	struct peer_request *request = arg;
	struct pd_message msg = {.type = PD_MSG_SUBREPLY};

	msg.subreply = *reply;
	msg.subreply.call = request->call;
	/* Errors are ignored: if the connection has ended, the peer reports the sub-request as
	 * lost. */
	pd_link_send(request->link, &msg, NULL);
	pd_link_put(request->link);
	free(request);
}

static void on_subrequest(void *arg, struct pd_link *link, const struct pd_msg_subrequest *req)
{
	struct pd_instance *instance = arg;
	struct peer_request *request = malloc(sizeof(*request));

	if (!request) {
		pd_link_close(link);
		return;
	}
	request->link = pd_link_get(link);
	request->call = req->call;
	pd_upstreams_submit(instance->upstreams, req, pd_link_id(link), send_reply, request);
}

static void on_cancel(void *arg, uint64_t link_id, uint64_t call)
{
	struct pd_instance *instance = arg;

	pd_upstreams_cancel(instance->upstreams, link_id, call);
}

static void on_link_closed(void *arg, uint64_t link_id)
{
	struct pd_instance *instance = arg;

	pd_upstreams_cancel_origin(instance->upstreams, link_id);
}

static void on_other_message(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	struct pd_instance *instance = arg;

	if (msg->type == PD_MSG_SUSPECT) {
		pd_suspects_merge(instance->suspects, &msg->suspect, pd_os_now_us());
		return;
	}
	pd_config_sync_handle_message(instance->config_sync, link, msg);
}

static bool on_in_flight_check(void *arg, struct pd_str member)
{
	struct pd_instance *instance = arg;

	return pd_upstreams_none_in_flight_for(instance->upstreams, member);
}

static uint64_t on_config_version(void *arg)
{
	struct pd_instance *instance = arg;
	struct pd_config *config = pd_config_holder_read(&instance->config);
	uint64_t version = config->version;

	pd_config_put(config);
	return version;
}

static void on_hello_received(void *arg, struct pd_link *link)
{
	struct pd_instance *instance = arg;

	pd_config_sync_send_index(instance->config_sync, link);
}

static void on_peer_config_version(void *arg, struct pd_link *link, uint64_t version)
{
	struct pd_instance *instance = arg;

	pd_config_sync_handle_peer_config_version(instance->config_sync, link, version);
}

struct pd_peers_hooks pd_peer_api_hooks(struct pd_instance *instance)
{
	return (struct pd_peers_hooks){
		.subrequest = on_subrequest,
		.cancel = on_cancel,
		.link_closed = on_link_closed,
		.other_message = on_other_message,
		.no_requests_in_flight_for = on_in_flight_check,
		.config_version = on_config_version,
		.hello_received = on_hello_received,
		.peer_config_version = on_peer_config_version,
		.arg = instance,
	};
}
