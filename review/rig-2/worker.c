/*
 * A stand-in of one minion, as the pages describe it: it reports itself, starts and stops runs,
 * keeps one lease for all of them, and lists their ends until they are taken note of.
 *
 * Usage: worker ID ADDRESS SERVICE ZONE KIND RACK RECORD FOLDER CORE[,CORE...]
 *
 * What a task does stands in its spec, as words "name=number":
 *   work  ms until the task is done; 0: it lasts
 *   save  ms of work between two checkpoints; 0: it keeps none
 *   gang  number of members; 0: the task works alone
 * A minion whose FOLDER has the file "grey-ID" fails the runs that work there, after as many ms
 * of work as the file says. Members of a gang meet in FOLDER.
 *
 * Orders that are carried out late: a minion whose FOLDER has the file "late-ack-ID" leaves the
 * next hold that names an end without an answer and keeps it in "held-ID"; with "late-hold-ID" it
 * does so with the next hold that it gets while something runs, and carries that one out LATE_MS
 * later. With "replay-ID" it carries out the one in "held-ID", also if it has started anew since.
 *
 * A checkpoint is the work done in ms, as 8 hexadecimal digits, and 8 more that are different for
 * each member: the value of any member stands for the same point of the work of all.
 */

#include "http.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define BEAT_MS		1500
#define BEAT_TIMEOUT_MS 1000
#define HOLD_MAX_MS	6000 /* longest lease that is granted */
#define GANG_TIMEOUT_MS 3000
#define TICK_MS		10
#define CLOCK_START_MS	1000
#define LATE_MS		5000
#define CPU_MILLIS	32000
#define MEMORY_MIB	128000
#define LISTED_MAX	500
#define RUNS_MAX	256
#define CORES_MAX	8
#define NAME_MAX_BYTES	96
#define NUMBER_BYTES	32

enum {
	ARG_ID = 1,
	ARG_ADDRESS,
	ARG_SERVICE,
	ARG_ZONE,
	ARG_KIND,
	ARG_RACK,
	ARG_RECORD,
	ARG_FOLDER,
	ARG_CORES
};

typedef struct run {
	char task[NAME_MAX_BYTES];
	int64_t number;
	int64_t work_ms; /* 0: it lasts */
	int64_t save_ms;
	int64_t gang;
	char loaded[NUMBER_BYTES]; /* checkpoint that its start carried */
	char saved[NUMBER_BYTES];  /* newest one */
	int64_t base_ms;	   /* work that the loaded one stands for */
	int64_t placed_ms;	   /* when it was started here */
	int64_t began_ms;	   /* when it began to work; 0: it waits for its gang */
} run_t;

typedef struct end {
	int64_t number;
	char task[NAME_MAX_BYTES];
	int64_t run;
	const char *how;
	char saved[NUMBER_BYTES];
} end_t;

typedef struct highest {
	char task[NAME_MAX_BYTES];
	int64_t run;
} highest_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t ended;
	const char *args[ARG_CORES + 1];
	int record;
	int64_t start_ms;
	int64_t born;
	int64_t fence;
	int64_t lease_until; /* on the own clock */
	run_t runs[RUNS_MAX];
	size_t run_count;
	end_t *ends;
	size_t end_count;
	int64_t newest_end;
	highest_t *highest; /* runs that were stopped or have ended */
	size_t highest_count;
	char *cores[CORES_MAX];
	size_t core_count;
	char beat_to[HTTP_TEXT_MAX]; /* named by the system; empty: none */
	json_t *late;		     /* a hold that is carried out late; NULL: none */
	int64_t late_at_ms;	     /* when, on the own clock */
} worker = {.lock = PTHREAD_MUTEX_INITIALIZER, .ended = PTHREAD_COND_INITIALIZER};

