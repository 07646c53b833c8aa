/*
 * Order in which pending work is placed.
 *
 * Designed for bursts above the capacity of the fleet, when not all jobs can be on time:
 * jobs that can still be on time go before those that cannot, and started jobs before new
 * ones, so that a few jobs are finished instead of many being started.
 */

#include "ordering.h"

#include <libwlbase/named.h>

#define PRIORITY_SHIFT 56
#define PRIORITY_MAX   127
#define STAGE_SHIFT    48 /* 8 bits for the stage, below it milliseconds */
#define STAGE_MASK     0xff
#define TIME_MASK      ((UINT64_C(1) << STAGE_SHIFT) - 1)
/* A late job is of use until its age is this multiple of its allowed time. */
#define LATE_FACTOR 3

/*
 * An interrupted lasting task goes ahead of short work after this time, as long as lasting
 * tasks reserve less than LASTING_MAX_PERMILLE.
 */
#define INTERRUPTED_MAX_MS   2000
#define LASTING_MAX_PERMILLE 800 /* of the usable targets' CPU */

/*
 * Above LASTING_MAX_PERMILLE it goes ahead after this longer time, provided that all
 * lasting tasks that have run fit together. Where they do not, short work keeps the rest
 * of the capacity.
 */
#define INTERRUPTED_CROWDED_MAX_MS  4000
#define LASTING_WANTED_MAX_PERMILLE 1000

typedef enum stage {
	STAGE_INTERRUPTED, /* lasting, and interrupted for too long */
	STAGE_ON_TIME_STARTED,
	STAGE_ON_TIME,
	STAGE_LATE,    /* too late to be on time, but still of use */
	STAGE_LASTING, /* keeps its reservation: short work goes first, it is done soon */
	STAGE_EXPIRED, /* so late that its result is of no use */
} stage_t;

static uint64_t rank_of(const wl_ordering_item_t *item, stage_t stage, uint64_t ms)
{
	uint64_t priority = item->priority < PRIORITY_MAX ? item->priority : PRIORITY_MAX;

	return priority << PRIORITY_SHIFT | (uint64_t)stage << STAGE_SHIFT | (ms & TIME_MASK);
}

static uint64_t rank_fifo(const wl_ordering_item_t *item, uint64_t now_ms)
{
	(void)now_ms;
	return rank_of(item, STAGE_ON_TIME, item->since_ms);
}

static bool interrupted_too_long(const wl_ordering_item_t *item)
{
	if (!item->lasting)
		return false;
	if (item->lasting_permille < LASTING_MAX_PERMILLE)
		return item->interrupted_ms > INTERRUPTED_MAX_MS;
	return item->lasting_wanted_permille < LASTING_WANTED_MAX_PERMILLE &&
	       item->interrupted_ms > INTERRUPTED_CROWDED_MAX_MS;
}

/*
 * wl_ordering_late_ms - until which age the result of a job is of use
 * @allowed_ms: until which age it is on time
 */
uint64_t wl_ordering_late_ms(uint64_t allowed_ms)
{
	return LATE_FACTOR * allowed_ms;
}

static uint64_t rank_on_time(const wl_ordering_item_t *item, uint64_t now_ms)
{
	uint64_t done_ms = now_ms + item->remaining_ms;
	uint64_t allowed_ms = item->deadline_ms - item->since_ms;

	if (interrupted_too_long(item))
		return rank_of(item, STAGE_INTERRUPTED, now_ms - item->interrupted_ms);
	if (item->lasting)
		return rank_of(item, STAGE_LASTING, item->since_ms);
	if (item->deadline_ms == 0 || done_ms <= item->deadline_ms)
		return rank_of(item, item->started ? STAGE_ON_TIME_STARTED : STAGE_ON_TIME,
			       item->since_ms);
	if (done_ms <= item->since_ms + wl_ordering_late_ms(allowed_ms))
		return rank_of(item, STAGE_LATE, item->since_ms);
	return rank_of(item, STAGE_EXPIRED, item->since_ms);
}

/*
 * wl_ordering_expired - whether a rank is that of a job whose result is of no use any more
 */
bool wl_ordering_expired(uint64_t rank)
{
	return (rank >> STAGE_SHIFT & STAGE_MASK) == STAGE_EXPIRED;
}

/* Sorted by name; the last is the default. */
static const wl_ordering_policy_t policies[] = {
	{"fifo", rank_fifo},
	{"on-time", rank_on_time},
};

#define POLICY_DEFAULT (&policies[sizeof(policies) / sizeof(policies[0]) - 1])

/*
 * wl_ordering_policy_find - find a queueing policy by name
 * @name: empty: the default
 *
 * Return: the policy, or NULL if the name is unknown.
 */
const wl_ordering_policy_t *wl_ordering_policy_find(wl_str_t name)
{
	if (name.len == 0)
		return POLICY_DEFAULT;
	return WL_NAMED_FIND(policies, name);
}
