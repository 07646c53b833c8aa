/* Policies that choose which batch work to evict. */

#include "evict.h"

#include <stdlib.h>

#include <libwlbase/named.h>

#include <libwlcore/owner/ledger.h>

/* Bounds the subsets that are tried, 2^12; a target has about 8 slots. */
#define MAX_CANDIDATES 12

static int by_lost(const void *a, const void *b)
{
	const wl_evict_candidate_t *x = a;
	const wl_evict_candidate_t *y = b;

	if (x->lost_ms != y->lost_ms)
		return x->lost_ms < y->lost_ms ? -1 : 1;
	if (x->progress_permille != y->progress_permille)
		return x->progress_permille < y->progress_permille ? -1 : 1;
	return (x->ran_ms > y->ran_ms) - (x->ran_ms < y->ran_ms);
}

static int by_age(const void *a, const void *b)
{
	const wl_evict_candidate_t *x = a;
	const wl_evict_candidate_t *y = b;

	return (x->ran_ms > y->ran_ms) - (x->ran_ms < y->ran_ms);
}

static bool covers(const wl_evict_candidate_t *candidates, size_t count, uint32_t set,
		   const wl_need_t *missing, uint64_t *lost_ms)
{
	wl_need_t freed = {0};

	*lost_ms = 0;
	for (size_t i = 0; i < count; i++) {
		if (!(set & 1u << i))
			continue;
		wl_need_add(&freed, &candidates[i].reserved);
		*lost_ms += candidates[i].lost_ms;
	}
	return wl_need_within(missing, &freed);
}

/*
 * Chooses the smallest set that frees enough; among sets of one size the one
 * that loses least work.
 */
static bool choose_least_lost(wl_evict_candidate_t *candidates, size_t count,
			      const wl_need_t *missing)
{
	uint64_t best_lost = UINT64_MAX;
	int best_size = MAX_CANDIDATES + 1;
	uint32_t best = 0;

	if (count == 0)
		return false;
	qsort(candidates, count, sizeof(*candidates), by_lost);
	if (count > MAX_CANDIDATES)
		count = MAX_CANDIDATES;
	for (uint32_t set = 1; set < 1u << count; set++) {
		int size = __builtin_popcount(set);
		uint64_t lost;

		if (size > best_size || !covers(candidates, count, set, missing, &lost))
			continue;
		if (size == best_size && lost >= best_lost)
			continue;
		best = set;
		best_size = size;
		best_lost = lost;
	}
	for (size_t i = 0; i < count; i++)
		candidates[i].chosen = best & 1u << i;
	return best != 0;
}

static bool choose_youngest(wl_evict_candidate_t *candidates, size_t count,
			    const wl_need_t *missing)
{
	wl_need_t freed = {0};

	if (count == 0)
		return false;
	qsort(candidates, count, sizeof(*candidates), by_age);
	for (size_t i = 0; i < count; i++) {
		candidates[i].chosen = true;
		wl_need_add(&freed, &candidates[i].reserved);
		if (wl_need_within(missing, &freed))
			return true;
	}
	for (size_t i = 0; i < count; i++)
		candidates[i].chosen = false;
	return false;
}

/* Sorted by name. */
static const wl_evict_policy_t policies[] = {
	{"least-lost", choose_least_lost},
	{"youngest-first", choose_youngest},
};

/*
 * wl_evict_policy_find - find a policy
 * @name: its name; empty: the default, "least-lost"
 * @err: WL_E_BAD_INPUT
 *
 * A policy sorts the candidates and marks those to evict; it returns false,
 * with none marked, when all of them together would not free enough capacity.
 *
 * Return: the policy, or NULL.
 */
const wl_evict_policy_t *wl_evict_policy_find(wl_str_t name, wl_err_t *err)
{
	const wl_evict_policy_t *policy = &policies[0];

	if (name.len > 0)
		policy = WL_NAMED_FIND(policies, name);
	if (!policy)
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "unknown eviction policy: " WL_STR_FMT,
			   WL_STR_ARG(name));
	return policy;
}