static int64_t unix_ms(void)
{
	struct timespec at;

	clock_gettime(CLOCK_REALTIME, &at);
	return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

static int64_t clock_ms(void)
{
	return http_now_ms() - worker.start_ms + CLOCK_START_MS;
}

__attribute__((format(printf, 1, 2))) static void record(const char *format, ...)
{
	char line[1024];
	int len = snprintf(line, sizeof(line), "%lld minion=%s ", (long long)unix_ms(),
			   worker.args[ARG_ID]);
	va_list args;

	va_start(args, format);
	len += vsnprintf(line + len, sizeof(line) - (size_t)len - 1, format, args);
	va_end(args);
	line[len++] = '\n';
	if (write(worker.record, line, (size_t)len) < 0)
		perror("record");
}

static int64_t spec_number(const char *spec, const char *name)
{
	size_t len = strlen(name);

	for (const char *at = spec; at && *at; at = strchr(at, ' ')) {
		at += strspn(at, " ");
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			return strtoll(at + len + 1, NULL, 10);
	}
	return 0;
}

/* Splits "JOB.K.STEP.INDEX" into the name of the step and the index. */
static int64_t task_index(const char *task, char step[NAME_MAX_BYTES])
{
	const char *dot = strrchr(task, '.');

	snprintf(step, NAME_MAX_BYTES, "%.*s", dot ? (int)(dot - task) : 0, task);
	return dot ? strtoll(dot + 1, NULL, 10) : 0;
}

/* Path of a file that belongs to one run of a gang. */
static void gang_path(const run_t *run, const char *file, char *path, size_t size)
{
	char step[NAME_MAX_BYTES];

	task_index(run->task, step);
	snprintf(path, size, "%s/gang-%s.%lld%s%s", worker.args[ARG_FOLDER], step,
		 (long long)run->number, *file ? "/" : "", file);
}

static void gang_write(const run_t *run, const char *file, const char *text)
{
	char path[1024];
	FILE *out;

	gang_path(run, "", path, sizeof(path));
	mkdir(path, 0700);
	gang_path(run, file, path, sizeof(path));
	out = fopen(path, "we");
	if (!out)
		return;
	fputs(text, out);
	fclose(out);
}

static bool gang_has(const run_t *run, const char *file)
{
	char path[1024];

	gang_path(run, file, path, sizeof(path));
	return access(path, F_OK) == 0;
}

/* Counts the members that are present, and those that have the same checkpoint as this one. */
static void gang_count(const run_t *run, int64_t *present, int64_t *same)
{
	char path[1024];
	char file[NUMBER_BYTES];
	char text[NUMBER_BYTES];

	*present = 0;
	*same = 0;
	for (int64_t i = 0; i < run->gang; i++) {
		FILE *in;

		snprintf(file, sizeof(file), "%lld", (long long)i);
		gang_path(run, file, path, sizeof(path));
		in = fopen(path, "re");
		if (!in)
			continue;
		if (!fgets(text, sizeof(text), in))
			text[0] = '\0';
		fclose(in);
		(*present)++;
		*same += strcmp(text, run->loaded) == 0;
	}
}

static highest_t *highest_of(const char *task)
{
	highest_t *row;

	for (size_t i = 0; i < worker.highest_count; i++)
		if (strcmp(worker.highest[i].task, task) == 0)
			return &worker.highest[i];
	worker.highest =
		realloc(worker.highest, (worker.highest_count + 1) * sizeof(*worker.highest));
	row = &worker.highest[worker.highest_count++];
	snprintf(row->task, sizeof(row->task), "%s", task);
	row->run = 0;
	return row;
}

static run_t *run_find(const char *task)
{
	for (size_t i = 0; i < worker.run_count; i++)
		if (strcmp(worker.runs[i].task, task) == 0)
			return &worker.runs[i];
	return NULL;
}

static int64_t run_worked_ms(const run_t *run)
{
	return run->began_ms ? run->base_ms + clock_ms() - run->began_ms : run->base_ms;
}

static void run_save(run_t *run)
{
	char step[NAME_MAX_BYTES];
	int64_t index = task_index(run->task, step);

	if (run->save_ms && run->began_ms)
		snprintf(run->saved, sizeof(run->saved), "%08llx%08llx",
			 (unsigned long long)run_worked_ms(run), (unsigned long long)index + 1);
}

static void run_end(run_t *run, const char *how)
{
	highest_t *highest = highest_of(run->task);
	end_t *end;

	if (strcmp(how, "stopped") == 0 || strcmp(how, "broken") == 0)
		run_save(run);
	worker.ends = realloc(worker.ends, (worker.end_count + 1) * sizeof(*worker.ends));
	end = &worker.ends[worker.end_count++];
	end->number = ++worker.newest_end;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	snprintf(end->saved, sizeof(end->saved), "%s", run->saved);
	end->run = run->number;
	end->how = how;
	if (run->number > highest->run)
		highest->run = run->number;
	record("end task=%s run=%lld how=%s number=%lld saved=%s", run->task,
	       (long long)run->number, how, (long long)end->number, run->saved);
	if (run->gang && strcmp(how, "done") != 0)
		gang_write(run, "broken", "");
	*run = worker.runs[--worker.run_count];
	pthread_cond_broadcast(&worker.ended);
}

static void own_path(const char *kind, char *path, size_t size)
{
	snprintf(path, size, "%s/%s-%s", worker.args[ARG_FOLDER], kind, worker.args[ARG_ID]);
}

/* Removes a file of this minion. Returns whether it was there. */
static bool own_take(const char *kind)
{
	char path[1024];

	own_path(kind, path, sizeof(path));
	return unlink(path) == 0;
}

/* Ms of work after which runs here fail; 0: they do not. */
static int64_t grey_ms(void)
{
	char path[1024];
	long long ms = 0;
	FILE *in;

	own_path("grey", path, sizeof(path));
	in = fopen(path, "re");
	if (!in)
		return 0;
	if (fscanf(in, "%lld", &ms) != 1)
		ms = 0;
	fclose(in);
	return ms;
}

/* Returns how the run ends now; NULL: it does not. */
static const char *gang_tick(run_t *run)
{
	int64_t present;
	int64_t same;

	if (gang_has(run, "done"))
		return "done";
	if (gang_has(run, "broken"))
		return "broken";
	if (run->began_ms)
		return NULL;
	gang_count(run, &present, &same);
	if (present == run->gang && same == run->gang) {
		run->began_ms = clock_ms();
		record("work task=%s run=%lld present=%lld", run->task, (long long)run->number,
		       (long long)present);
		return NULL;
	}
	if (clock_ms() - run->placed_ms < GANG_TIMEOUT_MS)
		return NULL;
	record("alone task=%s run=%lld present=%lld same-checkpoint=%lld", run->task,
	       (long long)run->number, (long long)present, (long long)same);
	return "alone";
}

static const char *run_tick(run_t *run, int64_t grey)
{
	const char *how = run->gang ? gang_tick(run) : NULL;

	if (how || !run->began_ms)
		return how;
	if (grey && clock_ms() - run->began_ms >= grey)
		return "failed";
	if (run->save_ms && run_worked_ms(run) / run->save_ms >
				    (int64_t)(strtoull(run->saved, NULL, 16) >> 32) / run->save_ms)
		run_save(run);
	if (!run->work_ms || run_worked_ms(run) < run->work_ms)
		return NULL;
	if (run->gang)
		gang_write(run, "done", "");
	return "done";
}

static void hold_carry_out(const json_t *body);

static void late_tick(void)
{
	char path[1024];
	json_t *body;

	if (worker.late && clock_ms() >= worker.late_at_ms) {
		hold_carry_out(worker.late);
		json_decref(worker.late);
		worker.late = NULL;
	}
	if (!own_take("replay"))
		return;
	own_path("held", path, sizeof(path));
	body = json_load_file(path, 0, NULL);
	if (body)
		hold_carry_out(body);
	json_decref(body);
}

static void *tick_main(void *arg)
{
	(void)arg;
	for (;;) {
		int64_t grey = grey_ms();

		pthread_mutex_lock(&worker.lock);
		late_tick();
		for (size_t i = worker.run_count; i-- > 0;) {
			bool lapsed = clock_ms() >= worker.lease_until;
			const char *how = lapsed ? "lapsed" : run_tick(&worker.runs[i], grey);

			if (how)
				run_end(&worker.runs[i], how);
		}
		pthread_mutex_unlock(&worker.lock);
		usleep(TICK_MS * 1000);
	}
	return NULL;
}

static int64_t number_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static const char *text_of(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

static void answer(int fd, int status, json_t *body)
{
	char *text;

	json_object_set_new(body, "clock_ms", json_integer(clock_ms()));
	text = json_dumps(body, JSON_COMPACT);
	http_answer(fd, status, text);
	free(text);
	json_decref(body);
}

static void refuse(int fd, const char *reason)
{
	answer(fd, 409, json_pack("{s:s}", "reason", reason));
}

static void lease_take(int64_t until)
{
	if (until > clock_ms() + HOLD_MAX_MS)
		until = clock_ms() + HOLD_MAX_MS;
	if (until > worker.lease_until)
		worker.lease_until = until;
}

/* Returns whether the order is not below the highest fencing token. */
static bool fence_take(const json_t *body)
{
	int64_t token = number_of(body, "fencing_token");

	if (token < worker.fence)
		return false;
	worker.fence = token;
	return true;
}

static void run_start(const json_t *body)
{
	const char *spec = text_of(body, "spec");
	run_t *run = &worker.runs[worker.run_count++];
	char index[NUMBER_BYTES];
	char step[NAME_MAX_BYTES];

	memset(run, 0, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", text_of(body, "task"));
	snprintf(run->loaded, sizeof(run->loaded), "%s", text_of(body, "checkpoint"));
	memcpy(run->saved, run->loaded, sizeof(run->saved));
	run->number = number_of(body, "run_id");
	run->work_ms = spec_number(spec, "work");
	run->save_ms = spec_number(spec, "save");
	run->gang = spec_number(spec, "gang");
	run->base_ms = (int64_t)(strtoull(run->loaded, NULL, 16) >> 32);
	run->placed_ms = clock_ms();
	record("start task=%s run=%lld checkpoint=%s", run->task, (long long)run->number,
	       run->loaded);
	if (!run->gang) {
		run->began_ms = clock_ms();
		return;
	}
	snprintf(index, sizeof(index), "%lld", (long long)task_index(run->task, step));
	gang_write(run, index, run->loaded);
}

static void on_start(int fd, const json_t *body)
{
	const char *task = text_of(body, "task");
	int64_t number = number_of(body, "run_id");
	int64_t until = number_of(body, "deadline_ms");
	const run_t *there = run_find(task);

	if (!fence_take(body)) {
		refuse(fd, "fence");
		return;
	}
	if (until <= clock_ms()) {
		refuse(fd, "late");
		return;
	}
	lease_take(until);
	if (there && there->number == number) {
		answer(fd, 200, json_object());
		return;
	}
	if (there || number <= highest_of(task)->run) {
		refuse(fd, "old");
		return;
	}
	if (worker.run_count == RUNS_MAX) {
		refuse(fd, "room");
		return;
	}
	run_start(body);
	answer(fd, 200, json_object());
}

static void on_stop(int fd, const json_t *body)
{
	const char *task = text_of(body, "task");
	int64_t number = number_of(body, "run_id");
	run_t *run = run_find(task);
	highest_t *highest;

	if (!fence_take(body)) {
		refuse(fd, "fence");
		return;
	}
	if (run && run->number == number)
		run_end(run, "stopped");
	highest = highest_of(task);
	if (number > highest->run)
		highest->run = number;
	answer(fd, 200, json_object());
}

static void ends_forget(int64_t seen)
{
	size_t kept = 0;

	for (size_t i = 0; i < worker.end_count; i++) {
		if (worker.ends[i].number > seen)
			worker.ends[kept++] = worker.ends[i];
		else
			record("noted number=%lld task=%s run=%lld how=%s",
			       (long long)worker.ends[i].number, worker.ends[i].task,
			       (long long)worker.ends[i].run, worker.ends[i].how);
	}
	worker.end_count = kept;
}

static void end_wait(int64_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (worker.end_count == 0 &&
	       pthread_cond_timedwait(&worker.ended, &worker.lock, &until) == 0)
		;
}

static json_t *lists(void)
{
	json_t *running = json_array();
	json_t *ends = json_array();

	for (size_t i = 0; i < worker.run_count; i++) {
		const run_t *run = &worker.runs[i];

		json_array_append_new(
			running, json_pack("[sIsiI]", run->task, (json_int_t)run->number,
					   run->saved, run->began_ms ? 100 : 0, (json_int_t)1000));
	}
	for (size_t i = 0; i < worker.end_count && i < LISTED_MAX; i++) {
		const end_t *end = &worker.ends[i];

		json_array_append_new(ends, json_pack("[IsIss]", (json_int_t)end->number, end->task,
						      (json_int_t)end->run, end->how, end->saved));
	}
	return json_pack("{s:I,s:o,s:o}", "born", (json_int_t)worker.born, "running", running,
			 "completions", ends);
}

/* A hold that was delayed: nobody waits for its answer any more. */
static void hold_carry_out(const json_t *body)
{
	bool taken = fence_take(body);

	record("late hold last_seen=%lld taken=%s", (long long)number_of(body, "last_seen"),
	       taken ? "yes" : "no");
	if (!taken)
		return;
	lease_take(number_of(body, "deadline_ms"));
	ends_forget(number_of(body, "last_seen"));
}

/* Returns whether the hold is left without an answer and is carried out later. */
static bool hold_delay(const json_t *body)
{
	char path[1024];

	if (number_of(body, "last_seen") > 0 && own_take("late-ack")) {
		own_path("held", path, sizeof(path));
		json_dump_file(body, path, JSON_COMPACT);
	} else if (worker.run_count > 0 && !worker.late && own_take("late-hold")) {
		worker.late = json_deep_copy(body);
		worker.late_at_ms = clock_ms() + LATE_MS;
	} else {
		return false;
	}
	record("unanswered hold last_seen=%lld", (long long)number_of(body, "last_seen"));
	return true;
}

static void on_hold(int fd, const json_t *body)
{
	if (hold_delay(body))
		return;
	if (!fence_take(body)) {
		refuse(fd, "fence");
		return;
	}
	lease_take(number_of(body, "deadline_ms"));
	ends_forget(number_of(body, "last_seen"));
	if (number_of(body, "wait_ms"))
		end_wait(number_of(body, "wait_ms"));
	answer(fd, 200, lists());
}

static void on_pace(int fd, const json_t *body)
{
	if (fence_take(body))
		answer(fd, 200, json_object());
	else
		refuse(fd, "fence");
}

typedef void (*order_handler_t)(int fd, const json_t *body);

static const struct {
	const char *path;
	order_handler_t handle;
} orders[] = {
	{"/-/run-start", on_start},
	{"/-/run-stop", on_stop},
	{"/-/hold", on_hold},
	{"/-/pace", on_pace},
};

static void on_request(int fd, const http_request_t *request)
{
	json_t *body;

	if (strcmp(request->method, "GET") == 0) {
		http_answer(fd, strcmp(request->path, "/healthz") == 0 ? 200 : 404, "{}");
		return;
	}
	if (strcmp(request->expected_instance, worker.args[ARG_ID]) != 0) {
		answer(fd, 421, json_object());
		return;
	}
	body = json_loads(request->body, 0, NULL);
	pthread_mutex_lock(&worker.lock);
	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++) {
		if (strcmp(request->path, orders[i].path) != 0)
			continue;
		if (body)
			orders[i].handle(fd, body);
		else
			answer(fd, 400, json_object());
		break;
	}
	pthread_mutex_unlock(&worker.lock);
	json_decref(body);
}

static bool beat_send(const char *address, const char *body)
{
	char path[HTTP_TEXT_MAX];
	http_call_t call = {.method = "POST",
			    .address = address,
			    .path = path,
			    .body = body,
			    .timeout_ms = BEAT_TIMEOUT_MS};
	http_reply_t reply;
	json_t *named;
	bool ok;

	snprintf(path, sizeof(path), "/-/instances/%s/heartbeat", worker.args[ARG_ID]);
	ok = http_send(&call, &reply) && reply.status / 100 == 2;
	named = ok ? json_loads(reply.body, 0, NULL) : NULL;
	if (named && *text_of(named, "heartbeat_url"))
		snprintf(worker.beat_to, sizeof(worker.beat_to), "%s",
			 text_of(named, "heartbeat_url"));
	json_decref(named);
	free(reply.body);
	return ok;
}

static void beat(int64_t sequence)
{
	char *body;
	json_t *report =
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
			  "backend", worker.args[ARG_SERVICE], "address", worker.args[ARG_ADDRESS],
			  "zone", worker.args[ARG_ZONE], "version", "v1", "slots", 8, "state",
			  "ready", "cold_remaining_ms", 0, "capacity", "cpu", CPU_MILLIS, "mem_mb",
			  MEMORY_MIB, "gpu", 0, "labels", worker.args[ARG_KIND],
			  worker.args[ARG_RACK], "clock_ms", (json_int_t)clock_ms(), "sequence",
			  (json_int_t)sequence, "born", (json_int_t)worker.born);
	static size_t next;

	body = json_dumps(report, JSON_COMPACT);
	json_decref(report);
	if (!worker.beat_to[0] || !beat_send(worker.beat_to, body)) {
		worker.beat_to[0] = '\0';
		for (size_t i = 0; i < worker.core_count; i++)
			if (beat_send(worker.cores[next++ % worker.core_count], body))
				break;
	}
	free(body);
}

static void cores_split(char *list)
{
	char *rest = NULL;

	for (char *core = strtok_r(list, ",", &rest); core && worker.core_count < CORES_MAX;
	     core = strtok_r(NULL, ",", &rest))
		worker.cores[worker.core_count++] = core;
}

int main(int argc, char **argv)
{
	pthread_t thread;

	if (argc <= ARG_CORES) {
		fprintf(stderr,
			"usage: worker ID ADDRESS SERVICE ZONE KIND RACK RECORD FOLDER CORES\n");
		return 2;
	}
	for (int i = 0; i <= ARG_CORES; i++)
		worker.args[i] = argv[i];
	worker.record = open(argv[ARG_RECORD], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
	worker.start_ms = http_now_ms();
	worker.born = unix_ms();
	cores_split(argv[ARG_CORES]);
	if (worker.record < 0 || !http_serve(argv[ARG_ADDRESS], on_request) ||
	    pthread_create(&thread, NULL, tick_main, NULL) != 0) {
		perror("worker");
		return 2;
	}
	record("born=%lld", (long long)worker.born);
	for (int64_t sequence = 1;; sequence++) {
		beat(sequence);
		usleep(BEAT_MS * 1000);
	}
}
