#ifndef WL_NODE_H
#define WL_NODE_H

#include <libwlcore/model/dialect.h>
#include <libwlcore/model/event.h>

/* All logic of one daemon, without I/O: events go in, actions come out of one step function. */

typedef struct wl_node_peer {
	wl_str_t name;
	wl_str_t address; /* IP:port of its peer listener */
} wl_node_peer_t;

typedef struct wl_node_options {
	wl_str_t name;
	wl_str_t availability_zone;
	wl_str_t rack;
	wl_str_t peer_address;	      /* at which other daemons dial this one */
	bool entry;		      /* has the role entry */
	bool store;		      /* has the role store: is a replica */
	const wl_node_peer_t *stores; /* all replicas, if the settings name them */
	size_t store_count;
	const wl_list_t *seeds; /* strings: otherwise the names of some replicas; copied */
	/* With seeds, a replica's name is its IP address, and its peer listener has this port. */
	uint16_t replica_port;
	uint64_t max_voters;	     /* with seeds: maximum number of voters */
	bool never_found;	     /* do not found a group, wait for admission to one */
	uint64_t replace_ms;	     /* silence after which a member may be replaced */
	uint64_t boot;		     /* random number, new at each start */
	uint64_t store_id;	     /* of the data directory */
	wl_raft_saved_t *saved;	     /* store: state read from disk; moved from */
	const wl_dialect_t *dialect; /* additional HTTP interface; NULL: none */
	uint16_t control_port;	     /* of each replica, passed to targets; 0: not passed */
	wl_str_t job_placement;	     /* policy by name; empty: the default */
	wl_str_t job_dispatch;
	wl_str_t task_chart; /* JSON text */
	wl_str_t target_chart;
	wl_str_t operator_token; /* empty: not required */
	wl_str_t target_token;
	wl_str_t routing; /* policies by name; empty: the default */
	wl_str_t queueing;
	wl_str_t placement;
	wl_str_t eviction;
	/* Here and below 0 selects the default. */
	uint64_t session_ms; /* validity of an entry's session */
	uint64_t renew_ms;   /* interval of its renewal */
	uint64_t election_ms;
	uint64_t heartbeat_ms;
	uint64_t lease_ms; /* lease of a task */
	uint64_t grace_ms; /* time after the end of a session in which leases are still renewed */
	uint64_t drift_ms; /* margin for clock drift between leader and entry */
	uint64_t announce_ms; /* interval of the announces of targets */
	uint64_t silence_ms;  /* without an announce for so long a target gets no new work */
	uint64_t room_ms;     /* interval of offers to the leader and of the exchange with peers */
	uint64_t drain_ms;    /* longest duration of draining */
	uint64_t default_timeout_ms;
	uint64_t max_timeout_ms;
	uint64_t max_queued;
	uint64_t retry_permille;     /* retries allowed per 1000 ended requests */
	uint64_t request_cpu_millis; /* assumed need of one request */
	uint64_t request_memory_mib;
	uint64_t long_ms;	      /* expected run time from which a task is long */
	uint64_t long_share_permille; /* share of a rack's slots that long tasks may hold */
	uint64_t key_keep_ms;
	uint64_t task_keep_ms;
	uint64_t compact_entries;
	uint64_t seed;
	uint64_t (*cost_clock_ns)(void); /* as in wl_sched_options_t */
} wl_node_options_t;

typedef struct wl_node wl_node_t;

wl_node_t *wl_node_new(const wl_node_options_t *options, uint64_t now_ns, wl_err_t *err);
void wl_node_free(wl_node_t *node);
const char *wl_node_event_name(wl_event_kind_t kind);
void wl_node_step(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
uint64_t wl_node_tick_ns(const wl_node_t *node);

#endif
