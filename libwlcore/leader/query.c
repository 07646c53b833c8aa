/*
 * Queries to the leader, answered as JSON in the result's body:
 *
 *   LIST     the list as it was uploaded
 *   TASK     one task: {"id", "customer", "kind", "service", "class", "state", "attempt",
 *            "target", "result", "reason", "evictions", "added_ms", "ended_ms"}
 *   TASKS    {"tasks": [task, ...], "more": N}: queued and running tasks first, at most
 *            "number" of the query (0: 1000), and how many were left out
 *   TARGETS  {"targets": [{"target", "address", "availability_zone", "rack", "services",
 *            "epoch", "owner", "assigned", "open", "aside", "capacity", "free"}]}
 *   STATUS   {"leader", "term", "group", "revision", "in_force", "customers_version",
 *            "plans_version", "sessions", "targets", "targets_without_owner", "queued_urgent",
 *            "queued_batch", "placed", "ended", "entries": [{"entry", "session", "address",
 *            "availability_zone", "draining", "revision", "owned", "heard_ms_ago"}],
 *            "evacuations": as below}
 *   EVACUATIONS  {"evacuations": [{"availability_zone", "since_ms", "revision"}]}
 */

#include "internal.h"

#include <stdlib.h>

#define TASKS_DEFAULT 1000

typedef struct task_view {
	wl_buf_t id;
	wl_buf_t customer;
	wl_buf_t kind;
	wl_buf_t service;
	uint64_t work_class;
	uint64_t state;
	uint64_t attempt;
	wl_buf_t target;
	wl_buf_t result;
	wl_buf_t reason;
	uint64_t evictions;
	uint64_t added_ms;
	uint64_t ended_ms;
} task_view_t;

static const wl_field_t task_fields[] = {
	WL_FIELD(task_view_t, id, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, customer, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, kind, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, service, WL_FIELD_BYTES),
	{.name = "class",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(task_view_t, work_class),
	 .names = wl_class_names},
	WL_FIELD_NAMES(task_view_t, state, wl_task_state_names),
	WL_FIELD(task_view_t, attempt, WL_FIELD_U64),
	WL_FIELD(task_view_t, target, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, result, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, reason, WL_FIELD_BYTES),
	WL_FIELD(task_view_t, evictions, WL_FIELD_U64),
	WL_FIELD(task_view_t, added_ms, WL_FIELD_U64),
	WL_FIELD(task_view_t, ended_ms, WL_FIELD_U64),
};

static const wl_schema_t task_schema = WL_SCHEMA(task_view_t, task_fields);

typedef struct target_view {
	wl_buf_t target;
	wl_buf_t address;
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_list_t services;
	uint64_t epoch;
	wl_buf_t owner;
	uint64_t assigned;
	bool open;
	bool quarantined;
	wl_need_t capacity;
	wl_need_t free;
} target_view_t;

