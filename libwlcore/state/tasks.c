/* Tasks: adding, cancellation, assignment, and removal some time after their end. */

#include "internal.h"

#include <stdlib.h>

#include <libwlbase/digest.h>

/* Whether a task has ended; a task in state WL_TASK_UNKNOWN counts as ended too. */
bool wl_task_ended(const wl_task_t *task)
{
	return task->record.ended_ms > 0;
}

/* Returns the task with an id, or NULL. */
wl_task_t *wl_state_task_find(const wl_state_t *state, wl_str_t id)
{
	return wl_map_get(&state->by_task, id);
}

/* Returns the customer with a name; added without tasks if it is new. */
wl_state_customer_t *wl_state_customer_get(wl_state_t *state, wl_str_t name)
{
	wl_state_customer_t *customer = wl_map_get(&state->by_customer, name);

	if (customer)
		return customer;
	customer = wl_alloc(sizeof(*customer));
	wl_buf_set(&customer->name, name);
	customer->key = wl_buf_str(&customer->name);
	for (size_t i = 0; i < WL_CLASSES; i++)
		TAILQ_INIT(&customer->queued[i]);
	wl_map_put(&state->by_customer, customer);
	TAILQ_INSERT_TAIL(&state->customers, customer, link);
	return customer;
}

/*
 * An alias is a deduplication key of a task: the customer with the idempotency key, or the nonce of
 * the call that added the task.
 */
static void key_alias(wl_str_t customer, wl_str_t key, wl_buf_t *text)
{
	wl_buf_clear(text);
	wl_buf_append(text, WL_STR("k"));
	wl_buf_append(text, customer);
	wl_buf_append(text, (wl_str_t){"", 1});
	wl_buf_append(text, key);
}

static void nonce_alias(uint64_t nonce, wl_buf_t *text)
{
	wl_buf_clear(text);
	wl_buf_printf(text, "n%llu", (unsigned long long)nonce);
}

static void alias_add(wl_state_t *state, const wl_buf_t *text, wl_task_t *task)
{
	wl_task_alias_t *alias = wl_alloc(sizeof(*alias));

	wl_buf_set(&alias->text, wl_buf_str(text));
	alias->key = wl_buf_str(&alias->text);
	alias->task = task;
	wl_map_put(&state->by_alias, alias);
}

static void alias_drop(wl_state_t *state, const wl_buf_t *text)
{
	wl_task_alias_t *alias = wl_map_remove(&state->by_alias, wl_buf_str(text));

	if (!alias)
		return;
	wl_buf_free(&alias->text);
	free(alias);
}

static void aliases_add(wl_state_t *state, wl_task_t *task)
{
	const wl_task_record_t *record = &task->record;
	wl_buf_t text = {0};

	if (record->key.len > 0) {
		key_alias(wl_buf_str(&record->customer), wl_buf_str(&record->key), &text);
		alias_add(state, &text, task);
	}
	if (record->nonce != 0) {
		nonce_alias(record->nonce, &text);
		alias_add(state, &text, task);
	}
	wl_buf_free(&text);
}

static wl_task_t *alias_find(const wl_state_t *state, const wl_cmd_task_add_t *cmd)
{
	const wl_task_alias_t *alias = NULL;
	wl_buf_t text = {0};

	if (cmd->key.len > 0) {
		key_alias(wl_buf_str(&cmd->customer), wl_buf_str(&cmd->key), &text);
		alias = wl_map_get(&state->by_alias, wl_buf_str(&text));
	}
	if (!alias && cmd->nonce != 0) {
		nonce_alias(cmd->nonce, &text);
		alias = wl_map_get(&state->by_alias, wl_buf_str(&text));
	}
	wl_buf_free(&text);
	return alias ? alias->task : NULL;
}

static void task_free(wl_state_t *state, wl_task_t *task)
{
	wl_buf_t text = {0};

	key_alias(wl_buf_str(&task->record.customer), wl_buf_str(&task->record.key), &text);
	alias_drop(state, &text);
	nonce_alias(task->record.nonce, &text);
	alias_drop(state, &text);
	wl_buf_free(&text);
	wl_map_remove(&state->by_task, task->key);
	wl_buf_free(&task->id);
	wl_record_free(&wl_task_record_schema, &task->record);
	free(task);
}

