#ifndef WL_HEALTH_H
#define WL_HEALTH_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlbase/rng.h>

/* Tells faulty targets from faulty work, and quarantines the targets. */

#define WL_HEALTH_KINDS 4

/* Outcomes of one kind of work on all targets of an owner. */
typedef struct wl_kind {
	wl_str_t key;
	wl_buf_t name;
	uint64_t ok_ns;		  /* time of the newest success; 0: none */
	uint64_t failed_target;	  /* hash; first failure since its newest success; 0: none */
	bool failed_elsewhere;	  /* failed on a second target too */
	uint64_t base_latency_ns; /* lowest average latency of its requests; 0: unknown */
	TAILQ_ENTRY(wl_kind) link;
} wl_kind_t;

typedef struct wl_kinds {
	wl_map_t by_name;
	TAILQ_HEAD(wl_kind_list, wl_kind) all; /* least recently used first */
} wl_kinds_t;

/* Consecutive failures on one target, and its quarantine. */
typedef struct wl_health {
	uint64_t failures;
	uint64_t failed_kinds[WL_HEALTH_KINDS]; /* hashes; of the consecutive failures */
	size_t failed_kind_count;
	bool quarantined;
	bool probing; /* its quarantine has ended, but no work has succeeded since */
	uint64_t quarantines;
	uint64_t quarantined_until_ns;
} wl_health_t;

void wl_kinds_init(wl_kinds_t *kinds);
void wl_kinds_free(wl_kinds_t *kinds);
wl_kind_t *wl_kinds_get(wl_kinds_t *kinds, wl_str_t name);

bool wl_health_record(wl_health_t *health, wl_kind_t *kind, wl_str_t target, bool ok,
		      uint64_t now_ns, wl_rng_t *rng);
bool wl_health_probe(wl_health_t *health, uint64_t now_ns);

#endif
