/* Collects the counters of the daemon's threads. */

#include "gauges.h"

#include <libwlbase/clock.h>
#include <libwlbase/log.h>

#define SENT(kind_) "kind=\"" kind_ "\""

/* Labels of message kinds; kinds without one are summed under "other". */
static const char *const sent_labels[WL_PEER_SENT_KINDS] = {
	[WL_MSG_RENEW] = SENT("renew"),
	[WL_MSG_RENEWED] = SENT("renewed"),
	[WL_MSG_VIEW] = SENT("view"),
	[WL_MSG_COMMAND] = SENT("command"),
	[WL_MSG_QUERY] = SENT("query"),
	[WL_MSG_RESULT] = SENT("result"),
	[WL_MSG_ANNOUNCE] = SENT("announce"),
	[WL_MSG_REQUEST] = SENT("request"),
	[WL_MSG_ANSWER] = SENT("answer"),
	[WL_MSG_CAPACITY] = SENT("room"),
	[WL_MSG_OFFER] = SENT("offer"),
	[WL_MSG_ASSIGN] = SENT("assign"),
	[WL_MSG_STOP] = SENT("stop"),
	[WL_MSG_REPORT] = SENT("report"),
	[WL_MSG_ORDERS] = SENT("orders"),
	[WL_MSG_ORDERED] = SENT("ordered"),
	[WL_MSG_KEEPALIVES] = SENT("heard"),
	[WL_PEER_KIND_RAFT + WL_RAFT_APPEND] = SENT("raft-append"),
	[WL_PEER_KIND_RAFT + WL_RAFT_APPENDED] = SENT("raft-appended"),
	[WL_PEER_KIND_RAFT + WL_RAFT_SNAPSHOT] = SENT("raft-snapshot"),
};

/*
 * wl_gauges_add - append a metric; ignored if WL_GAUGES_MAX are present
 * @name: name of the metric; like @labels, it must outlive @gauges
 */
void wl_gauges_add(wl_gauges_t *gauges, const char *name, const char *labels, uint64_t value)
{
	if (gauges->count == WL_GAUGES_MAX)
		return;
	gauges->rows[gauges->count++] = (wl_gauge_t){name, labels, value};
}

static void sent_add(wl_gauges_t *gauges, const char *labels, const wl_peer_sent_t *sent)
{
	if (sent->messages == 0)
		return;
	wl_gauges_add(gauges, "wisterialead_daemon_sent_messages_total", labels, sent->messages);
	wl_gauges_add(gauges, "wisterialead_daemon_sent_bytes_total", labels, sent->bytes);
}

static void sent_collect(wl_gauges_t *gauges, const wl_peers_t *peers)
{
	wl_peer_sent_t others = {0};

	for (size_t kind = 0; kind < WL_PEER_SENT_KINDS; kind++) {
		wl_peer_sent_t sent;

		wl_peers_sent(peers, kind, &sent);
		if (sent_labels[kind]) {
			sent_add(gauges, sent_labels[kind], &sent);
			continue;
		}
		others.messages += sent.messages;
		others.bytes += sent.bytes;
	}
	sent_add(gauges, SENT("other"), &others);
}

static void calls_collect(wl_gauges_t *gauges, const wl_http_client_t *client)
{
	wl_http_open_calls_t calls;

	wl_http_client_calls(client, &calls);
	wl_gauges_add(gauges, "wisterialead_daemon_http_calls", "state=\"queued\"", calls.queued);
	wl_gauges_add(gauges, "wisterialead_daemon_http_calls", "state=\"connecting\"",
		      calls.connecting);
	wl_gauges_add(gauges, "wisterialead_daemon_http_calls", "state=\"sent\"", calls.sent);
}

static void processor_collect(wl_gauges_t *gauges, uint64_t client_ms)
{
	wl_gauges_add(gauges, "wisterialead_daemon_processor_ms_total", "", wl_clock_process_ms());
	wl_gauges_add(gauges, "wisterialead_daemon_thread_processor_ms_total", "thread=\"decide\"",
		      wl_clock_thread_ms());
	wl_gauges_add(gauges, "wisterialead_daemon_thread_processor_ms_total",
		      "thread=\"http-out\"", client_ms);
}

typedef struct intake_labels {
	const char *listener;
	const char *closed[WL_INTAKE_PHASES];
} intake_labels_t;

#define CLOSED(listener_, phase_) "listener=\"" listener_ "\",phase=\"" phase_ "\""

static const intake_labels_t intake_labels[] = {
	[WL_LISTENER_CALLER] = {"listener=\"caller\"",
				{CLOSED("caller", "idle"), CLOSED("caller", "reading"),
				 CLOSED("caller", "whole"), CLOSED("caller", "answering")}},
	[WL_LISTENER_CONTROL] = {"listener=\"control\"",
				 {CLOSED("control", "idle"), CLOSED("control", "reading"),
				  CLOSED("control", "whole"), CLOSED("control", "answering")}},
};

static void intake_collect(wl_gauges_t *gauges, wl_listener_t listener, wl_http_server_t *server)
{
	const intake_labels_t *labels = &intake_labels[listener];
	wl_http_intake_t intake;

	wl_http_server_intake(server, &intake);
	wl_gauges_add(gauges, "wisterialead_intake_bytes", labels->listener, intake.bytes);
	wl_gauges_add(gauges, "wisterialead_intake_connections", labels->listener,
		      intake.connections);
	wl_gauges_add(gauges, "wisterialead_intake_refused_total", labels->listener,
		      intake.refused);
	for (size_t i = 0; i < WL_INTAKE_PHASES; i++)
		if (intake.closed[i])
			wl_gauges_add(gauges, "wisterialead_intake_closed_total", labels->closed[i],
				      intake.closed[i]);
}

/*
 * wl_gauges_collect - append the counters of the daemon's threads
 * @sources: what is read; its disk and caller may be NULL
 *
 * Called by the deciding thread, whose processor time is among them.
 */
void wl_gauges_collect(wl_gauges_t *gauges, const wl_event_loop_options_t *sources)
{
	uint64_t refused = wl_http_server_refused(sources->control);
	wl_http_usage_t used;

	intake_collect(gauges, WL_LISTENER_CONTROL, sources->control);
	if (sources->caller) {
		refused += wl_http_server_refused(sources->caller);
		intake_collect(gauges, WL_LISTENER_CALLER, sources->caller);
	}
	wl_gauges_add(gauges, "wisterialead_daemon_calls_refused_total", "", refused);
	wl_gauges_add(gauges, "wisterialead_daemon_peers_refused_total", "",
		      wl_peers_refused(sources->peers));
	wl_gauges_add(gauges, "wisterialead_daemon_peers", "", wl_peers_known(sources->peers));
	wl_gauges_add(gauges, "wisterialead_daemon_log_dropped_total", "", wl_log_dropped());
	wl_gauges_add(gauges, "wisterialead_daemon_log_omitted_total", "", wl_log_omitted());
	wl_http_client_usage(sources->client, &used);
	processor_collect(gauges, used.processor_ms);
	wl_gauges_add(gauges, "wisterialead_daemon_http_connections_opened_total", "",
		      used.connections);
	calls_collect(gauges, sources->client);
	sent_collect(gauges, sources->peers);
	if (sources->disk)
		wl_gauges_add(gauges, "wisterialead_daemon_syncs_total", "",
			      wl_disk_syncs(sources->disk));
}
