/*
 * The event loop: takes events from the ring, steps the node and executes its actions.
 *
 * Ticks come first: heartbeats are sent and the election timer is checked on time, however many
 * events wait.
 *
 * An action that cannot be executed at once does not block the loop: the node receives an event
 * that reports the failure, ahead of the events in the ring.  Persists are the exception: the
 * loop queues them in order until the disk thread accepts them.
 */

#include "event_loop.h"
#include "feed.h"
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

#define GAUGE_INTERVAL_NS WL_NS_PER_S
#define STEP_SLOW_MS	  200 /* a step that takes longer is logged: heartbeats wait for it */
#define TICK_LATE_MS	  200 /* a tick that is later is logged */
#define URGENT_MAX	  64  /* events between the time of a tick and the tick */

typedef struct internal_event {
	wl_event_t event;
	STAILQ_ENTRY(internal_event) link;
} internal_event_t;

typedef struct deferred_persist {
	wl_raft_persist_t persist;
	STAILQ_ENTRY(deferred_persist) link;
} deferred_persist_t;

struct wl_event_loop {
	wl_event_loop_options_t options;
	pthread_t thread;
	unsigned int stopping;
	unsigned int draining;
	unsigned int outcome;
	/* used by the loop thread only */
	wl_feed_t *feed;
	uint64_t stepped_ns; /* when the newest step ended */
	bool drain_delivered;
	uint64_t next_tick_ns;
	uint64_t next_gauge_ns;
	uint64_t sends_refused;
	uint64_t fetches_refused;
	uint64_t persists_deferred;
	uint64_t intake_turned_away; /* connections closed and requests refused for lack of room */
	wl_out_t out;
	STAILQ_HEAD(, internal_event) internal_events;
	STAILQ_HEAD(, deferred_persist) deferred_persists;
};

static uint64_t wall_ms(void)
{
	struct timespec at;

	clock_gettime(CLOCK_REALTIME, &at);
	return (uint64_t)at.tv_sec * WL_MS_PER_S + (uint64_t)at.tv_nsec / WL_NS_PER_MS;
}

static wl_event_t *internal_event_add(wl_event_loop_t *loop, wl_event_kind_t kind)
{
	internal_event_t *internal = wl_alloc(sizeof(*internal));

	wl_event_init(&internal->event, kind);
	STAILQ_INSERT_TAIL(&loop->internal_events, internal, link);
	return &internal->event;
}

