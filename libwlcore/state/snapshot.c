/*
 * Snapshots of the state: a sequence of items, each with its kind, its length
 * and one packed record.  Equal states give equal bytes.
 */

#include "internal.h"

#include <string.h>

#define SNAPSHOT_FORMAT 1
#define ITEM_HEAD_BYTES 5

typedef enum item_kind {
	ITEM_HEAD,
	ITEM_LIST,
	ITEM_CHANGE,
	ITEM_SESSION,
	ITEM_TARGET,
	ITEM_TASK,
	ITEM_KEY,
	ITEM_KIND,
	ITEM_CATALOG,
	ITEM_RUNNER,
	ITEM_JOB,
	ITEM_RUN, /* must follow the runner and the job that it refers to */
	ITEM_KINDS
} item_kind_t;

typedef struct head_record {
	uint64_t format;
	uint64_t index;
	uint64_t clock_ms;
	uint64_t revision;
	uint64_t owners_index;
	uint64_t owners_floor;
	uint64_t items;
	uint64_t crashes;	 /* of targets that run tasks */
	wl_list_t cancellations; /* wl_job_cancellation_row_t */
	wl_list_t ended_calls;	 /* wl_state_ended_call_row_t */
	wl_list_t lapses;	 /* wl_lapse_row_t */
	wl_list_t evacuations;	 /* wl_evacuation_t */
} head_record_t;

static const wl_field_t head_fields[] = {
	WL_FIELD(head_record_t, format, WL_FIELD_U64),
	WL_FIELD(head_record_t, index, WL_FIELD_U64),
	WL_FIELD(head_record_t, clock_ms, WL_FIELD_U64),
	WL_FIELD(head_record_t, revision, WL_FIELD_U64),
	WL_FIELD(head_record_t, owners_index, WL_FIELD_U64),
	WL_FIELD(head_record_t, owners_floor, WL_FIELD_U64),
	WL_FIELD(head_record_t, items, WL_FIELD_U64),
	WL_FIELD(head_record_t, crashes, WL_FIELD_U64),
	WL_FIELD_MANY(head_record_t, cancellations, &wl_job_cancellation_schema),
	WL_FIELD_MANY(head_record_t, ended_calls, &wl_state_ended_call_schema),
	WL_FIELD_MANY(head_record_t, lapses, &wl_lapse_row_schema),
	WL_FIELD_MANY(head_record_t, evacuations, &wl_evacuation_schema),
};

static const wl_schema_t head_schema = WL_SCHEMA(head_record_t, head_fields);

static const wl_field_t list_fields[] = {
	WL_FIELD(wl_state_list_t, version, WL_FIELD_U64),
	WL_FIELD(wl_state_list_t, text, WL_FIELD_BYTES),
};

static const wl_schema_t list_schema = WL_SCHEMA(wl_state_list_t, list_fields);

static const wl_field_t change_fields[] = {
	WL_FIELD(wl_state_change_t, text, WL_FIELD_BYTES),
	WL_FIELD(wl_state_change_t, version, WL_FIELD_U64),
	WL_FIELD(wl_state_change_t, index, WL_FIELD_U64),
};

static const wl_schema_t change_schema = WL_SCHEMA(wl_state_change_t, change_fields);

static const wl_field_t session_fields[] = {
	WL_FIELD(wl_state_session_t, id, WL_FIELD_U64),
	WL_FIELD(wl_state_session_t, entry, WL_FIELD_BYTES),
	WL_FIELD(wl_state_session_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_state_session_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_state_session_t, availability_zone, WL_FIELD_BYTES),
};

static const wl_schema_t session_schema = WL_SCHEMA(wl_state_session_t, session_fields);

static const wl_field_t target_fields[] = {
	WL_FIELD_NEST(wl_state_target_t, row, &wl_owner_row_schema),
	WL_FIELD(wl_state_target_t, changed, WL_FIELD_U64),
};

static const wl_schema_t target_schema = WL_SCHEMA(wl_state_target_t, target_fields);

