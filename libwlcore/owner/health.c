/*
 * Targets that fail are quarantined, and probed again after periods that grow.
 *
 * A single failure does not show whether the work or the target is at fault.
 * The target is, when several kinds of work fail on it in a row, or when one
 * kind fails that succeeds on other targets.  A kind that fails on several
 * targets and succeeds on none counts against no target.
 */

#include "health.h"

#include <stdlib.h>
#include <string.h>

#define MAX_KINDS	       1024
#define SEVERAL_KINDS_FAILURES 4 /* consecutive failures, of two kinds or more */
#define ONE_KIND_FAILURES      8 /* consecutive failures of one kind that succeeds elsewhere */
#define ELSEWHERE_WINDOW_NS    30000000000ull
#define QUARANTINE_MIN_NS      2000000000ull
#define QUARANTINE_MAX_NS      300000000000ull
#define HASH_SEED	       1

/*
 * wl_kinds_init - make an empty table
 */
void wl_kinds_init(wl_kinds_t *kinds)
{
	wl_map_init(&kinds->by_name);
	TAILQ_INIT(&kinds->all);
}

static void kind_drop(wl_kinds_t *kinds, wl_kind_t *kind)
{
	wl_map_remove(&kinds->by_name, kind->key);
	TAILQ_REMOVE(&kinds->all, kind, link);
	wl_buf_free(&kind->name);
	free(kind);
}

/*
 * wl_kinds_free - release the table
 */
void wl_kinds_free(wl_kinds_t *kinds)
{
	while (!TAILQ_EMPTY(&kinds->all))
		kind_drop(kinds, TAILQ_FIRST(&kinds->all));
	wl_map_free(&kinds->by_name);
}

/*
 * wl_kinds_get - find a kind of work, or add it
 *
 * Kinds are named by clients, so the table is bounded: the least recently used
 * row is replaced.
 */
wl_kind_t *wl_kinds_get(wl_kinds_t *kinds, wl_str_t name)
{
	wl_kind_t *kind = wl_map_get(&kinds->by_name, name);

	if (kind) {
		TAILQ_REMOVE(&kinds->all, kind, link);
		TAILQ_INSERT_TAIL(&kinds->all, kind, link);
		return kind;
	}
	if (wl_map_count(&kinds->by_name) >= MAX_KINDS)
		kind_drop(kinds, TAILQ_FIRST(&kinds->all));
	kind = wl_alloc(sizeof(*kind));
	wl_buf_set(&kind->name, name);
	kind->key = wl_buf_str(&kind->name);
	wl_map_put(&kinds->by_name, kind);
	TAILQ_INSERT_TAIL(&kinds->all, kind, link);
	return kind;
}

static void kind_failed(wl_kind_t *kind, uint64_t target)
{
	if (!kind->failed_target)
		kind->failed_target = target;
	else if (kind->failed_target != target)
		kind->failed_elsewhere = true;
}

static void add_failed_kind(wl_health_t *health, uint64_t kind)
{
	for (size_t i = 0; i < health->failed_kind_count; i++)
		if (health->failed_kinds[i] == kind)
			return;
	if (health->failed_kind_count < WL_HEALTH_KINDS)
		health->failed_kinds[health->failed_kind_count++] = kind;
}

static void quarantine(wl_health_t *health, uint64_t now_ns, wl_rng_t *rng)
{
	uint64_t duration_ns = QUARANTINE_MIN_NS
			       << (health->quarantines < 8 ? health->quarantines : 8);

	if (duration_ns > QUARANTINE_MAX_NS)
		duration_ns = QUARANTINE_MAX_NS;
	health->quarantines++;
	health->quarantined = true;
	health->probing = false;
	health->failures = 0;
	health->failed_kind_count = 0;
	health->quarantined_until_ns =
		now_ns + duration_ns / 2 + wl_rng_below(rng, duration_ns / 2 + 1);
}

/*
 * wl_health_record - record the outcome of a piece of work on a target
 * @kind: of the work
 * @target: its name
 * @ok: whether the work succeeded
 *
 * Return: true if this outcome quarantines the target.
 */
bool wl_health_record(wl_health_t *health, wl_kind_t *kind, wl_str_t target, bool ok,
		      uint64_t now_ns, wl_rng_t *rng)
{
	bool works_elsewhere = kind->ok_ns && kind->ok_ns + ELSEWHERE_WINDOW_NS > now_ns;

	if (ok) {
		kind->ok_ns = now_ns;
		kind->failed_target = 0;
		kind->failed_elsewhere = false;
		health->failures = 0;
		health->failed_kind_count = 0;
		health->probing = false;
		if (!health->quarantined)
			health->quarantines = 0;
		return false;
	}

	kind_failed(kind, wl_str_hash(target, HASH_SEED));
	if (health->quarantined || (kind->failed_elsewhere && !works_elsewhere))
		return false;
	health->failures++;
	add_failed_kind(health, wl_str_hash(kind->key, HASH_SEED));
	if (!health->probing &&
	    !(health->failed_kind_count > 1 && health->failures >= SEVERAL_KINDS_FAILURES) &&
	    !(works_elsewhere && health->failures >= ONE_KIND_FAILURES))
		return false;
	quarantine(health, now_ns, rng);
	return true;
}

/*
 * wl_health_probe - end a quarantine whose time is over
 *
 * Return: true if the target may be tried again; its next failure quarantines it
 * for longer.
 */
bool wl_health_probe(wl_health_t *health, uint64_t now_ns)
{
	if (!health->quarantined || now_ns < health->quarantined_until_ns)
		return false;
	health->quarantined = false;
	health->probing = true;
	return true;
}
