/* Histograms of the durations of events, commits and writes. */

#include "internal.h"

#include <stdio.h>

#define LABELS_BYTES 48

static const char *const event_names[WL_EVENT_KINDS] = {
	[WL_EVENT_TICK] = "tick",
	[WL_EVENT_PEER] = "peer",
	[WL_EVENT_PEER_UP] = "peer-up",
	[WL_EVENT_PEER_DOWN] = "peer-down",
	[WL_EVENT_CALL] = "call",
	[WL_EVENT_CALL_ABANDONED] = "call-gone",
	[WL_EVENT_CALL_PRESENT] = "call-present",
	[WL_EVENT_FETCHED] = "fetched",
	[WL_EVENT_PERSISTED] = "persisted",
	[WL_EVENT_SEEDS] = "seeds",
};

/*
 * wl_node_event_name - name of an event's kind, for logs
 */
const char *wl_node_event_name(wl_event_kind_t kind)
{
	return event_names[kind] ? event_names[kind] : "other";
}

static uint64_t elapsed_ns(uint64_t from_ns, uint64_t to_ns)
{
	return to_ns > from_ns ? to_ns - from_ns : 0;
}

/* Records a duration.  The histogram is created with its first value and then cached. */
static void record_duration(wl_node_t *node, wl_metric_t **cached, const char *name,
			    uint64_t duration_ns)
{
	if (!*cached)
		*cached = wl_metrics_find(&node->metrics, name, "");
	wl_metric_observe(*cached, duration_ns);
}

/*
 * wl_node_measure_event - record how long an event waited before it was processed
 * @now_ns: monotonic time, nanoseconds
 */
void wl_node_measure_event(wl_node_t *node, uint64_t now_ns, const wl_event_t *event)
{
	wl_metric_t **cached = &node->measures.event_wait[event->kind];
	char labels[LABELS_BYTES];

	if (event->made_ns == 0 || !event_names[event->kind])
		return;
	if (!*cached) {
		snprintf(labels, sizeof(labels), "kind=\"%s\"", event_names[event->kind]);
		*cached =
			wl_metrics_find(&node->metrics, "wisterialead_event_wait_seconds", labels);
	}
	wl_metric_observe(*cached, elapsed_ns(event->made_ns, now_ns));
}

/*
 * wl_node_measure_applied - record the commit time of a command if this node proposed it
 * @now_ns: monotonic time, nanoseconds
 * @tag: of the proposal; 0: not proposed here
 */
void wl_node_measure_applied(wl_node_t *node, uint64_t now_ns, uint64_t tag)
{
	uint64_t began_ns;

	if (tag && wl_start_times_end(&node->measures.proposed, tag, &began_ns))
		record_duration(node, &node->measures.commit, "wisterialead_commit_seconds",
				elapsed_ns(began_ns, now_ns));
}

/*
 * wl_node_measure_persisted - record how long a write to stored state took
 * @now_ns: monotonic time, nanoseconds
 * @event: WL_EVENT_PERSISTED
 */
void wl_node_measure_persisted(wl_node_t *node, uint64_t now_ns, const wl_event_t *event)
{
	uint64_t synced_ns = event->made_ns ? event->made_ns : now_ns;

	if (event->ticket == node->measures.ticket)
		record_duration(node, &node->measures.persist, "wisterialead_persist_seconds",
				elapsed_ns(node->measures.ticket_ns, synced_ns));
}
