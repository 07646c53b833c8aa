/* Schemas of the records of the HTTP interface, with limits on input. */

#include "model.h"

#define NAME_BYTES    128
#define PAYLOAD_BYTES 262144
#define MAX_SERVICES  64
#define MAX_CLASSES   2
#define MAX_WEIGHT    1000000
#define MAX_NUMBER    1000000000000

/* A number that may be missing; sums and products of several stay below 2^64. */
#define FIELD_NUMBER(type, member)                                                       \
	{                                                                                \
		.name = #member, .kind = WL_FIELD_U64, .offset = offsetof(type, member), \
		.max = MAX_NUMBER                                                        \
	}

const char *const wl_class_names[] = {"urgent", "batch", NULL};
const char *const wl_run_state_names[] = {"running", "finished", "failed", "stopped", NULL};
const char *const wl_announce_state_names[] = {"ready", "leaving", NULL};

static const wl_field_t customer_fields[] = {
	WL_FIELD_REQUIRED(wl_customer_t, name, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_customer_t, plan, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD(wl_customer_t, token_sha256, WL_FIELD_BYTES),
};

const wl_schema_t wl_customer_schema = WL_SCHEMA(wl_customer_t, customer_fields);

static const wl_field_t customers_fields[] = {
	WL_FIELD_MANY(wl_customers_t, customers, &wl_customer_schema),
};

const wl_schema_t wl_customers_schema = WL_SCHEMA(wl_customers_t, customers_fields);

static const wl_field_t plan_fields[] = {
	WL_FIELD_REQUIRED(wl_plan_t, name, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_plan_t, weight, WL_FIELD_U64, MAX_WEIGHT),
	WL_FIELD_REQUIRED(wl_plan_t, services, WL_FIELD_STRINGS, MAX_SERVICES),
	WL_FIELD_REQUIRED(wl_plan_t, classes, WL_FIELD_STRINGS, MAX_CLASSES),
	WL_FIELD_REQUIRED(wl_plan_t, max_concurrent, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_plan_t, requests_per_second, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_plan_t, cpu_millis, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_plan_t, memory_mib, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_plan_t, accelerators, WL_FIELD_U64, MAX_NUMBER),
};

const wl_schema_t wl_plan_schema = WL_SCHEMA(wl_plan_t, plan_fields);

static const wl_field_t plans_fields[] = {
	WL_FIELD_MANY(wl_plans_t, plans, &wl_plan_schema),
};

const wl_schema_t wl_plans_schema = WL_SCHEMA(wl_plans_t, plans_fields);

static const wl_field_t need_fields[] = {
	WL_FIELD(wl_need_t, cpu_millis, WL_FIELD_U64),	 FIELD_NUMBER(wl_need_t, memory_mib),
	WL_FIELD(wl_need_t, accelerators, WL_FIELD_U64), FIELD_NUMBER(wl_need_t, slots),
	WL_FIELD(wl_need_t, connections, WL_FIELD_U64),
};

const wl_schema_t wl_need_schema = WL_SCHEMA(wl_need_t, need_fields);

static const wl_field_t task_spec_fields[] = {
	WL_FIELD_REQUIRED(wl_task_spec_t, kind, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_task_spec_t, service, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_task_spec_t, cpu_millis, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_task_spec_t, memory_mib, WL_FIELD_U64, MAX_NUMBER),
	{.name = "accelerators",
	 .kind = WL_FIELD_U64,
	 .offset = offsetof(wl_task_spec_t, accelerators),
	 .max = MAX_NUMBER},
	{.name = "run_ms",
	 .kind = WL_FIELD_U64,
	 .offset = offsetof(wl_task_spec_t, run_ms),
	 .max = MAX_NUMBER},
	{.name = "class",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(wl_task_spec_t, work_class),
	 .names = wl_class_names,
	 .required = true},
	WL_FIELD(wl_task_spec_t, restartable, WL_FIELD_BOOL),
	{.name = "payload",
	 .kind = WL_FIELD_BYTES,
	 .offset = offsetof(wl_task_spec_t, payload),
	 .max = PAYLOAD_BYTES},
};

const wl_schema_t wl_task_spec_schema = WL_SCHEMA(wl_task_spec_t, task_spec_fields);

/* What a target reports that a task of an earlier owner needs. */
static const wl_field_t reported_need_fields[] = {
	FIELD_NUMBER(wl_need_t, cpu_millis),   FIELD_NUMBER(wl_need_t, memory_mib),
	FIELD_NUMBER(wl_need_t, accelerators), FIELD_NUMBER(wl_need_t, slots),
	FIELD_NUMBER(wl_need_t, connections),
};

static const wl_schema_t reported_need_schema = WL_SCHEMA(wl_need_t, reported_need_fields);

static const wl_field_t task_usage_fields[] = {
	WL_FIELD(wl_task_usage_t, id, WL_FIELD_BYTES),
	WL_FIELD(wl_task_usage_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_task_usage_t, kind, WL_FIELD_BYTES),
	WL_FIELD_NAMES(wl_task_usage_t, state, wl_run_state_names),
	FIELD_NUMBER(wl_task_usage_t, cpu_millis),
	FIELD_NUMBER(wl_task_usage_t, memory_mib),
	FIELD_NUMBER(wl_task_usage_t, progress_permille),
	FIELD_NUMBER(wl_task_usage_t, slowdown_permille),
	WL_FIELD(wl_task_usage_t, throttled, WL_FIELD_BOOL),
	WL_FIELD(wl_task_usage_t, result, WL_FIELD_BYTES),
	WL_FIELD(wl_task_usage_t, reason, WL_FIELD_BYTES),
	WL_FIELD(wl_task_usage_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_task_usage_t, need, &reported_need_schema),
	{.name = "class",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(wl_task_usage_t, work_class),
	 .names = wl_class_names},
	WL_FIELD(wl_task_usage_t, restartable, WL_FIELD_BOOL),
	FIELD_NUMBER(wl_task_usage_t, ran_ms),
};

const wl_schema_t wl_task_usage_schema = WL_SCHEMA(wl_task_usage_t, task_usage_fields);

static const wl_field_t usage_fields[] = {
	FIELD_NUMBER(wl_usage_t, taken_ms_ago),
	FIELD_NUMBER(wl_usage_t, cpu_millis),
	FIELD_NUMBER(wl_usage_t, memory_mib),
	FIELD_NUMBER(wl_usage_t, running_requests),
	{.name = "earlier_requests",
	 .kind = WL_FIELD_U64,
	 .offset = offsetof(wl_usage_t, old_epoch_requests),
	 .max = MAX_NUMBER},
};

const wl_schema_t wl_usage_schema = WL_SCHEMA(wl_usage_t, usage_fields);

static const wl_field_t announce_fields[] = {
	WL_FIELD_REQUIRED(wl_announce_t, name, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_announce_t, address, WL_FIELD_BYTES, NAME_BYTES),
	WL_FIELD_REQUIRED(wl_announce_t, boot, WL_FIELD_U64, INT64_MAX),
	WL_FIELD_REQUIRED(wl_announce_t, seq, WL_FIELD_U64, INT64_MAX),
	WL_FIELD_REQUIRED(wl_announce_t, services, WL_FIELD_STRINGS, MAX_SERVICES),
	WL_FIELD(wl_announce_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_announce_t, rack, WL_FIELD_BYTES),
	WL_FIELD_REQUIRED(wl_announce_t, cpu_millis, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_announce_t, memory_mib, WL_FIELD_U64, MAX_NUMBER),
	FIELD_NUMBER(wl_announce_t, accelerators),
	WL_FIELD_REQUIRED(wl_announce_t, slots, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_REQUIRED(wl_announce_t, connections, WL_FIELD_U64, MAX_NUMBER),
	WL_FIELD_NAMES(wl_announce_t, state, wl_announce_state_names),
	WL_FIELD_NEST(wl_announce_t, usage, &wl_usage_schema),
	WL_FIELD_MANY(wl_announce_t, tasks, &wl_task_usage_schema),
};

const wl_schema_t wl_announce_schema = WL_SCHEMA(wl_announce_t, announce_fields);

static const wl_field_t target_lease_fields[] = {
	WL_FIELD(wl_target_lease_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_target_lease_t, attempt, WL_FIELD_U64),
};

const wl_schema_t wl_target_lease_schema = WL_SCHEMA(wl_target_lease_t, target_lease_fields);

static const wl_field_t target_command_fields[] = {
	WL_FIELD(wl_target_command_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, seq, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_target_command_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, lease_ms, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, cpu_permille, WL_FIELD_U64),
	WL_FIELD_NEST(wl_target_command_t, spec, &wl_task_spec_schema),
	WL_FIELD(wl_target_command_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_target_command_t, need, &wl_need_schema),
	WL_FIELD_MANY(wl_target_command_t, leases, &wl_target_lease_schema),
};

const wl_schema_t wl_target_command_schema = WL_SCHEMA(wl_target_command_t, target_command_fields);

static const wl_field_t target_answer_fields[] = {
	WL_FIELD(wl_target_answer_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_target_answer_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_target_answer_t, seq, WL_FIELD_U64),
	FIELD_NUMBER(wl_target_answer_t, running_requests),
	WL_FIELD_MANY(wl_target_answer_t, tasks, &wl_task_usage_schema),
	WL_FIELD(wl_target_answer_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_target_answer_t, error, WL_FIELD_BYTES),
	{.name = "earlier_requests",
	 .kind = WL_FIELD_U64,
	 .offset = offsetof(wl_target_answer_t, old_epoch_requests),
	 .max = MAX_NUMBER},
};

const wl_schema_t wl_target_answer_schema = WL_SCHEMA(wl_target_answer_t, target_answer_fields);