static void outcome_set(wl_event_loop_t *loop, wl_outcome_t outcome)
{
	uint64_t one = 1;

	if (ck_pr_load_uint(&loop->outcome) != WL_OUTCOME_NONE)
		return;
	ck_pr_store_uint(&loop->outcome, outcome);
	while (write(loop->options.outcome_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
}

/* The request was not sent: answers it locally with the verdict "not run". */
static void request_reject(wl_event_loop_t *loop, const wl_action_t *action)
{
	wl_event_t *event = internal_event_add(loop, WL_EVENT_PEER);
	wl_msg_answer_t *answer = &event->msg.u.answer;

	wl_buf_set(&event->peer, wl_buf_str(&action->peer));
	wl_msg_init(&event->msg, WL_MSG_ANSWER);
	answer->id = action->msg.u.request.id;
	answer->session = action->msg.u.request.session;
	answer->code = WL_E_OVERLOADED;
	answer->verdict = WL_NOT_RUN;
	wl_buf_set(&answer->text, WL_STR("no connection to the peer, or its send queue is full"));
}

/* The orders were not sent: tells the scheduler so, as if their agent had. */
static void orders_reject(wl_event_loop_t *loop, const wl_action_t *action)
{
	wl_event_t *event = internal_event_add(loop, WL_EVENT_PEER);

	wl_buf_set(&event->peer, wl_buf_str(&action->peer));
	wl_msg_orders_reject(&action->msg.u.orders, &event->msg);
}

static void do_send(wl_event_loop_t *loop, wl_action_t *action)
{
	if (wl_peers_send(loop->options.peers, wl_buf_str(&action->peer), &action->msg))
		return;
	loop->sends_refused++;
	if (action->msg.kind == WL_MSG_REQUEST)
		request_reject(loop, action);
	if (action->msg.kind == WL_MSG_ORDERS)
		orders_reject(loop, action);
}

static void do_dial(wl_event_loop_t *loop, wl_action_t *action)
{
	wl_peers_dial(loop->options.peers, wl_buf_str(&action->peer), wl_buf_str(&action->address));
}

static wl_http_server_t *server_by_call(const wl_event_loop_t *loop, uint64_t call)
{
	if (call % WL_CALL_STEP == WL_CALLER_FIRST % WL_CALL_STEP)
		return loop->options.caller;
	if (call % WL_CALL_STEP == WL_CONTROL_FIRST % WL_CALL_STEP)
		return loop->options.control;
	return loop->options.metrics;
}

static void do_reply(wl_event_loop_t *loop, wl_action_t *action)
{
	wl_http_server_t *server = server_by_call(loop, action->reply.call);

	if (server)
		wl_http_server_reply(server, &action->reply);
}

static void do_caller_check(wl_event_loop_t *loop, const wl_action_t *action)
{
	wl_http_server_t *server = server_by_call(loop, action->caller);
	bool present = server && wl_http_server_caller_waits(server, action->caller);

	internal_event_add(loop, present ? WL_EVENT_CALL_PRESENT : WL_EVENT_CALL_ABANDONED)
		->call.id = action->caller;
}

static void do_fetch(wl_event_loop_t *loop, wl_action_t *action)
{
	wl_event_t *event;

	if (wl_http_client_fetch(loop->options.client, &action->fetch))
		return;
	loop->fetches_refused++;
	event = internal_event_add(loop, WL_EVENT_FETCHED);
	event->fetched.id = action->fetch.id;
	event->fetched.held = true;
	wl_buf_set(&event->fetched.error, WL_STR("overloaded"));
}

static void do_fetch_cancel(wl_event_loop_t *loop, wl_action_t *action)
{
	wl_http_client_cancel(loop->options.client, action->fetch.id);
}

static void do_persist(wl_event_loop_t *loop, wl_action_t *action)
{
	deferred_persist_t *deferred;

	if (STAILQ_EMPTY(&loop->deferred_persists) &&
	    wl_disk_persist(loop->options.disk, &action->persist))
		return;
	loop->persists_deferred++;
	deferred = wl_alloc(sizeof(*deferred));
	deferred->persist = action->persist;
	memset(&action->persist, 0, sizeof(action->persist));
	STAILQ_INSERT_TAIL(&loop->deferred_persists, deferred, link);
}

static void deferred_persists_retry(wl_event_loop_t *loop)
{
	deferred_persist_t *deferred;

	while ((deferred = STAILQ_FIRST(&loop->deferred_persists)) != NULL) {
		if (!wl_disk_persist(loop->options.disk, &deferred->persist))
			return;
		STAILQ_REMOVE_HEAD(&loop->deferred_persists, link);
		free(deferred);
	}
}

static void do_log(wl_event_loop_t *loop, wl_action_t *action)
{
	(void)loop;
	wl_log_line(action->level, wl_buf_str(&action->line));
}

static void do_exit(wl_event_loop_t *loop, wl_action_t *action)
{
	bool late = wl_str_equal(wl_buf_str(&action->line), WL_STR("drain-late"));

	outcome_set(loop, late ? WL_OUTCOME_LATE : WL_OUTCOME_DRAINED);
}

static void do_fatal(wl_event_loop_t *loop, wl_action_t *action)
{
	wl_log_event(WL_ERROR, "fatal", "reason=\"" WL_STR_FMT "\"",
		     WL_STR_ARG(wl_buf_str(&action->line)));
	outcome_set(loop, WL_OUTCOME_FATAL);
}

static void do_action(wl_event_loop_t *loop, wl_action_t *action)
{
	switch (action->kind) {
	case WL_ACTION_SEND:
		do_send(loop, action);
		return;
	case WL_ACTION_DIAL:
		do_dial(loop, action);
		return;
	case WL_ACTION_REPLY:
		do_reply(loop, action);
		return;
	case WL_ACTION_CALLER_CHECK:
		do_caller_check(loop, action);
		return;
	case WL_ACTION_FETCH:
		do_fetch(loop, action);
		return;
	case WL_ACTION_FETCH_CANCEL:
		do_fetch_cancel(loop, action);
		return;
	case WL_ACTION_PERSIST:
		do_persist(loop, action);
		return;
	case WL_ACTION_LOG:
		do_log(loop, action);
		return;
	case WL_ACTION_EXIT:
		do_exit(loop, action);
		return;
	case WL_ACTION_FATAL:
		do_fatal(loop, action);
		return;
	case WL_ACTION_PROPOSE:
	case WL_ACTION_LEADER_CALL:
		return; /* handled inside the node */
	}
}

static void loop_step(wl_event_loop_t *loop, wl_event_t *event)
{
	const char *name = wl_node_event_name(event->kind);
	uint64_t began_ns = wl_clock_ns();
	uint64_t ms;

	if (ck_pr_load_uint(&loop->outcome) == WL_OUTCOME_FATAL)
		return;
	wl_node_step(loop->options.node, began_ns, event, &loop->out);
	for (size_t i = 0; i < loop->out.count; i++)
		do_action(loop, &loop->out.actions[i]);
	loop->stepped_ns = wl_clock_ns();
	ms = (loop->stepped_ns - began_ns) / WL_NS_PER_MS;
	if (ms >= STEP_SLOW_MS)
		wl_log_event(WL_WARN, "step-slow", "kind=%s ms=%llu actions=%zu", name,
			     (unsigned long long)ms, loop->out.count);
	wl_out_clear(&loop->out);
}

static void internal_events_step(wl_event_loop_t *loop)
{
	internal_event_t *internal;

	while ((internal = STAILQ_FIRST(&loop->internal_events)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop->internal_events, link);
		loop_step(loop, &internal->event);
		wl_event_free(&internal->event);
		free(internal);
	}
}

static void intake_add(wl_http_server_t *server, wl_http_intake_t *sum)
{
	wl_http_intake_t intake;

	if (!server)
		return;
	wl_http_server_intake(server, &intake);
	sum->bytes += intake.bytes;
	sum->connections += intake.connections;
	sum->refused += intake.refused;
	for (size_t i = 0; i < WL_INTAKE_PHASES; i++)
		sum->closed[i] += intake.closed[i];
}

/* Logs, once an interval, that the listeners have turned callers away for lack of room. */
static void intake_report(wl_event_loop_t *loop)
{
	wl_http_intake_t sum = {0};
	uint64_t turned_away;

	intake_add(loop->options.caller, &sum);
	intake_add(loop->options.control, &sum);
	turned_away = sum.refused;
	for (size_t i = 0; i < WL_INTAKE_PHASES; i++)
		turned_away += sum.closed[i];
	if (turned_away > loop->intake_turned_away)
		wl_log_event(WL_WARN, "intake-full", "turned_away=%llu bytes=%llu connections=%llu",
			     (unsigned long long)(turned_away - loop->intake_turned_away),
			     (unsigned long long)sum.bytes, (unsigned long long)sum.connections);
	loop->intake_turned_away = turned_away;
}

static void gauges_report(wl_event_loop_t *loop)
{
	wl_gauges_t gauges;
	wl_event_t event;

	gauges.count = 0;
	wl_gauges_add(&gauges, "wisterialead_daemon_sends_refused_total", "", loop->sends_refused);
	wl_gauges_add(&gauges, "wisterialead_daemon_fetches_refused_total", "",
		      loop->fetches_refused);
	wl_gauges_add(&gauges, "wisterialead_daemon_events_waiting", "", wl_feed_count(loop->feed));
	if (loop->options.disk)
		wl_gauges_add(&gauges, "wisterialead_daemon_persists_late_total", "",
			      loop->persists_deferred);
	wl_gauges_collect(&gauges, &loop->options);
	wl_event_init(&event, WL_EVENT_GAUGES);
	event.gauges = gauges.rows;
	event.gauge_count = gauges.count;
	loop_step(loop, &event);
}

static void loop_tick(wl_event_loop_t *loop, uint64_t now_ns)
{
	uint64_t due_ns = loop->next_tick_ns;
	uint64_t late_ms = due_ns ? (now_ns - due_ns) / WL_NS_PER_MS : 0;
	wl_event_t tick;

	if (late_ms >= TICK_LATE_MS)
		wl_log_event(WL_WARN, "tick-late", "ms=%llu waiting=%u",
			     (unsigned long long)late_ms, wl_feed_count(loop->feed));
	loop->next_tick_ns = now_ns + wl_node_tick_ns(loop->options.node);
	if (loop->options.disk && wl_disk_failed(loop->options.disk))
		outcome_set(loop, WL_OUTCOME_FATAL);
	if (ck_pr_load_uint(&loop->draining) && !loop->drain_delivered) {
		loop->drain_delivered = true;
		internal_event_add(loop, WL_EVENT_DRAIN);
	}
	if (now_ns >= loop->next_gauge_ns) {
		loop->next_gauge_ns = now_ns + GAUGE_INTERVAL_NS;
		gauges_report(loop);
		intake_report(loop);
	}
	wl_event_init(&tick, WL_EVENT_TICK);
	tick.made_ns = due_ns;
	tick.wall_ms = wall_ms();
	loop_step(loop, &tick);
	internal_events_step(loop);
}

static int wait_ms(const wl_event_loop_t *loop, uint64_t now_ns)
{
	if (now_ns >= loop->next_tick_ns)
		return 0;
	return (int)((loop->next_tick_ns - now_ns + WL_NS_PER_MS - 1) / WL_NS_PER_MS);
}

static void event_take(wl_event_loop_t *loop, wl_event_t *event)
{
	loop_step(loop, event);
	wl_event_free(event);
	free(event);
	internal_events_step(loop);
}

/* A heartbeat that has arrived counts before the election timer is checked. */
static void urgent_events(wl_event_loop_t *loop)
{
	wl_event_t *event;

	for (int i = 0; i < URGENT_MAX && (event = wl_feed_pop_urgent(loop->feed)); i++)
		event_take(loop, event);
}

/* Takes events until a tick is due, or none is left. */
static void loop_events(wl_event_loop_t *loop)
{
	wl_event_t *event = wl_feed_wait(loop->feed, wait_ms(loop, wl_clock_ns()));

	while (event) {
		event_take(loop, event);
		event = wl_feed_next(loop->feed, loop->stepped_ns, loop->next_tick_ns);
	}
}

static void *loop_main(void *arg)
{
	wl_event_loop_t *loop = arg;
	uint64_t now_ns;

	pthread_setname_np(pthread_self(), "wl-decide");
	while (!ck_pr_load_uint(&loop->stopping)) {
		loop_events(loop);
		if (loop->options.disk)
			deferred_persists_retry(loop);
		now_ns = wl_clock_ns();
		if (now_ns < loop->next_tick_ns)
			continue;
		urgent_events(loop);
		loop_tick(loop, wl_clock_ns());
	}
	return NULL;
}

/*
 * wl_event_loop_start - start the event loop thread
 * @options: everything that it points to must outlive the thread
 * @err: WL_E_IO
 *
 * Return: the event loop, or NULL.
 */
wl_event_loop_t *wl_event_loop_start(const wl_event_loop_options_t *options, wl_err_t *err)
{
	wl_event_loop_t *loop = wl_alloc(sizeof(*loop));

	memset(loop, 0, sizeof(*loop));
	loop->options = *options;
	loop->feed = wl_feed_new(options->events, options->queue_slots);
	wl_out_init(&loop->out);
	STAILQ_INIT(&loop->internal_events);
	STAILQ_INIT(&loop->deferred_persists);
	if (pthread_create(&loop->thread, NULL, loop_main, loop) == 0)
		return loop;
	wl_err_set(err, WL_E_IO, WL_NOT_RUN, "event loop: pthread_create failed");
	wl_feed_free(loop->feed);
	free(loop);
	return NULL;
}

/*
 * wl_event_loop_drain - begin a drain of the node; may be called from any thread
 */
void wl_event_loop_drain(wl_event_loop_t *loop)
{
	ck_pr_store_uint(&loop->draining, 1);
}

/*
 * wl_event_loop_outcome - read the outcome; the thread runs until wl_event_loop_stop()
 *
 * Return: WL_OUTCOME_NONE while the node is running.
 */
wl_outcome_t wl_event_loop_outcome(const wl_event_loop_t *loop)
{
	return (wl_outcome_t)ck_pr_load_uint(&loop->outcome);
}

/*
 * wl_event_loop_stop - stop the thread and free the event loop; NULL is allowed
 */
void wl_event_loop_stop(wl_event_loop_t *loop)
{
	deferred_persist_t *deferred;
	internal_event_t *internal;

	if (!loop)
		return;
	ck_pr_store_uint(&loop->stopping, 1);
	pthread_join(loop->thread, NULL);
	while ((internal = STAILQ_FIRST(&loop->internal_events)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop->internal_events, link);
		wl_event_free(&internal->event);
		free(internal);
	}
	while ((deferred = STAILQ_FIRST(&loop->deferred_persists)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop->deferred_persists, link);
		wl_raft_persist_free(&deferred->persist);
		free(deferred);
	}
	wl_out_free(&loop->out);
	wl_feed_free(loop->feed);
	free(loop);
}