static const wl_field_t task_crashes_fields[] = {
	WL_FIELD(wl_task_crashes_t, count, WL_FIELD_U64),
	WL_FIELD(wl_task_crashes_t, run, WL_FIELD_U64),
	WL_FIELD(wl_task_crashes_t, ran_ms, WL_FIELD_U64),
};

static const wl_schema_t task_crashes_schema = WL_SCHEMA(wl_task_crashes_t, task_crashes_fields);

static const wl_field_t task_fields[] = {
	WL_FIELD(wl_task_record_t, number, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, key, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, nonce, WL_FIELD_U64),
	WL_FIELD_NEST(wl_task_record_t, spec, &wl_task_spec_schema),
	WL_FIELD_NAMES(wl_task_record_t, state, wl_task_state_names),
	WL_FIELD(wl_task_record_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, started, WL_FIELD_BOOL),
	WL_FIELD(wl_task_record_t, added_ms, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, assigned_ms, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, ended_ms, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, evictions, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, failures, WL_FIELD_U64),
	WL_FIELD(wl_task_record_t, failed_on, WL_FIELD_STRINGS),
	WL_FIELD(wl_task_record_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, result, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, reason, WL_FIELD_BYTES),
	WL_FIELD(wl_task_record_t, digest, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_task_record_t, held, &wl_need_schema),
	WL_FIELD(wl_task_record_t, boot, WL_FIELD_U64),
	WL_FIELD_NEST(wl_task_record_t, crashes, &task_crashes_schema),
};

const wl_schema_t wl_task_record_schema = WL_SCHEMA(wl_task_record_t, task_fields);

static const wl_field_t key_fields[] = {
	WL_FIELD(wl_state_key_t, text, WL_FIELD_BYTES),
	WL_FIELD(wl_state_key_t, digest, WL_FIELD_BYTES),
	WL_FIELD(wl_state_key_t, session, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, nonce, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, state, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, ended_ms, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, verdict, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, status, WL_FIELD_U64),
	WL_FIELD(wl_state_key_t, content_type, WL_FIELD_BYTES),
	WL_FIELD(wl_state_key_t, body, WL_FIELD_BYTES),
};

static const wl_schema_t key_schema = WL_SCHEMA(wl_state_key_t, key_fields);

static const wl_field_t kind_fields[] = {
	WL_FIELD(wl_state_kind_t, name, WL_FIELD_BYTES),
	WL_FIELD(wl_state_kind_t, samples, WL_FIELD_U64),
	WL_FIELD(wl_state_kind_t, run_ms, WL_FIELD_U64),
	WL_FIELD(wl_state_kind_t, cpu_millis, WL_FIELD_U64),
	WL_FIELD(wl_state_kind_t, memory_mib, WL_FIELD_U64),
};

static const wl_schema_t kind_schema = WL_SCHEMA(wl_state_kind_t, kind_fields);

typedef struct catalog_record {
	wl_buf_t text;
	wl_catalog_t catalog;
} catalog_record_t;

static const wl_field_t catalog_fields[] = {
	WL_FIELD(catalog_record_t, text, WL_FIELD_BYTES),
	WL_FIELD_NEST(catalog_record_t, catalog, &wl_catalog_schema),
};

static const wl_schema_t catalog_schema = WL_SCHEMA(catalog_record_t, catalog_fields);

static void item_pack(wl_buf_t *out, item_kind_t kind, const wl_schema_t *schema,
		      const void *record)
{
	wl_buf_t bytes = {0};
	char head[ITEM_HEAD_BYTES];

	wl_record_pack(schema, record, &bytes);
	head[0] = (char)kind;
	for (size_t i = 1; i < ITEM_HEAD_BYTES; i++)
		head[i] = (char)(bytes.len >> (8 * (i - 1)) & 0xff);
	wl_buf_append(out, (wl_str_t){head, sizeof(head)});
	wl_buf_append(out, wl_buf_str(&bytes));
	wl_buf_free(&bytes);
}

