/*
 * Fair share between customers: the next is the one with the lowest ratio of
 * processors in use to the weight of its plan.
 */

#include "fair.h"

#include <stdlib.h>

#include <libwlcore/owner/ledger.h>

#define MAX_MISSES 16 /* needs that fit nowhere before a customer is skipped in this round */
#define MAX_SKIPS  64 /* tasks of one size that are skipped after the first fitted nowhere */

static void entry_init(wl_fair_entry_t *entry, const wl_state_t *state,
		       wl_state_customer_t *customer, wl_class_t work_class)
{
	entry->customer = customer;
	entry->plan = wl_lists_plan_of(state->lists, customer->key);
	entry->held = customer->held[WL_CLASS_URGENT];
	wl_need_add(&entry->held, &customer->held[WL_CLASS_BATCH]);
	entry->held_count = customer->held_count;
	entry->used = customer->held[work_class].cpu_millis;
	entry->next = TAILQ_FIRST(&customer->queued[work_class]);
	entry->misses = 0;
}

/*
 * wl_fair_init - begin a round over the customers that have queued tasks of a class
 */
void wl_fair_init(wl_fair_t *fair, const wl_state_t *state, wl_class_t work_class)
{
	wl_state_customer_t *customer;
	size_t count = 0;

	TAILQ_FOREACH (customer, &state->customers, link)
		count += customer->queued_count[work_class] > 0;
	fair->work_class = work_class;
	fair->count = 0;
	fair->entries = wl_alloc(count * sizeof(*fair->entries));
	TAILQ_FOREACH (customer, &state->customers, link)
		if (customer->queued_count[work_class] > 0)
			entry_init(&fair->entries[fair->count++], state, customer, work_class);
}

/*
 * wl_fair_free - end a round
 */
void wl_fair_free(wl_fair_t *fair)
{
	free(fair->entries);
	*fair = (wl_fair_t){0};
}

static bool precedes(const wl_fair_entry_t *a, const wl_fair_entry_t *b)
{
	uint64_t weight_a = a->plan ? a->plan->weight : 1;
	uint64_t weight_b = b->plan ? b->plan->weight : 1;

	return (double)a->used * (double)weight_b < (double)b->used * (double)weight_a;
}

/*
 * wl_fair_next - choose the customer that is next
 *
 * Return: an entry, whose next task the caller passes to wl_fair_take(),
 * wl_fair_skip() or wl_fair_drop(); NULL when the round is over.
 */
wl_fair_entry_t *wl_fair_next(wl_fair_t *fair)
{
	wl_fair_entry_t *best = NULL;

	for (size_t i = 0; i < fair->count; i++) {
		wl_fair_entry_t *entry = &fair->entries[i];

		if (entry->next && (!best || precedes(entry, best)))
			best = entry;
	}
	return best;
}

static bool within_limit(uint64_t held, uint64_t need, uint64_t limit)
{
	/*
	 * A task that its plan admitted is not blocked when its learnt usage alone
	 * exceeds the plan.
	 */
	return held == 0 || held + need <= limit;
}

/*
 * wl_fair_within_plan - whether the plan of a customer lets it hold more
 * @need: in addition to what it holds
 */
bool wl_fair_within_plan(const wl_fair_entry_t *entry, const wl_need_t *need)
{
	return entry->held_count < entry->plan->max_concurrent &&
	       within_limit(entry->held.cpu_millis, need->cpu_millis, entry->plan->cpu_millis) &&
	       within_limit(entry->held.memory_mib, need->memory_mib, entry->plan->memory_mib) &&
	       within_limit(entry->held.accelerators, need->accelerators,
			    entry->plan->accelerators);
}

static void advance(wl_fair_entry_t *entry)
{
	entry->next = TAILQ_NEXT(entry->next, queue);
}

/*
 * wl_fair_take - count the customer's next task, which got a target, and advance
 * @need: reserved for the task
 */
void wl_fair_take(wl_fair_entry_t *entry, const wl_need_t *need)
{
	wl_need_add(&entry->held, need);
	entry->held_count++;
	entry->used += need->cpu_millis > 0 ? need->cpu_millis : 1;
	advance(entry);
}

/*
 * wl_fair_same_size - whether placement treats two tasks alike
 */
bool wl_fair_same_size(const wl_task_t *a, const wl_task_t *b)
{
	const wl_task_spec_t *x = &a->record.spec;
	const wl_task_spec_t *y = &b->record.spec;

	return x->cpu_millis == y->cpu_millis && x->memory_mib == y->memory_mib &&
	       x->run_ms == y->run_ms && x->accelerators == y->accelerators &&
	       wl_str_equal(wl_buf_str(&x->kind), wl_buf_str(&y->kind)) &&
	       wl_str_equal(wl_buf_str(&x->service), wl_buf_str(&y->service));
}

/*
 * wl_fair_skip - skip the customer's next task, which found no target, and others of its size
 */
void wl_fair_skip(wl_fair_entry_t *entry)
{
	const wl_task_t *missed = entry->next;

	if (++entry->misses >= MAX_MISSES) {
		entry->next = NULL;
		return;
	}
	for (size_t i = 0; i < MAX_SKIPS; i++) {
		advance(entry);
		if (!entry->next || !wl_fair_same_size(missed, entry->next))
			return;
	}
	entry->next = NULL;
}

/*
 * wl_fair_drop - advance past the customer's next task alone: it is to be refused, or finds no
 * target where others of its size may find one
 */
void wl_fair_drop(wl_fair_entry_t *entry)
{
	advance(entry);
}
