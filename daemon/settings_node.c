/* Converts settings to the node's options. */

#include "settings.h"

#include <libwlbase/clock.h>

#define LEAST_SHARE 4 /* targets get at least one of so many descriptors */
#define MIB_BYTES   (UINT64_C(1) << 20)
/* Of the machine's memory: what is received is copied on its way, and the state grows beside it. */
#define INTAKE_MEMORY_SHARE 4
#define INTAKE_MAX_BYTES    (1024 * MIB_BYTES)
#define INTAKE_LEAST_BODIES 2 /* each listener has room for so many of the longest bodies */

/* Share of each listener, in eighths: callers are many, and must not take the part of targets. */
static const uint64_t intake_eighths[] = {
	[WL_LISTENER_CALLER] = 5,
	[WL_LISTENER_CONTROL] = 3,
	[WL_LISTENER_METRICS] = 0,
};

/*
 * wl_settings_intake_bytes - memory for requests that a listener receives or answers
 * @machine_bytes: memory of the machine
 */
uint64_t wl_settings_intake_bytes(const wl_settings_t *s, wl_listener_t listener,
				  uint64_t machine_bytes)
{
	uint64_t least = INTAKE_LEAST_BODIES * (s->max_body_bytes + s->max_header_bytes);
	uint64_t all = machine_bytes / INTAKE_MEMORY_SHARE;
	uint64_t share;

	if (all > INTAKE_MAX_BYTES)
		all = INTAKE_MAX_BYTES;
	if (s->intake_mib)
		all = s->intake_mib * MIB_BYTES;
	share = all / 8 * intake_eighths[listener];
	return share > least ? share : least;
}

/*
 * wl_settings_target_connections - share of the descriptors that connections to targets may use
 * @descriptors: limit of the process; 0: unknown
 *
 * Callers of each listener, peers and files have theirs first.
 *
 * Return: connections; 0 if the limit is unknown.
 */
uint64_t wl_settings_target_connections(const wl_settings_t *s, uint64_t descriptors)
{
	uint64_t listeners = s->entry ? 2 : 1;
	uint64_t others = listeners * s->max_connections + WL_SPARE_DESCRIPTORS;
	uint64_t least = descriptors / LEAST_SHARE;

	return descriptors > others + least ? descriptors - others : least;
}

/*
 * wl_settings_node_options - fill in the node's options from the settings
 * @s: settings that were checked and loaded; must outlive @o
 * @o: the caller sets boot, dialect, addresses and stored state, which are zero here
 */
void wl_settings_node_options(const wl_settings_t *s, wl_node_options_t *o)
{
	*o = (wl_node_options_t){
		.name = wl_buf_str(&s->name),
		.availability_zone = wl_buf_str(&s->availability_zone),
		.rack = wl_buf_str(&s->rack),
		.entry = s->entry,
		.store = s->store,
		.stores = s->stores,
		.store_count = s->store_count,
		.seeds = &s->seeds,
		.replica_port = s->replica_port,
		.max_voters = s->voters,
		.never_found = wl_str_equal(wl_buf_str(&s->found_group), WL_STR("no")),
		.replace_ms = s->replace_ms,
		.task_chart = wl_buf_str(&s->task_chart),
		.target_chart = wl_buf_str(&s->target_chart),
		.operator_token = wl_buf_str(&s->operator_token),
		.target_token = wl_buf_str(&s->target_token),
		.routing = wl_buf_str(&s->routing),
		.queueing = wl_buf_str(&s->queueing),
		.placement = wl_buf_str(&s->placement),
		.eviction = wl_buf_str(&s->eviction),
		.session_ms = s->session_ms,
		.renew_ms = s->renew_ms,
		.election_ms = s->election_ms,
		.heartbeat_ms = s->heartbeat_ms,
		.lease_ms = s->lease_ms,
		.grace_ms = s->grace_ms,
		.drift_ms = s->drift_ms,
		.announce_ms = s->announce_ms,
		.silence_ms = s->silence_ms,
		.room_ms = s->exchange_interval_ms,
		.drain_ms = s->drain_ms,
		.default_timeout_ms = s->default_timeout_ms,
		.max_timeout_ms = s->max_timeout_ms,
		.max_queued = s->max_queued,
		.retry_permille = s->retry_permille,
		.request_cpu_millis = s->request_cpu_millis,
		.request_memory_mib = s->request_memory_mib,
		.long_ms = s->long_ms,
		.long_share_permille = s->long_share_permille,
		.key_keep_ms = s->key_keep_ms,
		.task_keep_ms = s->task_keep_ms,
		.compact_entries = s->compact_entries,
		.seed = s->seed,
		.cost_clock_ns = wl_clock_ns,
	};
}
