/*
 * Outages: targets that were lost together, as when a rack, a zone or the whole fleet loses power.
 *
 * An outage says nothing about the tasks that ran there, except of a job that had a run on each
 * of its targets.
 */

#include "internal.h"

#include <stdlib.h>

/* Targets report, and answer renewals, at different times within a second. */
#define TOGETHER_MS	  1500
#define NEARBY_MS	  4000
#define SILENT_MS	  2000 /* a target that is up is heard more often */
#define OUTAGE_LOSSES_MIN 3
#define OUTAGE_PERMILLE	  875 /* of the targets with runs */
#define LOSS_KEPT_MS	  60000

/* A target that was lost with its runs. */
struct wl_sched_loss {
	wl_buf_t target;
	uint64_t incarnation;
	wl_buf_t rack;
	wl_buf_t zone;
	uint64_t since_ns;	  /* last contact */
	uint64_t outage;	  /* number of the outage that it belongs to; 0: none */
	bool beside_idle;	  /* targets without runs were lost in that outage too */
	uint64_t first_judged_ns; /* when that was first decided; 0: not yet */
	uint64_t judged_ns;	  /* and last */
	uint64_t *jobs;		  /* hashes of the ids of the jobs that had runs there */
	size_t job_count;
	TAILQ_ENTRY(wl_sched_loss) link;
};

typedef enum scope {
	SCOPE_FLEET,
	SCOPE_ZONE,
	SCOPE_RACK,
	SCOPES
} scope_t;

static void loss_remove(wl_sched_t *sched, wl_sched_loss_t *loss)
{
	TAILQ_REMOVE(&sched->losses, loss, link);
	wl_buf_free(&loss->target);
	wl_buf_free(&loss->rack);
	wl_buf_free(&loss->zone);
	free(loss->jobs);
	free(loss);
}

static wl_sched_loss_t *loss_find(const wl_sched_t *sched, wl_str_t target, uint64_t incarnation)
{
	wl_sched_loss_t *loss;

	TAILQ_FOREACH (loss, &sched->losses, link)
		if (loss->incarnation == incarnation &&
		    wl_str_equal(wl_buf_str(&loss->target), target))
			return loss;
	return NULL;
}

/* Removes the losses that are older. */
static void losses_expire(wl_sched_t *sched, uint64_t before_ns)
{
	wl_sched_loss_t *loss = TAILQ_FIRST(&sched->losses);

	while (loss && loss->since_ns < before_ns) {
		wl_sched_loss_t *next = TAILQ_NEXT(loss, link);

		loss_remove(sched, loss);
		loss = next;
	}
}

/*
 * wl_sched_losses_clear - release all losses
 */
void wl_sched_losses_clear(wl_sched_t *sched)
{
	losses_expire(sched, UINT64_MAX);
}

static bool loss_has_job(const wl_sched_loss_t *loss, uint64_t job)
{
	for (size_t i = 0; i < loss->job_count; i++)
		if (loss->jobs[i] == job)
			return true;
	return false;
}

static void loss_jobs_set(wl_sched_loss_t *loss, const wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;
	size_t capacity = 0;

	TAILQ_FOREACH (run, &runner->runs, link)
		capacity++;
	loss->jobs = wl_alloc(capacity * sizeof(*loss->jobs));
	TAILQ_FOREACH (run, &runner->runs, link) {
		uint64_t job = wl_str_hash(wl_buf_str(&run->job), 0);

		if (!loss_has_job(loss, job))
			loss->jobs[loss->job_count++] = job;
	}
}

/*
 * wl_sched_loss_add - record that a target is lost with its runs, unless that is recorded
 * @incarnation: the one that is lost
 */
