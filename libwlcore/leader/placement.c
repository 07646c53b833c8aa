/*
 * Placement of tasks on targets, in rounds.  A round places urgent tasks first,
 * then batch tasks, each class by fair share, and proposes all assignments in
 * one command.  The next round waits for that commit, so no task is assigned twice.
 */

#include <libwlcore/place/fair.h>
#include "internal.h"

#include <stdlib.h>

#define ROUND_MAX	   256			/* assignments, and rejections, per command */
#define ROUND_INTERVAL_NS  (100 * WL_NS_PER_MS) /* between rounds when nothing changed */
#define PAUSE_PER_TASK_NS  100000ULL /* pause after a round, per task that it considered */
#define TOO_LARGE_DELAY_MS 10000
#define FRESH_MS	   2000	 /* any attempt this young may be what crashes its target */
#define ALONE_WAIT_MS	   20000 /* after its last assignment a task is placed beside others */
#define ALONE_MISSES_MAX   16	 /* searches per round for a target without attempts on trial */
#define SHORT_SEARCH_MAX   64	 /* tasks at the head of a queue that are searched for short ones */

/* Returns the latest attempt of a task, or NULL if it has none. */
wl_leader_attempt_t *wl_leader_attempt_find(const wl_leader_t *leader, wl_str_t task)
{
	return wl_map_get(&leader->by_attempt, task);
}

static bool is_long(const wl_leader_t *leader, const wl_task_t *task)
{
	return wl_state_expected_ms(leader->state, &task->record.spec) >= leader->options.long_ms;
}

/*
 * Adds an attempt as soon as its target is chosen, and reserves its need on the target.  The
 * target must be in the placement table.
 */
wl_leader_attempt_t *wl_leader_attempt_add(wl_leader_t *leader, const wl_task_t *task,
					   uint64_t number, wl_str_t target, const wl_need_t *need)
{
	wl_leader_attempt_t *attempt = wl_alloc(sizeof(*attempt));

	wl_buf_set(&attempt->task, task->key);
	attempt->key = wl_buf_str(&attempt->task);
	attempt->attempt = number;
	wl_buf_set(&attempt->load.kind, wl_buf_str(&task->record.spec.kind));
	attempt->load.need = *need;
	attempt->load.is_long = is_long(leader, task);
	wl_place_load_add(wl_place_target_find(leader->place, target), &attempt->load);
	wl_map_put(&leader->by_attempt, attempt);
	attempt->list = &leader->unsent;
	TAILQ_INSERT_TAIL(attempt->list, attempt, link);
	return attempt;
}

/* Whether one more crash of a target under a task gives it up. */
static bool nearly_given_up(const wl_task_t *task)
{
	return task->record.crashes.count + 1 >= WL_TASK_CRASHES_MAX;
}

/*
 * Puts an attempt on trial, as it may be what crashes its target.  Nothing else starts beside the
 * one that decides whether its task is given up.
 */
void wl_leader_attempt_try(wl_leader_attempt_t *attempt, const wl_task_t *task, uint64_t now_ns)
{
	const wl_task_crashes_t *crashes = &task->record.crashes;
	uint64_t trial_ms = crashes->count > 0 ? wl_task_trial_ms(crashes) : FRESH_MS;

	wl_place_load_try(&attempt->load, now_ns + trial_ms * WL_NS_PER_MS, nearly_given_up(task));
}

/* Moves an attempt to the tail of one of the lists unsent, sent and idle. */
void wl_leader_attempt_move(wl_leader_attempt_t *attempt, struct wl_leader_attempts *list)
{
	TAILQ_REMOVE(attempt->list, attempt, link);
	attempt->list = list;
	TAILQ_INSERT_TAIL(list, attempt, link);
}

/* Removes an attempt that has ended, and its reservation. */
void wl_leader_attempt_remove(wl_leader_t *leader, wl_leader_attempt_t *attempt)
{
	wl_place_load_remove(&attempt->load);
	wl_map_remove(&leader->by_attempt, attempt->key);
	TAILQ_REMOVE(attempt->list, attempt, link);
	wl_buf_free(&attempt->task);
	wl_buf_free(&attempt->load.kind);
	free(attempt);
}

static bool owned_by(const wl_leader_t *leader, const wl_offer_row_t *row, wl_str_t peer)
{
	const wl_state_target_t *target =
		wl_state_target_find(leader->state, wl_buf_str(&row->target));

	return target && target->row.session != 0 && target->row.epoch == row->epoch &&
	       wl_str_equal(wl_buf_str(&target->row.entry), peer);
}