static void tasks_pack(const wl_task_list_t *list, wl_buf_t *out)
{
	const wl_task_t *task;

	TAILQ_FOREACH (task, list, link)
		item_pack(out, ITEM_TASK, &wl_task_record_schema, &task->record);
}

static void keys_pack(const struct wl_state_keys *keys, wl_buf_t *out)
{
	const wl_state_key_t *key;

	TAILQ_FOREACH (key, keys, link)
		item_pack(out, ITEM_KEY, &key_schema, key);
}

static void catalog_pack(const wl_jobs_t *jobs, wl_buf_t *out)
{
	/* A shallow copy: packing only reads the record, and it is not freed here. */
	catalog_record_t record = {.text = jobs->catalog_text, .catalog = jobs->catalog};

	if (jobs->configured)
		item_pack(out, ITEM_CATALOG, &catalog_schema, &record);
}

static void job_pack(const wl_job_t *job, wl_buf_t *out)
{
	wl_job_record_t record;

	wl_record_copy(&wl_job_record_schema, &record, &job->record);
	wl_job_rows_fill(job, &record);
	item_pack(out, ITEM_JOB, &wl_job_record_schema, &record);
	wl_record_free(&wl_job_record_schema, &record);
}

static void runner_pack(const wl_runner_t *runner, wl_buf_t *out)
{
	wl_runner_record_t record = {.report = runner->report,
				     .departed_ms = runner->departed_ms,
				     .crash = runner->crash,
				     .crashed_incarnation = runner->crashed_incarnation};

	item_pack(out, ITEM_RUNNER, &wl_runner_record_schema, &record);
}

static void runs_pack(const wl_runner_t *runner, wl_buf_t *out)
{
	const wl_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, of_runner) {
		wl_run_start_t row = {.job = run->job->record.id,
				      .task = run->task,
				      .run = run->number,
				      .runner = runner->report.id,
				      .incarnation = run->incarnation,
				      .started_ms = run->started_ms,
				      .doubtful = run->doubtful,
				      .announced = run->announced};

		item_pack(out, ITEM_RUN, &wl_run_record_schema, &row);
	}
}

static void jobs_pack(const wl_jobs_t *jobs, wl_buf_t *out)
{
	const wl_runner_t *runner;
	const wl_job_t *job;

	catalog_pack(jobs, out);
	TAILQ_FOREACH (runner, &jobs->runners, link)
		runner_pack(runner, out);
	TAILQ_FOREACH (job, &jobs->live, link)
		job_pack(job, out);
	TAILQ_FOREACH (job, &jobs->ended, link)
		job_pack(job, out);
	TAILQ_FOREACH (runner, &jobs->runners, link)
		runs_pack(runner, out);
}

static uint64_t items_count(const wl_state_t *state)
{
	const wl_state_session_t *session;
	uint64_t count = WL_LISTS + state->change_count;

	TAILQ_FOREACH (session, &state->sessions, link)
		count++;
	count += state->jobs.configured + wl_map_count(&state->jobs.by_runner) +
		 wl_map_count(&state->jobs.by_id) + state->jobs.run_count;
	return count + wl_map_count(&state->by_target) + wl_map_count(&state->by_task) +
	       wl_map_count(&state->by_key) + wl_map_count(&state->by_kind);
}

/*
 * wl_state_pack - append a snapshot of the state to a buffer
 */
