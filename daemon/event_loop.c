/*
 * The thread that decides: takes events off the ring, steps the node and
 * carries out its actions.
 *
 * An action that can't be taken at once never waits: it comes back to the node
 * as the event that says so, ahead of what is on the ring.  Changes for the disk
 * are the exception, they are kept here in order until the disk takes them.
 */

#include "event_loop.h"
#include "gauges.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include <libwlbase/clock.h>
#include <libwlbase/log.h>
#include <libwlbase/units.h>

#define GAUGE_NS   WL_NS_PER_S
#define BATCH_MOST 256 /* events between two looks at the clock for a tick */

typedef struct own_event {
	wl_event_t event;
	STAILQ_ENTRY(own_event) link;
} own_event_t;

typedef struct late_persist {
	wl_raft_persist_t persist;
	STAILQ_ENTRY(late_persist) link;
} late_persist_t;

struct wl_decide {
	wl_decide_options_t options;
	pthread_t thread;
	unsigned int stopping;
	unsigned int draining;
	unsigned int outcome;
	/* the thread's own */
	bool drain_seen;
	uint64_t next_tick_ns;
	uint64_t next_gauge_ns;
	uint64_t sends_refused;
	uint64_t fetches_refused;
	uint64_t persists_late;
	wl_out_t out;
	STAILQ_HEAD(, own_event) own;
	STAILQ_HEAD(, late_persist) late;
};

static uint64_t wall_ms(void)
{
	struct timespec at;

	clock_gettime(CLOCK_REALTIME, &at);
	return (uint64_t)at.tv_sec * WL_MS_PER_S + (uint64_t)at.tv_nsec / WL_NS_PER_MS;
}

static wl_event_t *own_add(wl_decide_t *decide, wl_event_kind_t kind)
{
	own_event_t *own = wl_alloc(sizeof(*own));

	wl_event_init(&own->event, kind);
	STAILQ_INSERT_TAIL(&decide->own, own, link);
	return &own->event;
}