static const wl_field_t target_fields[] = {
	WL_FIELD(target_view_t, target, WL_FIELD_BYTES),
	WL_FIELD(target_view_t, address, WL_FIELD_BYTES),
	WL_FIELD(target_view_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(target_view_t, rack, WL_FIELD_BYTES),
	WL_FIELD(target_view_t, services, WL_FIELD_STRINGS),
	WL_FIELD(target_view_t, epoch, WL_FIELD_U64),
	WL_FIELD(target_view_t, owner, WL_FIELD_BYTES),
	WL_FIELD(target_view_t, assigned, WL_FIELD_U64),
	WL_FIELD(target_view_t, open, WL_FIELD_BOOL),
	WL_FIELD_AS("aside", target_view_t, quarantined, WL_FIELD_BOOL),
	WL_FIELD_NEST(target_view_t, capacity, &wl_need_schema),
	WL_FIELD_NEST(target_view_t, free, &wl_need_schema),
};

static const wl_schema_t target_schema = WL_SCHEMA(target_view_t, target_fields);

typedef struct member_view {
	wl_buf_t entry;
	uint64_t session;
	wl_buf_t address;
	wl_buf_t availability_zone;
	bool draining;
	uint64_t revision;
	uint64_t owned;
	uint64_t heard_ms_ago;
} member_view_t;

static const wl_field_t member_fields[] = {
	WL_FIELD(member_view_t, entry, WL_FIELD_BYTES),
	WL_FIELD(member_view_t, session, WL_FIELD_U64),
	WL_FIELD(member_view_t, address, WL_FIELD_BYTES),
	WL_FIELD(member_view_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(member_view_t, draining, WL_FIELD_BOOL),
	WL_FIELD(member_view_t, revision, WL_FIELD_U64),
	WL_FIELD(member_view_t, owned, WL_FIELD_U64),
	WL_FIELD(member_view_t, heard_ms_ago, WL_FIELD_U64),
};

static const wl_schema_t member_schema = WL_SCHEMA(member_view_t, member_fields);

typedef struct status_view {
	wl_buf_t leader;
	uint64_t term;
	uint64_t group;
	uint64_t revision;
	uint64_t in_force;
	uint64_t customers_version;
	uint64_t plans_version;
	uint64_t sessions;
	uint64_t targets;
	uint64_t targets_without_owner;
	uint64_t queued_urgent;
	uint64_t queued_batch;
	uint64_t placed;
	uint64_t ended;
	wl_list_t entries;     /* member_view_t */
	wl_list_t evacuations; /* wl_evacuation_t */
} status_view_t;

static const wl_field_t status_fields[] = {
	WL_FIELD(status_view_t, leader, WL_FIELD_BYTES),
	WL_FIELD(status_view_t, term, WL_FIELD_U64),
	WL_FIELD(status_view_t, group, WL_FIELD_U64),
	WL_FIELD(status_view_t, revision, WL_FIELD_U64),
	WL_FIELD(status_view_t, in_force, WL_FIELD_U64),
	WL_FIELD(status_view_t, customers_version, WL_FIELD_U64),
	WL_FIELD(status_view_t, plans_version, WL_FIELD_U64),
	WL_FIELD(status_view_t, sessions, WL_FIELD_U64),
	WL_FIELD(status_view_t, targets, WL_FIELD_U64),
	WL_FIELD(status_view_t, targets_without_owner, WL_FIELD_U64),
	WL_FIELD(status_view_t, queued_urgent, WL_FIELD_U64),
	WL_FIELD(status_view_t, queued_batch, WL_FIELD_U64),
	WL_FIELD(status_view_t, placed, WL_FIELD_U64),
	WL_FIELD(status_view_t, ended, WL_FIELD_U64),
	WL_FIELD_MANY(status_view_t, entries, &member_schema),
	WL_FIELD_MANY(status_view_t, evacuations, &wl_evacuation_schema),
};

static const wl_schema_t status_schema = WL_SCHEMA(status_view_t, status_fields);

typedef struct evacuations_view {
	wl_list_t evacuations; /* wl_evacuation_t */
} evacuations_view_t;

static const wl_field_t evacuations_fields[] = {
	WL_FIELD_MANY(evacuations_view_t, evacuations, &wl_evacuation_schema),
};

static const wl_schema_t evacuations_schema = WL_SCHEMA(evacuations_view_t, evacuations_fields);

static void append_item(wl_buf_t *body, bool *first, const wl_schema_t *schema, void *view)
{
	if (!*first)
		wl_buf_append(body, WL_STR(","));
	*first = false;
	wl_record_to_json(schema, view, body);
	wl_record_free(schema, view);
}

static void query_list(const wl_leader_t *leader, const wl_msg_query_t *query, wl_result_t *result)
{
	bool plans = wl_str_equal(wl_buf_str(&query->name), WL_STR("plans"));
	const wl_state_list_t *list =
		&leader->state->list[plans ? WL_LIST_PLANS : WL_LIST_CUSTOMERS];

	if (!plans && !wl_str_equal(wl_buf_str(&query->name), WL_STR("customers"))) {
		wl_result_fail(result, WL_E_NOT_FOUND,
			       "no such list: the lists are customers and plans");
		return;
	}
	wl_result_ok(result, wl_state_revision(leader->state));
	result->version = list->version;
	if (list->text.len > 0)
		wl_buf_set(&result->body, wl_buf_str(&list->text));
	else
		wl_buf_printf(&result->body, "{\"%s\":[]}", plans ? "plans" : "customers");
}

static void task_view(const wl_task_t *task, task_view_t *view)
{
	const wl_task_record_t *record = &task->record;

	*view = (task_view_t){.work_class = record->spec.work_class,
			      .state = record->state,
			      .attempt = record->attempt,
			      .evictions = record->evictions,
			      .added_ms = record->added_ms,
			      .ended_ms = record->ended_ms};
	wl_buf_set(&view->id, task->key);
	wl_buf_set(&view->customer, wl_buf_str(&record->customer));
	wl_buf_set(&view->kind, wl_buf_str(&record->spec.kind));
	wl_buf_set(&view->service, wl_buf_str(&record->spec.service));
	wl_buf_set(&view->target, wl_buf_str(&record->target));
	wl_buf_set(&view->result, wl_buf_str(&record->result));
	wl_buf_set(&view->reason, wl_buf_str(&record->reason));
}

static bool visible(const wl_task_t *task, const wl_buf_t *customer)
{
	return customer->len == 0 ||
	       wl_str_equal(wl_buf_str(customer), wl_buf_str(&task->record.customer));
}

static void query_task(const wl_leader_t *leader, const wl_msg_query_t *query, wl_result_t *result)
{
	const wl_task_t *task = wl_state_task_find(leader->state, wl_buf_str(&query->name));
	bool first = true;
	task_view_t view;

	if (!task || !visible(task, &query->customer)) {
		wl_result_fail(result, WL_E_NOT_FOUND, "no such task");
		return;
	}
	wl_result_ok(result, wl_state_revision(leader->state));
	task_view(task, &view);
	append_item(&result->body, &first, &task_schema, &view);
}

/* State of a TASKS query while its answer is written. */
typedef struct listing {
	const wl_msg_query_t *query;
	wl_buf_t *body;
	uint64_t left; /* tasks that may still be added */
	uint64_t more; /* tasks left out */
	bool first;
} listing_t;

static void tasks_add(listing_t *listing, const wl_task_list_t *list)
{
	const wl_task_t *task;

	TAILQ_FOREACH (task, list, link) {
		task_view_t view;

		if (!visible(task, &listing->query->customer) ||
		    !visible(task, &listing->query->name))
			continue;
		if (listing->left == 0) {
			listing->more++;
			continue;
		}
		listing->left--;
		task_view(task, &view);
		append_item(listing->body, &listing->first, &task_schema, &view);
	}
}

static void query_tasks(const wl_leader_t *leader, const wl_msg_query_t *query, wl_result_t *result)
{
	listing_t listing = {.query = query,
			     .body = &result->body,
			     .left = query->number ? query->number : TASKS_DEFAULT,
			     .first = true};

	wl_result_ok(result, wl_state_revision(leader->state));
	wl_buf_append(&result->body, WL_STR("{\"tasks\":["));
	tasks_add(&listing, &leader->state->live);
	tasks_add(&listing, &leader->state->ended);
	wl_buf_printf(&result->body, "],\"more\":%llu}", (unsigned long long)listing.more);
}

static void target_view(const wl_leader_t *leader, const wl_state_target_t *target,
			target_view_t *view)
{
	const wl_place_target_t *place_target = wl_place_target_find(leader->place, target->key);
	const wl_buf_t *services = target->row.services.items;

	*view = (target_view_t){.epoch = target->row.epoch, .assigned = target->assigned_count};
	wl_buf_set(&view->target, target->key);
	wl_buf_set(&view->address, wl_buf_str(&target->row.address));
	wl_buf_set(&view->availability_zone, wl_buf_str(&target->row.availability_zone));
	wl_buf_set(&view->rack, wl_buf_str(&target->row.rack));
	wl_buf_set(&view->owner, wl_buf_str(&target->row.entry));
	for (size_t i = 0; i < target->row.services.count; i++)
		wl_strings_add(&view->services, wl_buf_str(&services[i]));
	if (!place_target)
		return;
	view->open = place_target->row.available;
	view->quarantined = place_target->row.quarantined;
	view->capacity = place_target->row.capacity;
	view->free = place_target->row.free;
}

static void query_targets(const wl_leader_t *leader, const wl_msg_query_t *query,
			  wl_result_t *result)
{
	const wl_state_target_t *target;
	bool first = true;

	(void)query;
	wl_result_ok(result, wl_state_revision(leader->state));
	wl_buf_append(&result->body, WL_STR("{\"targets\":["));
	TAILQ_FOREACH (target, &leader->state->targets, link) {
		target_view_t view;

		if (target->row.forgotten)
			continue;
		target_view(leader, target, &view);
		append_item(&result->body, &first, &target_schema, &view);
	}
	wl_buf_append(&result->body, WL_STR("]}"));
}

static void member_view(const wl_leader_t *leader, const wl_leader_session_t *session,
			uint64_t now_ns, member_view_t *view)
{
	const wl_state_session_t *known = wl_state_session_find(leader->state, session->id);

	*view = (member_view_t){.session = session->id,
				.draining = session->draining,
				.revision = session->acked,
				.owned = session->owned,
				.heard_ms_ago = (now_ns - session->renewed_ns) / WL_NS_PER_MS};
	wl_buf_set(&view->entry, wl_buf_str(&session->entry));
	wl_buf_set(&view->availability_zone, wl_buf_str(&session->availability_zone));
	if (known)
		wl_buf_set(&view->address, wl_buf_str(&known->address));
}

static void entries_add(const wl_leader_t *leader, uint64_t now_ns, wl_list_t *entries)
{
	const wl_leader_session_t *session;

	TAILQ_FOREACH (session, &leader->sessions, link)
		member_view(leader, session, now_ns, wl_list_add(&member_schema, entries));
}

static void evacuations_add(const wl_leader_t *leader, wl_list_t *evacuations)
{
	const wl_list_t *zones = &leader->state->jobs.evacuations;

	for (size_t i = 0; i < zones->count; i++)
		wl_record_copy(&wl_evacuation_schema,
			       wl_list_add(&wl_evacuation_schema, evacuations),
			       (const wl_evacuation_t *)zones->items + i);
}

static void query_evacuations(const wl_leader_t *leader, wl_result_t *result)
{
	evacuations_view_t view = {0};
	bool first = true;

	wl_result_ok(result, wl_state_revision(leader->state));
	evacuations_add(leader, &view.evacuations);
	append_item(&result->body, &first, &evacuations_schema, &view);
}

static void query_status(const wl_leader_t *leader, uint64_t now_ns, wl_result_t *result)
{
	status_view_t view = {.term = leader->term,
			      .group = leader->group,
			      .revision = wl_state_revision(leader->state),
			      .in_force = wl_leader_min_acked(leader),
			      .customers_version = leader->state->list[WL_LIST_CUSTOMERS].version,
			      .plans_version = leader->state->list[WL_LIST_PLANS].version};
	wl_leader_counts_t counts;
	bool first = true;

	wl_result_ok(result, view.revision);
	wl_buf_set(&view.leader, wl_buf_str(&leader->entry));
	wl_leader_count(leader, &counts);
	view.sessions = counts.sessions;
	view.targets = counts.targets;
	view.targets_without_owner = counts.targets_without_owner;
	view.queued_urgent = counts.queued[WL_CLASS_URGENT];
	view.queued_batch = counts.queued[WL_CLASS_BATCH];
	view.placed = counts.placed;
	view.ended = counts.ended;
	entries_add(leader, now_ns, &view.entries);
	evacuations_add(leader, &view.evacuations);
	append_item(&result->body, &first, &status_schema, &view);
}

static void query_in_force(const wl_leader_t *leader, uint64_t revision, wl_result_t *result)
{
	if (wl_leader_in_force(leader, revision))
		wl_result_ok(result, 0);
	else
		wl_result_fail(result, WL_E_OVERLOADED,
			       "the revision is not in force on all entries yet");
	result->index = wl_leader_min_acked(leader);
}

/* Answers a query from the applied state. */
void wl_leader_query(const wl_leader_t *leader, uint64_t now_ns, const wl_msg_query_t *query,
		     wl_result_t *result)
{
	switch ((wl_query_kind_t)query->kind) {
	case WL_QUERY_LIST:
		query_list(leader, query, result);
		return;
	case WL_QUERY_TASK:
		query_task(leader, query, result);
		return;
	case WL_QUERY_TASKS:
		query_tasks(leader, query, result);
		return;
	case WL_QUERY_TARGETS:
		query_targets(leader, query, result);
		return;
	case WL_QUERY_STATUS:
		query_status(leader, now_ns, result);
		return;
	case WL_QUERY_IN_FORCE:
		query_in_force(leader, query->number, result);
		return;
	case WL_QUERY_EVACUATIONS:
		query_evacuations(leader, result);
		return;
	case WL_QUERY_MEMBERS:
	case WL_QUERY_REPLACE:
	case WL_QUERY_JOB:
	case WL_QUERY_CATALOG:
	case WL_QUERY_ZONE_BASIS:
		break;
	}
	wl_result_fail(result, WL_E_BAD_INPUT, "the leader does not serve this kind of query");
}