void wl_state_pack(const wl_state_t *state, wl_buf_t *out)
{
	const wl_state_change_t *change;
	const wl_state_session_t *session;
	const wl_state_target_t *target;
	const wl_state_kind_t *kind;
	head_record_t head = {.format = SNAPSHOT_FORMAT,
			      .index = state->index,
			      .clock_ms = state->clock_ms,
			      .revision = state->revision,
			      .owners_index = state->owners_index,
			      .owners_floor = state->owners_floor,
			      .items = items_count(state),
			      .crashes = state->jobs.crash_count,
			      /* shared with the state, and not freed here */
			      .evacuations = state->jobs.evacuations};

	wl_job_cancellations_fill(&state->jobs, &head.cancellations);
	wl_state_ended_calls_fill(state, &head.ended_calls);
	wl_lapses_fill(&state->jobs, &head.lapses);
	item_pack(out, ITEM_HEAD, &head_schema, &head);
	wl_list_free(&wl_job_cancellation_schema, &head.cancellations);
	wl_list_free(&wl_state_ended_call_schema, &head.ended_calls);
	wl_list_free(&wl_lapse_row_schema, &head.lapses);
	for (size_t i = 0; i < WL_LISTS; i++)
		item_pack(out, ITEM_LIST, &list_schema, &state->list[i]);
	TAILQ_FOREACH (change, &state->changes, link)
		item_pack(out, ITEM_CHANGE, &change_schema, change);
	TAILQ_FOREACH (session, &state->sessions, link)
		item_pack(out, ITEM_SESSION, &session_schema, session);
	TAILQ_FOREACH (target, &state->targets, link)
		item_pack(out, ITEM_TARGET, &target_schema, target);
	tasks_pack(&state->live, out);
	tasks_pack(&state->ended, out);
	keys_pack(&state->keys_running, out);
	keys_pack(&state->keys_ended, out);
	TAILQ_FOREACH (kind, &state->kinds, link)
		item_pack(out, ITEM_KIND, &kind_schema, kind);
	jobs_pack(&state->jobs, out);
}

/* Progress of reading a snapshot. */
typedef struct reader {
	wl_state_t *state;
	size_t lists;
	uint64_t items;
	uint64_t expected;
} reader_t;

/* An item that is there a second time would hide or leak the first. */
static bool item_repeated(const char *item, wl_err_t *err)
{
	return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN, "snapshot has a second %s", item);
}

static bool read_head(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_t *state = reader->state;
	head_record_t head;

	if (!wl_record_unpack(&head_schema, bytes, &head, err))
		return false;
	if (head.format != SNAPSHOT_FORMAT) {
		wl_record_free(&head_schema, &head);
		return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
				  "snapshot has unsupported format %llu",
				  (unsigned long long)head.format);
	}
	state->index = head.index;
	state->clock_ms = head.clock_ms;
	state->revision = head.revision;
	state->owners_index = head.owners_index;
	state->owners_floor = head.owners_floor;
	state->jobs.crash_count = head.crashes;
	wl_job_cancellations_restore(&state->jobs, &head.cancellations);
	wl_state_ended_calls_restore(state, &head.ended_calls);
	wl_lapses_restore(&state->jobs, &head.lapses);
	state->jobs.evacuations = head.evacuations;
	head.evacuations = (wl_list_t){0};
	reader->expected = head.items;
	wl_record_free(&head_schema, &head);
	return true;
}

static bool read_list(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	if (reader->lists >= WL_LISTS)
		return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
				  "snapshot has a list besides customers and plans");
	return wl_record_unpack(&list_schema, bytes, &reader->state->list[reader->lists++], err);
}

static bool read_change(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_change_t change;

	if (!wl_record_unpack(&change_schema, bytes, &change, err))
		return false;
	wl_state_change_keep(reader->state, wl_buf_str(&change.text), change.version, change.index);
	wl_record_free(&change_schema, &change);
	return true;
}

static bool read_session(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_session_t record;
	wl_state_session_t *session;

	if (!wl_record_unpack(&session_schema, bytes, &record, err))
		return false;
	if (wl_state_session_find(reader->state, record.id)) {
		wl_record_free(&session_schema, &record);
		return item_repeated("session of this id", err);
	}
	session = wl_state_session_add(reader->state, record.id);
	session->boot = record.boot;
	wl_buf_move(&session->entry, &record.entry);
	wl_buf_move(&session->address, &record.address);
	wl_buf_move(&session->availability_zone, &record.availability_zone);
	return true;
}