void wl_sched_loss_add(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
		       uint64_t incarnation)
{
	wl_sched_loss_t *loss;

	if (now_ns > LOSS_KEPT_MS * WL_NS_PER_MS)
		losses_expire(sched, now_ns - LOSS_KEPT_MS * WL_NS_PER_MS);
	if (TAILQ_EMPTY(&runner->runs) || loss_find(sched, runner->key, incarnation))
		return;
	loss = wl_alloc(sizeof(*loss));
	wl_buf_set(&loss->target, runner->key);
	loss->incarnation = incarnation;
	wl_buf_set(&loss->rack, wl_buf_str(&runner->state->report.rack));
	wl_buf_set(&loss->zone, wl_buf_str(&runner->state->report.availability_zone));
	loss->since_ns = wl_sched_crash_contact_ns(runner);
	if (loss->since_ns < sched->leader_since_ns)
		loss->since_ns = sched->leader_since_ns;
	loss_jobs_set(loss, runner);
	TAILQ_INSERT_TAIL(&sched->losses, loss, link);
}

/*
 * wl_sched_loss_end - forget the loss of a target that has answered again
 */
void wl_sched_loss_end(wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	wl_sched_loss_t *loss = loss_find(sched, runner->key, runner->incarnation);

	if (loss)
		loss_remove(sched, loss);
}

static bool in_scope(const wl_sched_loss_t *loss, scope_t scope, const wl_buf_t *rack,
		     const wl_buf_t *zone)
{
	if (scope == SCOPE_FLEET)
		return true;
	if (!wl_str_equal(wl_buf_str(&loss->zone), wl_buf_str(zone)))
		return false;
	return scope == SCOPE_ZONE || wl_str_equal(wl_buf_str(&loss->rack), wl_buf_str(rack));
}

/* A target that is lost after it was decided how an earlier one was lost is another matter. */
static bool lost_together(const wl_sched_loss_t *a, const wl_sched_loss_t *b)
{
	const wl_sched_loss_t *first = a->since_ns < b->since_ns ? a : b;
	const wl_sched_loss_t *second = first == a ? b : a;

	if (first->first_judged_ns && second->since_ns > first->first_judged_ns)
		return false;
	return second->since_ns - first->since_ns <= TOGETHER_MS * WL_NS_PER_MS;
}

/* Whether the losses are so near that no target can be part of both. */
static bool lost_nearby(const wl_sched_loss_t *a, const wl_sched_loss_t *b)
{
	uint64_t first_ns = a->since_ns < b->since_ns ? a->since_ns : b->since_ns;
	uint64_t second_ns = a->since_ns < b->since_ns ? b->since_ns : a->since_ns;

	return second_ns - first_ns <= NEARBY_MS * WL_NS_PER_MS;
}

/* What became of the targets in a scope at the time of a loss. */
typedef struct outcomes {
	size_t lost; /* with runs */
	size_t idle; /* lost, without runs */
	size_t others;
	size_t outside; /* lost together with it outside of the scope */
} outcomes_t;

static bool is_together(uint64_t a_ns, uint64_t b_ns)
{
	return (a_ns < b_ns ? b_ns - a_ns : a_ns - b_ns) <= TOGETHER_MS * WL_NS_PER_MS;
}

/* Counts a target that has no record of a loss. */
static void runner_count(const wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
			 const wl_sched_loss_t *loss, outcomes_t *outcomes)
{
	uint64_t contact_ns = wl_sched_crash_contact_ns(runner);
	bool is_later = runner->began_ns > loss->since_ns;

	if (contact_ns < sched->leader_since_ns)
		contact_ns = sched->leader_since_ns;
	if (is_later)
		contact_ns = runner->previous.contact_ns;
	else if (now_ns - contact_ns <= SILENT_MS * WL_NS_PER_MS)
		outcomes->others++;
	if ((is_later || now_ns - contact_ns > SILENT_MS * WL_NS_PER_MS) &&
	    is_together(contact_ns, loss->since_ns) &&
	    !loss_find(sched, runner->key,
		       is_later ? runner->previous.incarnation : runner->incarnation))
		outcomes->idle++;
}