/* Whether a task has the number of a record, its nonce, or its customer and key. */
bool wl_state_task_known(const wl_state_t *state, const wl_task_record_t *record)
{
	wl_buf_t text = {0};
	bool known;

	wl_buf_printf(&text, "t%llu", (unsigned long long)record->number);
	known = wl_map_get(&state->by_task, wl_buf_str(&text));
	key_alias(wl_buf_str(&record->customer), wl_buf_str(&record->key), &text);
	known = known || (record->key.len && wl_map_get(&state->by_alias, wl_buf_str(&text)));
	nonce_alias(record->nonce, &text);
	known = known || (record->nonce && wl_map_get(&state->by_alias, wl_buf_str(&text)));
	wl_buf_free(&text);
	return known;
}

/*
 * Adds a new task, or one from a snapshot, from its record, which is moved from.  Its target must
 * be in the state already.
 */
wl_task_t *wl_state_task_restore(wl_state_t *state, wl_task_record_t *record)
{
	wl_task_t *task = wl_alloc(sizeof(*task));
	wl_state_target_t *target;

	task->record = *record;
	*record = (wl_task_record_t){0};
	wl_buf_printf(&task->id, "t%llu", (unsigned long long)task->record.number);
	task->key = wl_buf_str(&task->id);
	task->customer = wl_state_customer_get(state, wl_buf_str(&task->record.customer));
	wl_map_put(&state->by_task, task);
	aliases_add(state, task);
	if (wl_task_ended(task)) {
		TAILQ_INSERT_TAIL(&state->ended, task, link);
		return task;
	}
	TAILQ_INSERT_TAIL(&state->live, task, link);
	state->live_count++;
	target = wl_state_target_find(state, wl_buf_str(&task->record.target));
	if (task->record.state == WL_TASK_QUEUED)
		wl_task_enqueue(task);
	else if (target)
		wl_task_place(task, target);
	return task;
}

static void spec_digest(const wl_task_spec_t *spec, wl_buf_t *digest)
{
	char hex[WL_SHA256_HEX + 1];
	wl_buf_t bytes = {0};

	wl_record_pack(&wl_task_spec_schema, spec, &bytes);
	wl_sha256_hex(wl_buf_str(&bytes), hex);
	wl_buf_set(digest, wl_str_from(hex));
	wl_buf_free(&bytes);
}

/* Whether the customer's plan allows a task's service and class, and is large enough for it. */
static bool plan_admits(const wl_state_t *state, const wl_cmd_task_add_t *cmd, wl_result_t *result)
{
	const wl_task_spec_t *spec = &cmd->spec;
	const wl_plan_t *plan = wl_lists_plan_of(state->lists, wl_buf_str(&cmd->customer));
	wl_str_t service = wl_buf_str(&spec->service);

	if (!plan) {
		wl_result_fail(result, WL_E_FORBIDDEN, "no customer named " WL_STR_FMT,
			       WL_STR_ARG(wl_buf_str(&cmd->customer)));
		return false;
	}
	if (spec->work_class > WL_CLASS_BATCH ||
	    !wl_plan_allows(plan, service, (wl_class_t)spec->work_class)) {
		wl_result_fail(result, WL_E_FORBIDDEN,
			       "plan " WL_STR_FMT
			       " does not allow this class of work on " WL_STR_FMT,
			       WL_STR_ARG(wl_buf_str(&plan->name)), WL_STR_ARG(service));
		return false;
	}
	if (spec->cpu_millis > plan->cpu_millis || spec->memory_mib > plan->memory_mib ||
	    spec->accelerators > plan->accelerators) {
		wl_result_fail(result, WL_E_TOO_LARGE, "the task is larger than plan " WL_STR_FMT,
			       WL_STR_ARG(wl_buf_str(&plan->name)));
		return false;
	}
	return true;
}

static void answer_repeat(const wl_task_t *task, const wl_cmd_task_add_t *cmd, wl_result_t *result)
{
	wl_buf_t digest = {0};
	bool same;

	spec_digest(&cmd->spec, &digest);
	same = wl_str_equal(wl_buf_str(&digest), wl_buf_str(&task->record.digest));
	wl_buf_free(&digest);
	if (!same) {
		wl_result_fail(result, WL_E_CONFLICT, "the key was used for a different task");
		return;
	}
	wl_result_ok(result, task->record.number);
	wl_buf_set(&result->id, wl_buf_str(&task->id));
}

/*
 * Adds a task.  A repeated call (same nonce), or one with the same idempotency key, gets the
 * existing task, or WL_E_CONFLICT if its specification differs.
 */
