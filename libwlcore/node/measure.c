/* How long events, commits and writes take: histograms of the node. */

#include "internal.h"

#include <stdio.h>

#define LABELS_BYTES 48

static const char *const event_names[WL_EVENT_KINDS] = {
	[WL_EVENT_TICK] = "tick",	[WL_EVENT_PEER] = "peer",
	[WL_EVENT_PEER_UP] = "peer-up", [WL_EVENT_PEER_DOWN] = "peer-down",
	[WL_EVENT_CALL] = "call",	[WL_EVENT_CALL_ABANDONED] = "call-gone",
	[WL_EVENT_FETCHED] = "fetched", [WL_EVENT_PERSISTED] = "persisted",
	[WL_EVENT_SEEDS] = "seeds",
};

static uint64_t passed_ns(uint64_t from_ns, uint64_t to_ns)
{
	return to_ns > from_ns ? to_ns - from_ns : 0;
}

/* The histogram is looked up once; it is not shown before its first value. */
static void measure(wl_node_t *node, wl_metric_t **kept, const char *name, uint64_t took_ns)
{
	if (!*kept)
		*kept = wl_metrics_find(&node->metrics, name, "");
	wl_metric_observe(*kept, took_ns);
}

/*
 * wl_node_measure_event - how long an event has waited for its step
 */
void wl_node_measure_event(wl_node_t *node, uint64_t now_ns, const wl_event_t *event)
{
	wl_metric_t **kept = &node->measures.event_wait[event->kind];
	char labels[LABELS_BYTES];

	if (event->made_ns == 0 || !event_names[event->kind])
		return;
	if (!*kept) {
		snprintf(labels, sizeof(labels), "kind=\"%s\"", event_names[event->kind]);
		*kept = wl_metrics_find(&node->metrics, "wisterialead_event_wait_seconds", labels);
	}
	wl_metric_observe(*kept, passed_ns(event->made_ns, now_ns));
}

/*
 * wl_node_measure_applied - a proposal of ours, if it is one, was applied
 */
void wl_node_measure_applied(wl_node_t *node, uint64_t now_ns, uint64_t tag)
{
	uint64_t began_ns;

	if (tag && wl_since_end(&node->measures.proposed, tag, &began_ns))
		measure(node, &node->measures.commit, "wisterialead_commit_seconds",
			passed_ns(began_ns, now_ns));
}

/*
 * wl_node_measure_persisted - a change is synced, as @event says
 */
void wl_node_measure_persisted(wl_node_t *node, uint64_t now_ns, const wl_event_t *event)
{
	uint64_t synced_ns = event->made_ns ? event->made_ns : now_ns;

	if (event->ticket == node->measures.ticket)
		measure(node, &node->measures.persist, "wisterialead_persist_seconds",
			passed_ns(node->measures.ticket_ns, synced_ns));
}