/* Whether nearly all targets in a scope were lost together with this one, and hardly any others. */
static bool is_outage(const outcomes_t *outcomes)
{
	size_t lost = outcomes->lost + outcomes->idle;

	return lost >= OUTAGE_LOSSES_MIN &&
	       lost * WL_PERMILLE >= (lost + outcomes->others) * OUTAGE_PERMILLE &&
	       lost * WL_PERMILLE >= (lost + outcomes->outside) * OUTAGE_PERMILLE;
}

/* Whether it would be one if all targets that are not counted yet were lost too. */
static bool may_be_outage(const outcomes_t *outcomes, size_t uncounted)
{
	outcomes_t most = *outcomes;

	most.idle += uncounted;
	return is_outage(&most);
}

/*
 * Targets that were lost shortly before or after say that they crashed one by one. Ends once the
 * others can't matter: a step may judge hundreds of losses.
 */
static outcomes_t outcomes_count(const wl_sched_t *sched, uint64_t now_ns,
				 const wl_sched_loss_t *loss, scope_t scope)
{
	const wl_sched_runner_t *runner;
	size_t uncounted = wl_map_count(&sched->by_runner);
	const wl_sched_loss_t *other;
	outcomes_t outcomes = {0};

	TAILQ_FOREACH (other, &sched->losses, link) {
		bool together = lost_together(loss, other);

		if (!in_scope(loss, scope, &other->rack, &other->zone))
			outcomes.outside += together;
		else if (together)
			outcomes.lost++;
		else
			outcomes.others += lost_nearby(loss, other);
	}
	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!may_be_outage(&outcomes, uncounted))
			break;
		uncounted--;
		if (!runner->unreachable_since_ns &&
		    in_scope(loss, scope, &runner->state->report.rack,
			     &runner->state->report.availability_zone))
			runner_count(sched, now_ns, runner, loss, &outcomes);
	}
	return outcomes;
}

static void outage_join(wl_sched_t *sched, const wl_sched_loss_t *loss, scope_t scope,
			const outcomes_t *outcomes)
{
	uint64_t number = ++sched->outage_count;
	wl_sched_loss_t *other;

	TAILQ_FOREACH (other, &sched->losses, link) {
		if (!lost_together(loss, other) ||
		    !in_scope(loss, scope, &other->rack, &other->zone))
			continue;
		other->outage = number;
		other->beside_idle = outcomes->idle > 0;
	}
}

/*
 * wl_sched_outage_find - the outage in which an incarnation of a target was lost
 *
 * Return: its number, or 0 if the target was lost by itself. It stays the same when targets of the
 * outage are back.
 */
uint64_t wl_sched_outage_find(wl_sched_t *sched, uint64_t now_ns, wl_str_t target,
			      uint64_t incarnation)
{
	wl_sched_loss_t *loss = loss_find(sched, target, incarnation);
	scope_t scopes = SCOPES;

	if (!loss)
		return 0;
	/* What an earlier leader lost one by one seems to be lost together. */
	if (loss->since_ns == sched->leader_since_ns)
		scopes = SCOPE_RACK;
	if (loss->judged_ns == now_ns)
		return loss->outage;
	loss->judged_ns = now_ns;
	if (!loss->first_judged_ns)
		loss->first_judged_ns = now_ns;
	for (scope_t scope = SCOPE_FLEET; scope < scopes && !loss->outage; scope++) {
		outcomes_t outcomes = outcomes_count(sched, now_ns, loss, scope);

		if (is_outage(&outcomes))
			outage_join(sched, loss, scope, &outcomes);
	}
	return loss->outage;
}

/*
 * wl_sched_outage_spanned - whether a job had a run on each target of an outage
 */
bool wl_sched_outage_spanned(const wl_sched_t *sched, uint64_t outage, wl_str_t job)
{
	uint64_t hash = wl_str_hash(job, 0);
	const wl_sched_loss_t *loss;

	TAILQ_FOREACH (loss, &sched->losses, link)
		if (loss->outage == outage && (loss->beside_idle || !loss_has_job(loss, hash)))
			return false;
	return true;
}