/* Stores the capacity that an owner offers; offers under a superseded epoch are ignored. */
void wl_leader_offer(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		     const wl_msg_offer_t *offer)
{
	const wl_offer_row_t *rows = offer->offers.items;
	const wl_pair_row_t *pairs = offer->pairs.items;

	for (size_t i = 0; i < offer->offers.count; i++)
		if (owned_by(leader, &rows[i], peer))
			wl_place_offer(leader->place, now_ns, &rows[i]);
	for (size_t i = 0; i < offer->pairs.count; i++)
		wl_place_pair_learn(leader->place, now_ns, &pairs[i]);
	leader->place_due = true;
}

/* One round of placement. */
typedef struct round {
	wl_leader_t *leader;
	uint64_t now_ns;
	wl_cmd_task_assign_t assign;
	wl_cmd_task_report_t reject;
	uint64_t considered;
	uint64_t alone_misses; /* tasks that found no target without attempts on trial */
} round_t;

/* Marks in the placement table the services for which short tasks are queued. */
static void mark_short_services(round_t *round)
{
	const wl_state_customer_t *customer;

	TAILQ_FOREACH (customer, &round->leader->state->customers, link) {
		const wl_task_t *task = TAILQ_FIRST(&customer->queued[WL_CLASS_BATCH]);
		const wl_task_t *before = NULL;

		for (size_t i = 0; task && i < SHORT_SEARCH_MAX; i++) {
			if ((!before || !wl_fair_same_size(before, task)) &&
			    !is_long(round->leader, task))
				wl_place_note_short_queued(round->leader->place,
							   wl_buf_str(&task->record.spec.service));
			before = task;
			task = TAILQ_NEXT(task, queue);
		}
	}
}

static void fill_request(const round_t *round, const wl_task_t *task, wl_place_request_t *request)
{
	const wl_task_spec_t *spec = &task->record.spec;
	uint64_t clock_ms = wl_leader_clock_ms(round->leader, round->now_ns);

	*request = (wl_place_request_t){.service = wl_buf_str(&spec->service),
					.kind = wl_buf_str(&spec->kind),
					.avoid = &task->record.failed_on,
					.urgent = spec->work_class == WL_CLASS_URGENT,
					.is_long = is_long(round->leader, task)};
	request->alone =
		nearly_given_up(task) && clock_ms < task->record.assigned_ms + ALONE_WAIT_MS;
	request->declared = (wl_need_t){.cpu_millis = spec->cpu_millis,
					.memory_mib = spec->memory_mib,
					.accelerators = spec->accelerators,
					.slots = 1};
	wl_state_need(round->leader->state, spec, &request->need);
	request->waited_ms = clock_ms - task->record.added_ms;
}

static void reject(round_t *round, const wl_task_t *task, wl_str_t reason)
{
	wl_report_t *report = wl_list_add(&wl_report_schema, &round->reject.reports);

	wl_buf_set(&report->task, task->key);
	report->attempt = task->record.attempt;
	report->kind = WL_REPORT_UNPLACEABLE;
	wl_buf_set(&report->reason, reason);
}

/*
 * Whether a task is larger than every target of its service.  This is decided only
 * TOO_LARGE_DELAY_MS after the task was added and leadership began, so that targets have had
 * time to announce themselves.
 */
static bool too_large(const round_t *round, const wl_task_t *task,
		      const wl_place_request_t *request)
{
	const wl_leader_t *leader = round->leader;
	uint64_t clock_ms = wl_leader_clock_ms(leader, round->now_ns);

	return clock_ms >= task->record.added_ms + TOO_LARGE_DELAY_MS &&
	       clock_ms >= leader->clock_base_ms + TOO_LARGE_DELAY_MS &&
	       wl_place_too_large(leader->place, request);
}

/*
 * Chooses a target for a task.  The placement table may lag behind the ownership grants, so a
 * target whose epoch has been superseded is marked unavailable there and another one is chosen.
 */
static bool choose_target(round_t *round, const wl_place_request_t *request,
			  wl_place_choice_t *choice)
{
	wl_leader_t *leader = round->leader;

	while (wl_place_choose(leader->place, request, choice)) {
		const wl_state_target_t *target =
			wl_state_target_find(leader->state, choice->target->key);

		if (target && target->row.session != 0 &&
		    target->row.epoch == choice->target->row.epoch)
			return true;
		wl_place_close(leader->place, round->now_ns, choice->target->key);
	}
	return false;
}

static void assign(round_t *round, const wl_task_t *task, const wl_place_choice_t *choice)
{
	wl_assignment_t *assignment =
		wl_list_add(&wl_assignment_schema, &round->assign.assignments);
	wl_leader_attempt_t *attempt;

	wl_buf_set(&assignment->task, task->key);
	wl_buf_set(&assignment->target, choice->target->key);
	assignment->attempt = task->record.attempt + 1;
	assignment->epoch = choice->target->row.epoch;
	assignment->boot = choice->target->row.boot;
	attempt = wl_leader_attempt_add(round->leader, task, assignment->attempt,
					choice->target->key, &choice->need);
	wl_leader_attempt_try(attempt, task, round->now_ns);
	attempt->proposed = true;
	attempt->may_evict = choice->may_evict;
}