void wl_state_task_add(wl_state_t *state, uint64_t index, const wl_cmd_task_add_t *cmd,
		       wl_result_t *result)
{
	const wl_task_t *task = alias_find(state, cmd);
	wl_task_record_t record = {.number = index,
				   .nonce = cmd->nonce,
				   .state = wl_chart_initial(state->options.task_chart),
				   .added_ms = state->clock_ms};

	if (task) {
		answer_repeat(task, cmd, result);
		return;
	}
	if (!plan_admits(state, cmd, result))
		return;
	if (state->live_count >= state->options.max_tasks) {
		wl_result_fail(result, WL_E_OVERLOADED,
			       "too many tasks: %llu are queued or running",
			       (unsigned long long)state->live_count);
		return;
	}
	wl_buf_set(&record.customer, wl_buf_str(&cmd->customer));
	wl_buf_set(&record.key, wl_buf_str(&cmd->key));
	wl_record_copy(&wl_task_spec_schema, &record.spec, &cmd->spec);
	spec_digest(&cmd->spec, &record.digest);
	task = wl_state_task_restore(state, &record);
	wl_result_ok(result, index);
	wl_buf_set(&result->id, wl_buf_str(&task->id));
}

/* Cancels tasks; those that belong to another customer or have ended are left unchanged. */
void wl_state_task_cancel(wl_state_t *state, uint64_t index, const wl_cmd_task_cancel_t *cmd,
			  wl_result_t *result)
{
	const wl_buf_t *ids = cmd->tasks.items;
	uint64_t found = 0;

	for (size_t i = 0; i < cmd->tasks.count; i++) {
		wl_task_t *task = wl_state_task_find(state, wl_buf_str(&ids[i]));
		wl_task_transition_t transition = {.state = state, .task = task};

		if (!task ||
		    !wl_str_equal(wl_buf_str(&task->record.customer), wl_buf_str(&cmd->customer)))
			continue;
		found++;
		wl_task_step(&transition, WL_TASK_EV_CANCEL);
	}
	if (cmd->tasks.count > 0 && found == 0) {
		wl_result_fail(result, WL_E_NOT_FOUND, "no such task");
		return;
	}
	wl_result_ok(result, index);
}

static bool assignment_is_valid(const wl_state_t *state, const wl_assignment_t *assignment,
				wl_task_transition_t *transition)
{
	transition->task = wl_state_task_find(state, wl_buf_str(&assignment->task));
	transition->target = wl_state_target_find(state, wl_buf_str(&assignment->target));
	transition->epoch = assignment->epoch;
	transition->boot = assignment->boot;
	return transition->task && transition->target && !transition->target->row.forgotten &&
	       transition->target->row.session != 0 &&
	       transition->target->row.epoch == assignment->epoch &&
	       transition->task->record.attempt + 1 == assignment->attempt;
}

/* Applies assignments; skips those whose task or target changed since they were proposed. */
void wl_state_task_assign(wl_state_t *state, uint64_t index, const wl_cmd_task_assign_t *cmd,
			  wl_result_t *result)
{
	const wl_assignment_t *assignments = cmd->assignments.items;

	for (size_t i = 0; i < cmd->assignments.count; i++) {
		wl_task_transition_t transition = {.state = state};

		if (assignment_is_valid(state, &assignments[i], &transition))
			wl_task_step(&transition, WL_TASK_EV_ASSIGN);
	}
	wl_result_ok(result, index);
}

/* Removes ended tasks whose retention has passed. */
void wl_state_tasks_expire(wl_state_t *state)
{
	wl_task_t *task;

	while ((task = TAILQ_FIRST(&state->ended))) {
		if (task->record.ended_ms + state->options.task_keep_ms > state->clock_ms)
			return;
		TAILQ_REMOVE(&state->ended, task, link);
		task_free(state, task);
	}
}

static void list_clear(wl_state_t *state, wl_task_list_t *list)
{
	wl_task_t *task;

	while ((task = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, task, link);
		task_free(state, task);
	}
}

void wl_state_tasks_clear(wl_state_t *state)
{
	wl_state_customer_t *customer;

	list_clear(state, &state->live);
	list_clear(state, &state->ended);
	wl_map_free(&state->by_task);
	wl_map_free(&state->by_alias);
	while ((customer = TAILQ_FIRST(&state->customers))) {
		TAILQ_REMOVE(&state->customers, customer, link);
		wl_buf_free(&customer->name);
		free(customer);
	}
	wl_map_free(&state->by_customer);
}