static bool read_target(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_target_t record;
	wl_state_target_t *target;

	if (!wl_record_unpack(&target_schema, bytes, &record, err))
		return false;
	if (wl_state_target_find(reader->state, wl_buf_str(&record.row.target))) {
		wl_record_free(&target_schema, &record);
		return item_repeated("target of this name", err);
	}
	target = wl_state_target_add(reader->state, wl_buf_str(&record.row.target));
	wl_record_free(&wl_owner_row_schema, &target->row);
	target->row = record.row;
	target->key = wl_buf_str(&target->row.target);
	target->changed = record.changed;
	if (target->row.forgotten)
		reader->state->forgotten_count++;
	return true;
}

static bool read_task(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_task_record_t record;

	if (!wl_record_unpack(&wl_task_record_schema, bytes, &record, err))
		return false;
	if (wl_state_task_known(reader->state, &record)) {
		wl_record_free(&wl_task_record_schema, &record);
		return item_repeated("task of this number, key or nonce", err);
	}
	wl_state_task_restore(reader->state, &record);
	return true;
}

/* Earlier versions stored the last call that had ended as a fresh key. */
static bool read_fresh_key(reader_t *reader, wl_state_key_t *record, wl_err_t *err)
{
	bool added = wl_state_ended_call_add(reader->state, wl_buf_str(&record->text),
					     record->nonce, record->ended_ms);

	wl_record_free(&key_schema, record);
	return added || item_repeated("key of this text", err);
}

static bool read_key(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_key_t record;
	wl_state_key_t *key;

	if (!wl_record_unpack(&key_schema, bytes, &record, err))
		return false;
	if (record.state > WL_KEY_LOST || record.verdict > WL_UNKNOWN) {
		wl_record_free(&key_schema, &record);
		return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
				  "snapshot has a key in an unknown state");
	}
	if (record.state == WL_KEY_FRESH)
		return read_fresh_key(reader, &record, err);
	if (wl_map_get(&reader->state->by_key, wl_buf_str(&record.text))) {
		wl_record_free(&key_schema, &record);
		return item_repeated("key of this text", err);
	}
	key = wl_state_key_restore(reader->state, wl_buf_str(&record.text), record.state);
	key->session = record.session;
	key->nonce = record.nonce;
	key->ended_ms = record.ended_ms;
	key->verdict = record.verdict;
	key->status = record.status;
	wl_buf_move(&key->digest, &record.digest);
	wl_buf_move(&key->content_type, &record.content_type);
	wl_buf_move(&key->body, &record.body);
	wl_buf_free(&record.text);
	return true;
}

static bool read_kind(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_state_kind_t record;
	wl_state_kind_t *kind;

	if (!wl_record_unpack(&kind_schema, bytes, &record, err))
		return false;
	if (wl_state_kind_find(reader->state, wl_buf_str(&record.name))) {
		wl_record_free(&kind_schema, &record);
		return item_repeated("kind of this name", err);
	}
	kind = wl_state_kind_add(reader->state, wl_buf_str(&record.name));
	kind->samples = record.samples;
	kind->run_ms = record.run_ms;
	kind->cpu_millis = record.cpu_millis;
	kind->memory_mib = record.memory_mib;
	wl_buf_free(&record.name);
	return true;
}

static bool read_catalog(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_jobs_t *jobs = &reader->state->jobs;
	catalog_record_t record;

	if (jobs->configured)
		return item_repeated("configuration", err);
	if (!wl_record_unpack(&catalog_schema, bytes, &record, err))
		return false;
	jobs->catalog_text = record.text;
	jobs->catalog = record.catalog;
	jobs->configured = true;
	wl_jobs_catalog_changed(jobs);
	return true;
}

static bool read_runner(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_runner_record_t record;

	if (!wl_record_unpack(&wl_runner_record_schema, bytes, &record, err))
		return false;
	if (wl_jobs_runner(&reader->state->jobs, wl_buf_str(&record.report.id))) {
		wl_record_free(&wl_runner_record_schema, &record);
		return item_repeated("target for jobs of this id", err);
	}
	wl_jobs_restore_runner(&reader->state->jobs, &record);
	return true;
}