static bool plan_allows(const wl_fair_entry_t *entry, const wl_task_spec_t *spec)
{
	return entry->plan && wl_plan_allows(entry->plan, wl_buf_str(&spec->service),
					     (wl_class_t)spec->work_class);
}

/* Returns why a task can never run, or an empty string. */
static wl_str_t rejection_reason(const round_t *round, const wl_fair_entry_t *entry,
				 const wl_place_request_t *request)
{
	if (!plan_allows(entry, &entry->next->record.spec))
		return WL_STR("the customer's plan no longer allows the task's service or class");
	if (too_large(round, entry->next, request))
		return WL_STR("the task is larger than every target of its service");
	return (wl_str_t){0};
}

/* A task that needs a target without attempts on trial does not hold up others of its size. */
static void place_missed(round_t *round, wl_fair_entry_t *entry, const wl_place_request_t *request)
{
	if (!request->alone) {
		wl_fair_skip(entry);
		return;
	}
	round->alone_misses++;
	wl_fair_drop(entry);
}

static void place_next(round_t *round, wl_fair_entry_t *entry)
{
	const wl_task_t *task = entry->next;
	wl_place_choice_t choice = {0};
	wl_place_request_t request;
	wl_str_t reason;

	round->considered++;
	fill_request(round, task, &request);
	reason = rejection_reason(round, entry, &request);
	if (reason.len > 0) {
		reject(round, task, reason);
		wl_fair_drop(entry);
		return;
	}
	if (!wl_fair_within_plan(entry, &request.need)) {
		wl_fair_skip(entry);
		return;
	}
	if (request.alone && round->alone_misses >= ALONE_MISSES_MAX) {
		wl_fair_drop(entry);
		return;
	}
	if (!choose_target(round, &request, &choice)) {
		place_missed(round, entry, &request);
		return;
	}
	assign(round, task, &choice);
	wl_fair_take(entry, &choice.need);
}

static void place_class(round_t *round, wl_class_t work_class)
{
	wl_fair_t fair;
	wl_fair_entry_t *entry;

	wl_fair_init(&fair, round->leader->state, work_class);
	while (round->assign.assignments.count < ROUND_MAX &&
	       round->reject.reports.count < ROUND_MAX && (entry = wl_fair_next(&fair)))
		place_next(round, entry);
	wl_fair_free(&fair);
}

static void round_propose(round_t *round, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TASK_ASSIGN, .u.task_assign = round->assign};

	if (round->assign.assignments.count > 0)
		wl_leader_propose(round->leader, round->now_ns, WL_PROPOSAL_ASSIGN, &cmd, out);
	if (round->reject.reports.count == 0)
		return;
	cmd = (wl_cmd_t){.kind = WL_CMD_TASK_REPORT, .u.task_report = round->reject};
	wl_leader_propose(round->leader, round->now_ns, WL_PROPOSAL_REJECT, &cmd, out);
}

static bool urgent_queued(const wl_leader_t *leader)
{
	const wl_state_customer_t *customer;

	TAILQ_FOREACH (customer, &leader->state->customers, link)
		if (customer->queued_count[WL_CLASS_URGENT] > 0)
			return true;
	return false;
}

/*
 * Runs a placement round if one is due: no proposal of an earlier round is in flight, and capacity
 * or queues changed or ROUND_INTERVAL_NS has passed since the last batch round.  The round places
 * urgent tasks.  It places batch tasks too unless the pause after the last batch round is still
 * running; that pause is proportional to the tasks considered, so that placement takes a bounded
 * share of processor time.
 */
void wl_leader_place_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	round_t round = {.leader = leader, .now_ns = now_ns};
	bool batch = now_ns >= leader->next_batch_ns;

	if (leader->in_flight[WL_PROPOSAL_ASSIGN] + leader->in_flight[WL_PROPOSAL_REJECT] > 0)
		return;
	if (!leader->place_due && now_ns < leader->next_place_ns)
		return;
	if (!batch && !urgent_queued(leader))
		return;
	wl_place_begin(leader->place, now_ns);
	place_class(&round, WL_CLASS_URGENT);
	if (batch) {
		leader->place_due = false;
		leader->next_place_ns = now_ns + ROUND_INTERVAL_NS;
		mark_short_services(&round);
		place_class(&round, WL_CLASS_BATCH);
		leader->next_batch_ns = now_ns + round.considered * PAUSE_PER_TASK_NS;
	}
	round_propose(&round, out);
}
