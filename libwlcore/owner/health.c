/*
 * Failing targets are put aside, and tried again after growing pauses.
 *
 * A failure alone does not say whether the work or the target is at fault.
 * A target is, when several kinds of work fail on it in a row, or one kind
 * does that works elsewhere.  A kind that fails on several targets and works
 * on none counts against no target.
 */

#include "health.h"

#include <stdlib.h>
#include <string.h>

#define MOST_KINDS	1024
#define STREAK_OF_KINDS 4 /* failures in a row of two kinds or more */
#define STREAK_OF_ONE	8 /* of one kind that works elsewhere */
#define ELSEWHERE_NS	30000000000ull
#define PAUSE_LEAST_NS	2000000000ull
#define PAUSE_MOST_NS	300000000000ull
#define KIND_SEED	1

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
 * wl_kinds_get - the row of a kind, made if it is new
 *
 * Callers name kinds, so the table is bounded: the least lately used row
 * goes first.
 */
wl_kind_t *wl_kinds_get(wl_kinds_t *kinds, wl_str_t name)
{
	wl_kind_t *kind = wl_map_get(&kinds->by_name, name);

	if (kind) {
		TAILQ_REMOVE(&kinds->all, kind, link);
		TAILQ_INSERT_TAIL(&kinds->all, kind, link);
		return kind;
	}
	if (wl_map_count(&kinds->by_name) >= MOST_KINDS)
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
	if (!kind->failed_on)
		kind->failed_on = target;
	else if (kind->failed_on != target)
		kind->failed_widely = true;
}

static void streak_add(wl_health_t *health, uint64_t kind)
{
	for (size_t i = 0; i < health->kind_count; i++)
		if (health->kinds[i] == kind)
			return;
	if (health->kind_count < WL_HEALTH_KINDS)
		health->kinds[health->kind_count++] = kind;
}

static void put_aside(wl_health_t *health, uint64_t now_ns, wl_rng_t *rng)
{
	uint64_t pause = PAUSE_LEAST_NS << (health->pauses < 8 ? health->pauses : 8);

	if (pause > PAUSE_MOST_NS)
		pause = PAUSE_MOST_NS;
	health->pauses++;
	health->aside = true;
	health->probing = false;
	health->streak = 0;
	health->kind_count = 0;
	health->until_ns = now_ns + pause / 2 + wl_rng_below(rng, pause / 2 + 1);
}

/*
 * wl_health_note - take in how a piece of work ended on a target
 * @kind: of the work
 * @target: name
 * @ok: whether it worked
 *
 * Return: true when the target is put aside by it.
 */
bool wl_health_note(wl_health_t *health, wl_kind_t *kind, wl_str_t target, bool ok, uint64_t now_ns,
		    wl_rng_t *rng)
{
	bool works_elsewhere = kind->ok_ns && kind->ok_ns + ELSEWHERE_NS > now_ns;

	if (ok) {
		kind->ok_ns = now_ns;
		kind->failed_on = 0;
		kind->failed_widely = false;
		health->streak = 0;
		health->kind_count = 0;
		health->probing = false;
		if (!health->aside)
			health->pauses = 0;
		return false;
	}

	kind_failed(kind, wl_str_hash(target, KIND_SEED));
	if (health->aside || (kind->failed_widely && !works_elsewhere))
		return false;
	health->streak++;
	streak_add(health, wl_str_hash(kind->key, KIND_SEED));
	if (!health->probing && !(health->kind_count > 1 && health->streak >= STREAK_OF_KINDS) &&
	    !(works_elsewhere && health->streak >= STREAK_OF_ONE))
		return false;
	put_aside(health, now_ns, rng);
	return true;
}

/*
 * wl_health_probe - end a pause that is over
 *
 * Return: true if the target may be tried again; its next failure puts it
 * aside for longer.
 */
bool wl_health_probe(wl_health_t *health, uint64_t now_ns)
{
	if (!health->aside || now_ns < health->until_ns)
		return false;
	health->aside = false;
	health->probing = true;
	return true;
}