static bool read_job(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_job_record_t record;

	if (!wl_record_unpack(&wl_job_record_schema, bytes, &record, err))
		return false;
	if (wl_jobs_find(&reader->state->jobs, wl_buf_str(&record.id))) {
		wl_record_free(&wl_job_record_schema, &record);
		return item_repeated("job of this id", err);
	}
	if (!wl_job_spec_check(&record.spec, err)) {
		wl_record_free(&wl_job_record_schema, &record);
		return false;
	}
	return wl_jobs_restore(&reader->state->jobs, &record) ||
	       wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
			  "snapshot has a job with missing tasks, or two at one address");
}

static bool read_run(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	wl_run_start_t row;
	bool ok;

	if (!wl_record_unpack(&wl_run_record_schema, bytes, &row, err))
		return false;
	ok = wl_jobs_restore_run(&reader->state->jobs, &row);
	wl_record_free(&wl_run_record_schema, &row);
	return ok || wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
				"snapshot has a run without its job or runner, or twice");
}

static bool (*const readers[ITEM_KINDS])(reader_t *, wl_str_t, wl_err_t *) = {
	[ITEM_HEAD] = read_head,       [ITEM_LIST] = read_list,	    [ITEM_CHANGE] = read_change,
	[ITEM_SESSION] = read_session, [ITEM_TARGET] = read_target, [ITEM_TASK] = read_task,
	[ITEM_KEY] = read_key,	       [ITEM_KIND] = read_kind,	    [ITEM_CATALOG] = read_catalog,
	[ITEM_RUNNER] = read_runner,   [ITEM_JOB] = read_job,	    [ITEM_RUN] = read_run,
};

static bool item_next(wl_str_t *bytes, item_kind_t *kind, wl_str_t *record)
{
	size_t len = 0;

	if (bytes->len < ITEM_HEAD_BYTES)
		return false;
	for (size_t i = 1; i < ITEM_HEAD_BYTES; i++)
		len |= (size_t)(unsigned char)bytes->at[i] << (8 * (i - 1));
	if ((unsigned char)bytes->at[0] >= ITEM_KINDS || len > bytes->len - ITEM_HEAD_BYTES)
		return false;
	*kind = (item_kind_t)bytes->at[0];
	*record = (wl_str_t){bytes->at + ITEM_HEAD_BYTES, len};
	bytes->at += ITEM_HEAD_BYTES + len;
	bytes->len -= ITEM_HEAD_BYTES + len;
	return true;
}

static bool read_all(reader_t *reader, wl_str_t bytes, wl_err_t *err)
{
	item_kind_t kind;
	wl_str_t record;

	while (bytes.len > 0) {
		if (!item_next(&bytes, &kind, &record))
			return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
					  "snapshot has a truncated or unknown item");
		if (!readers[kind](reader, record, err))
			return false;
		if (kind != ITEM_HEAD)
			reader->items++;
	}
	if (reader->items != reader->expected)
		return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN, "snapshot has %llu of %llu items",
				  (unsigned long long)reader->items,
				  (unsigned long long)reader->expected);
	return true;
}

/*
 * wl_state_unpack - replace the state by the one in a snapshot
 * @bytes: from wl_state_pack(); empty for the empty state
 * @err: WL_E_DAMAGED or WL_E_BAD_INPUT
 *
 * Return: false on error; the state is empty then.
 */
bool wl_state_unpack(wl_state_t *state, wl_str_t bytes, wl_err_t *err)
{
	reader_t reader = {.state = state};
	wl_lists_t *lists = NULL;

	wl_state_clear(state);
	wl_state_init_empty(state);
	if (read_all(&reader, bytes, err))
		lists = wl_lists_new(wl_buf_str(&state->list[WL_LIST_CUSTOMERS].text),
				     wl_buf_str(&state->list[WL_LIST_PLANS].text), err);
	if (!lists) {
		wl_state_clear(state);
		wl_state_init_empty(state);
		return false;
	}
	wl_lists_free(state->lists);
	state->lists = lists;
	return true;
}
