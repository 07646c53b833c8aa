#ifndef WL_HEALTH_H
#define WL_HEALTH_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlbase/rng.h>

/* Tells targets that fail from work that fails. */

#define WL_HEALTH_KINDS 4

/* What an owner has seen of one kind of work, on all its targets. */
typedef struct wl_kind {
	wl_str_t key;
	wl_buf_t name;
	uint64_t ok_ns;		  /* newest success; 0: none */
	uint64_t failed_target;	  /* hash of the first target that failed it; 0: none */
	bool failed_elsewhere;	  /* on a second target too */
	uint64_t base_latency_ns; /* lowest average latency of its requests; 0: not known */
	TAILQ_ENTRY(wl_kind) link;
} wl_kind_t;

typedef struct wl_kinds {
	wl_map_t by_name;
	TAILQ_HEAD(wl_kind_list, wl_kind) all; /* least lately used first */
} wl_kinds_t;

/* Failures in a row on one target, and the pauses that they cost it. */
typedef struct wl_health {
	uint64_t failures;
	uint64_t failed_kinds[WL_HEALTH_KINDS]; /* hashes of those that count in the streak */
	size_t failed_kind_count;
	bool quarantined;
	bool probing; /* out of a pause, not proven yet */
	uint64_t quarantines;
	uint64_t quarantined_until_ns; /* end of the pause */
} wl_health_t;

void wl_kinds_init(wl_kinds_t *kinds);
void wl_kinds_free(wl_kinds_t *kinds);
wl_kind_t *wl_kinds_get(wl_kinds_t *kinds, wl_str_t name);

bool wl_health_record(wl_health_t *health, wl_kind_t *kind, wl_str_t target, bool ok,
		      uint64_t now_ns, wl_rng_t *rng);
bool wl_health_probe(wl_health_t *health, uint64_t now_ns);

#endif
