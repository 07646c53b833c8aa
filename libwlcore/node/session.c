/*
 * An entry's session, a lease granted by the leader.  By default it is renewed each second.  Its
 * validity counts from when the renewal was sent, so that it ends on the entry's clock before the
 * leader treats it as expired.
 */

#include "session.h"

#include <string.h>

#include <libwlbase/units.h>

#define RENEW_MS_DEFAULT  1000
#define ANSWER_TIMEOUT_MS 700 /* time for an answer before the next replica is tried */
#define RETRY_MS	  100

/*
 * wl_session_init - initialize a session that is not yet open
 * @options: its strings must outlive the session
 * @now_ns: monotonic time, nanoseconds
 */
void wl_session_init(wl_session_t *session, const wl_session_options_t *options, uint64_t now_ns)
{
	memset(session, 0, sizeof(*session));
	session->options = *options;
	if (session->options.renew_ms == 0)
		session->options.renew_ms = RENEW_MS_DEFAULT;
	session->next_renew_ns = now_ns;
	session->last_answer_ns = now_ns;
}

/*
 * wl_session_free - release a session
 */
void wl_session_free(wl_session_t *session)
{
	wl_buf_free(&session->leader);
	wl_buf_free(&session->silent);
}

/*
 * wl_session_valid - whether the entry may accept new work
 * @now_ns: monotonic time, nanoseconds
 */
bool wl_session_valid(const wl_session_t *session, uint64_t now_ns)
{
	return session->id != 0 && now_ns < session->valid_until_ns;
}

/*
 * wl_session_close - end the validity and stop renewing, because the session is being ended
 */
void wl_session_close(wl_session_t *session)
{
	session->closed = true;
	session->valid_until_ns = 0;
}

/*
 * wl_session_stores_set - set the replicas to ask while no leader is known
 * @stores: must stay valid until the next call or the end of the session
 * @count: number of replicas
 */
void wl_session_stores_set(wl_session_t *session, const wl_str_t *stores, size_t count)
{
	session->options.stores = stores;
	session->options.store_count = count;
}

/* Returns the leader if it is known and answers, otherwise the next replica in turn. */
static wl_str_t session_peer(wl_session_t *session, uint64_t now_ns)
{
	const wl_session_options_t *options = &session->options;
	uint64_t silent_ns = now_ns - session->last_answer_ns;

	if (session->leader.len &&
	    silent_ns > ANSWER_TIMEOUT_MS * WL_NS_PER_MS + options->renew_ms * WL_NS_PER_MS) {
		wl_buf_set(&session->silent, wl_buf_str(&session->leader));
		wl_buf_clear(&session->leader);
	}
	if (session->leader.len)
		return wl_buf_str(&session->leader);
	if (options->store_count == 0)
		return WL_STR("");
	return options->stores[session->next_store++ % options->store_count];
}

static void session_renew(wl_session_t *session, const wl_view_t *view, uint64_t now_ns,
			  wl_out_t *out)
{
	const wl_session_options_t *options = &session->options;
	wl_str_t peer = session_peer(session, now_ns);
	wl_msg_renew_t *renew;
	bool known = session->leader.len > 0;

	session->next_renew_ns = now_ns + (known ? options->renew_ms : RETRY_MS) * WL_NS_PER_MS;
	if (peer.len == 0)
		return;
	renew = &wl_out_send(out, peer, WL_MSG_RENEW)->u.renew;
	wl_buf_set(&renew->entry, options->entry);
	wl_buf_set(&renew->address, options->address);
	wl_buf_set(&renew->availability_zone, options->availability_zone);
	renew->boot = options->boot;
	renew->session = session->id;
	renew->group = view->group;
	renew->sent_ns = now_ns;
	renew->revision = view->revision;
	renew->owners_index = view->owners_index;
	renew->draining = session->draining;
}

static void session_granted(wl_session_t *session, const wl_msg_renewed_t *renewed, wl_str_t peer,
			    uint64_t now_ns, wl_out_t *out)
{
	uint64_t until_ns = renewed->sent_ns + renewed->validity_ms * WL_NS_PER_MS;

	if (session->id != renewed->session) {
		wl_out_log(out, WL_INFO, "session-open", "session=%llu leader=" WL_STR_FMT,
			   (unsigned long long)renewed->session, WL_STR_ARG(peer));
		session->id = renewed->session;
		session->valid_until_ns = 0;
	}
	if (until_ns > session->valid_until_ns)
		session->valid_until_ns = until_ns;
	session->last_answer_ns = now_ns;
	if (renewed->sent_ns > session->granted_sent_ns)
		session->granted_sent_ns = renewed->sent_ns;
	wl_buf_set(&session->leader, peer);
	wl_buf_clear(&session->silent);
}

/* A replica may name a leader that has fallen silent until it gives that up itself. */
static void session_redirected(wl_session_t *session, const wl_msg_renewed_t *renewed,
			       uint64_t now_ns)
{
	if (renewed->sent_ns < session->granted_sent_ns)
		return;
	wl_buf_clear(&session->leader);
	if (renewed->leader.len == 0 ||
	    wl_str_equal(wl_buf_str(&renewed->leader), wl_buf_str(&session->silent)))
		return;
	wl_buf_set(&session->leader, wl_buf_str(&renewed->leader));
	session->last_answer_ns = now_ns;
	session->next_renew_ns = now_ns;
}

static void session_answered(wl_session_t *session, const wl_view_t *view,
			     const wl_msg_renewed_t *renewed, wl_str_t peer, uint64_t now_ns,
			     wl_out_t *out)
{
	if (session->closed || renewed->boot != session->options.boot || renewed->sent_ns > now_ns)
		return;
	if (view->group != 0 && renewed->group != 0 && renewed->group != view->group) {
		wl_out_log(out, WL_ERROR, "session-other-group", "leader=" WL_STR_FMT,
			   WL_STR_ARG(peer));
		return;
	}
	if (renewed->code == WL_OK) {
		session_granted(session, renewed, peer, now_ns, out);
		return;
	}
	if (renewed->code == WL_E_NO_SESSION) {
		session->id = 0;
		session->valid_until_ns = 0;
		session->next_renew_ns = now_ns;
		return;
	}
	session_redirected(session, renewed, now_ns);
}

/*
 * wl_session_step - process an event
 * @view: renewals report its group, revision and ownership index to the leader
 * @now_ns: monotonic time, nanoseconds
 * @event: TICK, PEER with WL_MSG_RENEWED, VIEW (acknowledged by a renewal at once), or DRAIN
 * @out: receives the resulting actions
 */
void wl_session_step(wl_session_t *session, wl_view_t *view, uint64_t now_ns,
		     const wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_PEER && event->msg.kind == WL_MSG_RENEWED)
		session_answered(session, view, &event->msg.u.renewed, wl_buf_str(&event->peer),
				 now_ns, out);
	if (event->kind == WL_EVENT_DRAIN)
		session->draining = true;
	if (event->kind == WL_EVENT_DRAIN || event->kind == WL_EVENT_VIEW)
		session->next_renew_ns = now_ns;
	if (now_ns >= session->next_renew_ns && !session->closed)
		session_renew(session, view, now_ns, out);
}
