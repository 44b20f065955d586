#include "dispatch.h"

#include <ck_pr.h>

#include "counters.h"

/* Flag in the handle of a sub-request to an upstream that this instance owns. */
#define LOCAL_HANDLE_FLAG (1ULL << 63)
#define CANDIDATES_MAX	  3 /* members that are tried for one sub-request */

static uint64_t next_local_handle(void)
{
	static uint64_t counter;

	return LOCAL_HANDLE_FLAG | (ck_pr_faa_64(&counter, 1) + 1);
}

static void send_to_owner(struct pd_dispatch *dispatch, const struct pd_msg_subrequest *request,
			  struct pd_str zone, pd_reply_fn *reply, void *arg, uint64_t *handle)
{
	struct pd_member_record candidates[CANDIDATES_MAX];
	struct pd_msg_subreply not_sent_reply = {.status = PD_SUB_NO_UPSTREAM};
	size_t count = pd_members_candidates(dispatch->members, request->upstream, zone, candidates,
					     CANDIDATES_MAX);

	for (size_t i = 0; i < count; i++) {
		if (pd_name_equal(&candidates[i].name, &dispatch->self)) {
			struct pd_msg_subrequest local = *request;

			local.call = next_local_handle();
			*handle = local.call;
			pd_upstreams_submit(dispatch->upstreams, &local, 0, reply, arg);
			return;
		}
		/* On any error the sub-request wasn't sent, so the next candidate can be tried. */
		if (pd_peers_subrequest(dispatch->peers, pd_name_str(&candidates[i].name), request,
					reply, arg, handle, NULL) == PD_OK)
			return;
	}
	*handle = 0;
	if (count)
		not_sent_reply.status = PD_SUB_NOT_OWNER;
	reply(arg, &not_sent_reply);
}

void pd_sender_send(struct pd_sender *sender, const struct pd_msg_subrequest *request,
		    struct pd_str zone, pd_reply_fn *reply, void *arg, uint64_t *handle)
{
	switch (sender->type) {
	case PD_SENDER_DISPATCH:
		send_to_owner(sender->dispatch, request, zone, reply, arg, handle);
		break;
	case PD_SENDER_FAKE:
		sender->fake.send(sender->fake.arg, request, zone, reply, arg, handle);
		break;
	}
}

void pd_sender_cancel(struct pd_sender *sender, uint64_t handle)
{
	if (!handle)
		return;
	switch (sender->type) {
	case PD_SENDER_DISPATCH:
		if (handle & LOCAL_HANDLE_FLAG)
			pd_upstreams_cancel(sender->dispatch->upstreams, 0, handle);
		else
			pd_peers_cancel(sender->dispatch->peers, handle);
		break;
	case PD_SENDER_FAKE:
		sender->fake.cancel(sender->fake.arg, handle);
		break;
	}
}