static void decide_end(wl_decide_t *decide, wl_outcome_t outcome)
{
	uint64_t one = 1;

	if (ck_pr_load_uint(&decide->outcome) != WL_OUTCOME_NONE)
		return;
	ck_pr_store_uint(&decide->outcome, outcome);
	while (write(decide->options.notice_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
}

/* The message never left: the asker learns at once that its request did not run. */
static void request_refused(wl_decide_t *decide, const wl_action_t *action)
{
	wl_event_t *event = own_add(decide, WL_EVENT_PEER);
	wl_msg_answer_t *answer = &event->msg.u.answer;

	wl_buf_set(&event->peer, wl_buf_str(&action->peer));
	wl_msg_init(&event->msg, WL_MSG_ANSWER);
	answer->id = action->msg.u.request.id;
	answer->session = action->msg.u.request.session;
	answer->code = WL_E_OVERLOADED;
	answer->verdict = WL_NOT_RUN;
	wl_buf_set(&answer->text, WL_STR("link is down or its queue is full"));
}

static void do_send(wl_decide_t *decide, wl_action_t *action)
{
	if (wl_peers_send(decide->options.peers, wl_buf_str(&action->peer), &action->msg))
		return;
	decide->sends_refused++;
	if (action->msg.kind == WL_MSG_REQUEST)
		request_refused(decide, action);
}

static void do_dial(wl_decide_t *decide, wl_action_t *action)
{
	wl_peers_dial(decide->options.peers, wl_buf_str(&action->peer),
		      wl_buf_str(&action->address));
}

static wl_http_server_t *server_of(const wl_decide_t *decide, uint64_t call)
{
	if (call % WL_CALL_STEP == WL_CALLER_FIRST % WL_CALL_STEP)
		return decide->options.caller;
	if (call % WL_CALL_STEP == WL_CONTROL_FIRST % WL_CALL_STEP)
		return decide->options.control;
	return decide->options.metrics;
}

static void do_reply(wl_decide_t *decide, wl_action_t *action)
{
	wl_http_server_t *server = server_of(decide, action->reply.call);

	if (server)
		wl_http_server_reply(server, &action->reply);
}

static void do_fetch(wl_decide_t *decide, wl_action_t *action)
{
	wl_event_t *event;

	if (wl_http_client_fetch(decide->options.client, &action->fetch))
		return;
	decide->fetches_refused++;
	event = own_add(decide, WL_EVENT_FETCHED);
	event->fetched.id = action->fetch.id;
	wl_buf_set(&event->fetched.error, WL_STR("overloaded"));
}

static void do_fetch_cancel(wl_decide_t *decide, wl_action_t *action)
{
	wl_http_client_cancel(decide->options.client, action->fetch.id);
}

static void do_persist(wl_decide_t *decide, wl_action_t *action)
{
	late_persist_t *late;

	if (STAILQ_EMPTY(&decide->late) && wl_disk_persist(decide->options.disk, &action->persist))
		return;
	decide->persists_late++;
	late = wl_alloc(sizeof(*late));
	late->persist = action->persist;
	memset(&action->persist, 0, sizeof(action->persist));
	STAILQ_INSERT_TAIL(&decide->late, late, link);
}

static void persist_late(wl_decide_t *decide)
{
	late_persist_t *late;

	while ((late = STAILQ_FIRST(&decide->late)) != NULL) {
		if (!wl_disk_persist(decide->options.disk, &late->persist))
			return;
		STAILQ_REMOVE_HEAD(&decide->late, link);
		free(late);
	}
}

static void do_log(wl_decide_t *decide, wl_action_t *action)
{
	(void)decide;
	wl_log_line(action->level, wl_buf_str(&action->line));
}

static void do_exit(wl_decide_t *decide, wl_action_t *action)
{
	bool late = wl_str_equal(wl_buf_str(&action->line), WL_STR("drain-late"));

	decide_end(decide, late ? WL_OUTCOME_LATE : WL_OUTCOME_DRAINED);
}

static void do_fatal(wl_decide_t *decide, wl_action_t *action)
{
	wl_log_event(WL_ERROR, "fatal", "reason=\"" WL_STR_FMT "\"",
		     WL_STR_ARG(wl_buf_str(&action->line)));
	decide_end(decide, WL_OUTCOME_FATAL);
}

static void do_action(wl_decide_t *decide, wl_action_t *action)
{
	switch (action->kind) {
	case WL_ACTION_SEND:
		do_send(decide, action);
		return;
	case WL_ACTION_DIAL:
		do_dial(decide, action);
		return;
	case WL_ACTION_REPLY:
		do_reply(decide, action);
		return;
	case WL_ACTION_FETCH:
		do_fetch(decide, action);
		return;
	case WL_ACTION_FETCH_CANCEL:
		do_fetch_cancel(decide, action);
		return;
	case WL_ACTION_PERSIST:
		do_persist(decide, action);
		return;
	case WL_ACTION_LOG:
		do_log(decide, action);
		return;
	case WL_ACTION_EXIT:
		do_exit(decide, action);
		return;
	case WL_ACTION_FATAL:
		do_fatal(decide, action);
		return;
	case WL_ACTION_PROPOSE:
	case WL_ACTION_LEADER_CALL:
		return; /* the node's own */
	}
}

static void decide_step(wl_decide_t *decide, wl_event_t *event)
{
	if (ck_pr_load_uint(&decide->outcome) == WL_OUTCOME_FATAL)
		return;
	wl_node_step(decide->options.node, wl_clock_ns(), event, &decide->out);
	for (size_t i = 0; i < decide->out.count; i++)
		do_action(decide, &decide->out.actions[i]);
	wl_out_clear(&decide->out);
}

static void decide_own(wl_decide_t *decide)
{
	own_event_t *own;

	while ((own = STAILQ_FIRST(&decide->own)) != NULL) {
		STAILQ_REMOVE_HEAD(&decide->own, link);
		decide_step(decide, &own->event);
		wl_event_free(&own->event);
		free(own);
	}
}

static void decide_gauges(wl_decide_t *decide)
{
	wl_gauges_t gauges;
	wl_event_t event;

	gauges.count = 0;
	wl_gauges_add(&gauges, "wisterialead_daemon_sends_refused_total", "",
		      decide->sends_refused);
	wl_gauges_add(&gauges, "wisterialead_daemon_fetches_refused_total", "",
		      decide->fetches_refused);
	if (decide->options.disk)
		wl_gauges_add(&gauges, "wisterialead_daemon_persists_late_total", "",
			      decide->persists_late);
	wl_gauges_read(&gauges, &decide->options);
	wl_event_init(&event, WL_EVENT_GAUGES);
	event.gauges = gauges.rows;
	event.gauge_count = gauges.count;
	decide_step(decide, &event);
}

static void decide_tick(wl_decide_t *decide, uint64_t now_ns)
{
	uint64_t due_ns = decide->next_tick_ns;
	wl_event_t tick;

	decide->next_tick_ns = now_ns + wl_node_tick_ns(decide->options.node);
	if (decide->options.disk && wl_disk_failed(decide->options.disk))
		decide_end(decide, WL_OUTCOME_FATAL);
	if (ck_pr_load_uint(&decide->draining) && !decide->drain_seen) {
		decide->drain_seen = true;
		own_add(decide, WL_EVENT_DRAIN);
	}
	if (now_ns >= decide->next_gauge_ns) {
		decide->next_gauge_ns = now_ns + GAUGE_NS;
		decide_gauges(decide);
	}
	wl_event_init(&tick, WL_EVENT_TICK);
	tick.made_ns = due_ns;
	tick.wall_ms = wall_ms();
	decide_step(decide, &tick);
	decide_own(decide);
}

static int wait_ms(const wl_decide_t *decide, uint64_t now_ns)
{
	if (now_ns >= decide->next_tick_ns)
		return 0;
	return (int)((decide->next_tick_ns - now_ns + WL_NS_PER_MS - 1) / WL_NS_PER_MS);
}

static void decide_events(wl_decide_t *decide)
{
	wl_event_t *event = wl_ring_wait(decide->options.events, wait_ms(decide, wl_clock_ns()));

	for (int i = 0; event; i++) {
		decide_step(decide, event);
		wl_event_free(event);
		free(event);
		decide_own(decide);
		event = i < BATCH_MOST ? wl_ring_pop(decide->options.events) : NULL;
	}
}

static void *decide_main(void *arg)
{
	wl_decide_t *decide = arg;
	uint64_t now_ns;

	pthread_setname_np(pthread_self(), "wl-decide");
	while (!ck_pr_load_uint(&decide->stopping)) {
		decide_events(decide);
		if (decide->options.disk)
			persist_late(decide);
		now_ns = wl_clock_ns();
		if (now_ns >= decide->next_tick_ns)
			decide_tick(decide, now_ns);
	}
	return NULL;
}

/*
 * wl_decide_start - start the thread
 * @options: all of it must outlive the thread
 * @err: WL_E_IO
 */
wl_decide_t *wl_decide_start(const wl_decide_options_t *options, wl_err_t *err)
{
	wl_decide_t *decide = wl_alloc(sizeof(*decide));

	memset(decide, 0, sizeof(*decide));
	decide->options = *options;
	wl_out_init(&decide->out);
	STAILQ_INIT(&decide->own);
	STAILQ_INIT(&decide->late);
	if (pthread_create(&decide->thread, NULL, decide_main, decide) == 0)
		return decide;
	wl_err_set(err, WL_E_IO, WL_NOT_RUN, "decide: no thread");
	free(decide);
	return NULL;
}

/*
 * wl_decide_drain - begin the planned stop, from any thread
 */
void wl_decide_drain(wl_decide_t *decide)
{
	ck_pr_store_uint(&decide->draining, 1);
}

/*
 * wl_decide_outcome - how the node ended, if it did; the thread goes on until it is stopped
 */
wl_outcome_t wl_decide_outcome(const wl_decide_t *decide)
{
	return (wl_outcome_t)ck_pr_load_uint(&decide->outcome);
}

/*
 * wl_decide_stop - end the thread
 */
void wl_decide_stop(wl_decide_t *decide)
{
	late_persist_t *late;
	own_event_t *own;

	if (!decide)
		return;
	ck_pr_store_uint(&decide->stopping, 1);
	pthread_join(decide->thread, NULL);
	while ((own = STAILQ_FIRST(&decide->own)) != NULL) {
		STAILQ_REMOVE_HEAD(&decide->own, link);
		wl_event_free(&own->event);
		free(own);
	}
	while ((late = STAILQ_FIRST(&decide->late)) != NULL) {
		STAILQ_REMOVE_HEAD(&decide->late, link);
		wl_raft_persist_free(&late->persist);
		free(late);
	}
	wl_out_free(&decide->out);
	free(decide);
}
