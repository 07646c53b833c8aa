#ifndef WL_EVICT_H
#define WL_EVICT_H

#include <libwlcore/model/model.h>

/* Policies that choose which batch work on a target to evict. */

typedef struct wl_evict_candidate {
	void *subject;
	wl_need_t reserved; /* capacity that its eviction frees */
	uint64_t lost_ms;   /* run time since the newest checkpoint */
	uint64_t ran_ms;
	uint64_t progress_permille;
	bool chosen;
} wl_evict_candidate_t;

typedef struct wl_evict_policy {
	const char *name;
	bool (*choose)(wl_evict_candidate_t *candidates, size_t count, const wl_need_t *missing);
} wl_evict_policy_t;

const wl_evict_policy_t *wl_evict_policy_find(wl_str_t name, wl_err_t *err);

#endif
