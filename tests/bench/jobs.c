/*
 * Measures the processor time of scheduling jobs: five replicas, targets that answer at once,
 * long-running serving tasks with a bound on their tail latency, short jobs of two steps at the
 * given rate, most of them best-effort, reads of jobs, and a backlog that fits on no target.
 *
 * Usage: wl-bench-jobs [TARGETS [STARTS_PER_S [BACKLOG_TASKS [CORES_MAX]]]]
 * Prints CSV about the leader.  Its processor time includes packing and unpacking of messages, but
 * not the calls to targets; that of a tick with nothing due is measured at the end.  Fails if the
 * leader uses more than CORES_MAX.
 */

#include <stdio.h>
#include <stdlib.h>

#include <libwlbase/units.h>

#include "replicas.h"
#include "targets.h"

#define RUN_MS		       10000ul /* simulated time of the measurement */
#define SETTLE_MS	       4000ul
#define STEP_MS		       2ul /* step of the simulated clock */
#define REPORT_INTERVAL_MS     1500ul
#define READ_INTERVAL_MS       1000ul /* interval in which each of the newest jobs is read */
#define READ_JOBS_MAX	       100    /* jobs that are read per interval */
#define ROUTES		       245
#define SERVING_TASKS	       14   /* per job */
#define SERVING_PERMILLE       3300 /* tasks per 1000 targets */
#define SERVING_IMAGES	       10
#define BEST_EFFORT_IMAGES     18
#define SHORT_TASKS	       10 /* per step */
#define BEST_EFFORT_TASKS      20
#define BEST_EFFORT_OF_FOUR    3 /* best-effort starts of every four */
#define BEST_EFFORT_CPU_MILLIS 3500
#define BACKLOG_CPU_MILLIS     40000
#define PAYLOAD_BYTES	       600
#define PATH_BYTES	       64
#define TARGETS_PER_RACK       12

static size_t target_count = 66;
static uint64_t job_count; /* submitted */

static void catalog_put(size_t node)
{
	wl_buf_t body = {0};

	wl_buf_append(&body, WL_STR("{\"version\":1,\"routes\":["));
	for (int i = 0; i < ROUTES; i++)
		wl_buf_printf(&body,
			      "{\"name\":\"idle%d\",\"host\":\"h%d\",\"path_prefix\":\"/idle%d/\","
			      "\"timeout_ms\":3000,\"backend\":\"s\",\"priority\":1},",
			      i, i, i);
	wl_buf_append(
		&body,
		WL_STR("{\"name\":\"plain\",\"host\":\"h\",\"path_prefix\":\"/p/\",\"timeout_ms\":"
		       "3000,\"backend\":\"s\",\"target_latency_ms\":250,\"slack_factor\":1.5},"
		       "{\"name\":\"best\",\"host\":\"h\",\"path_prefix\":\"/b/\",\"timeout_ms\":"
		       "3000,\"backend\":\"s\",\"target_latency_ms\":1000,\"slack_factor\":2,"
		       "\"priority\":2},"
		       "{\"name\":\"lasting\",\"host\":\"h\",\"path_prefix\":\"/l/\",\"timeout_ms\""
		       ":3000,\"backend\":\"s\",\"target_latency_ms\":2500,\"slack_factor\":2}],"
		       "\"services\":[{\"name\":\"s\"}]}"));
	replicas_call(node, WL_LISTENER_CONTROL, "POST", "/-/config/replace", wl_buf_str(&body));
	wl_buf_free(&body);
}

static void report_all(size_t node, uint64_t sequence)
{
	for (size_t i = 0; i < target_count; i++) {
		char path[PATH_BYTES];
		wl_buf_t body = {0};

		snprintf(path, sizeof(path), "/-/instances/i-%012zx/heartbeat", i);
		wl_buf_printf(
			&body,
			"{\"backend\":\"s\",\"address\":\"10.0.0.1:%zu\",\"zone\":\"a\",\"state\":"
			"\"ready\",\"capacity\":{\"cpu\":32000,\"mem_mb\":128000},\"labels\":["
			"\"a\",\"r%zu\"],\"clock_ms\":%llu,\"sequence\":%llu,\"born\":1}",
			i, i / TARGETS_PER_RACK,
			(unsigned long long)(replicas_now_ns() / WL_NS_PER_MS),
			(unsigned long long)sequence);
		replicas_call(node, WL_LISTENER_CONTROL, "POST", path, wl_buf_str(&body));
		wl_buf_free(&body);
	}
}

/* Returns the daemon that receives the job: one of the followers, which forward it. */
static size_t entry_by_job(uint64_t job)
{
	size_t node = job % (REPLICAS - 1);

	return node + (node >= replicas_leader());
}

static void payload_write(wl_buf_t *body, const char *kind, uint64_t run_ms)
{
	size_t until = body->len + PAYLOAD_BYTES;

	wl_buf_printf(body, "{\"spec\":\"%s run_ms=%llu ", kind, (unsigned long long)run_ms);
	while (body->len < until)
		wl_buf_append(body, WL_STR("0123456789abcdef"));
	wl_buf_append(body, WL_STR("\",\"steps\":["));
}

static void job_submit(const char *prefix, const wl_buf_t *body)
{
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "%s%016llx", prefix, (unsigned long long)++job_count);
	replicas_call(entry_by_job(job_count), WL_LISTENER_CALLER, "POST", path, wl_buf_str(body));
}

static void serving_job_submit(void)
{
	wl_buf_t body = {0};

	payload_write(&body, "lasting", 0);
	wl_buf_printf(&body,
		      "{\"count\":%d,\"cpu\":6400,\"mem_mb\":13000,\"estimated_ms\":70000,"
		      "\"long_running\":true,\"max_unavailable\":1,\"image\":\"l%llu\","
		      "\"target_ms\":125}]}",
		      SERVING_TASKS, (unsigned long long)(job_count % SERVING_IMAGES));
	job_submit("/l/", &body);
	wl_buf_free(&body);
}

static void short_job_submit(void)
{
	wl_buf_t body = {0};

	payload_write(&body, "plain", 540);
	for (int i = 0; i < 2; i++)
		wl_buf_printf(
			&body,
			"%s{\"count\":%d,\"cpu\":5000,\"mem_mb\":8200,\"estimated_ms\":540%s}",
			i ? "," : "", SHORT_TASKS, i ? ",\"depends_on\":[0]" : "");
	wl_buf_append(&body, WL_STR("]}"));
	job_submit("/p/", &body);
	wl_buf_free(&body);
}

static void best_effort_job_submit(uint64_t cpu_millis)
{
	wl_buf_t body = {0};

	payload_write(&body, "best-effort", 1900);
	for (int i = 0; i < 2; i++)
		wl_buf_printf(&body,
			      "%s{\"count\":%d,\"cpu\":%llu,\"mem_mb\":6400,\"estimated_ms\":1900,"
			      "\"checkpointing\":true,\"fills\":true,\"image\":\"b%llu\"%s}",
			      i ? "," : "", BEST_EFFORT_TASKS, (unsigned long long)cpu_millis,
			      (unsigned long long)(job_count % BEST_EFFORT_IMAGES),
			      i ? ",\"depends_on\":[0]" : "");
	wl_buf_append(&body, WL_STR("]}"));
	job_submit("/b/", &body);
	wl_buf_free(&body);
}

/* Reads each of the newest jobs once per READ_INTERVAL_MS, evenly spread. */
static void jobs_read(uint64_t ms)
{
	static const char *const prefixes[] = {"/p/", "/b/"};
	uint64_t count = READ_JOBS_MAX * STEP_MS;
	char path[PATH_BYTES];

	for (uint64_t i = ms * READ_JOBS_MAX / READ_INTERVAL_MS;
	     i < (ms * READ_JOBS_MAX + count) / READ_INTERVAL_MS; i++) {
		uint64_t job = job_count - i % READ_JOBS_MAX;

		snprintf(path, sizeof(path), "%s%016llx", prefixes[i % 2], (unsigned long long)job);
		replicas_call(entry_by_job(job), WL_LISTENER_CALLER, "GET", path, (wl_str_t){0});
	}
}

static void load_step(uint64_t ms, uint64_t per_s)
{
	static uint64_t best_effort;
	static uint64_t short_jobs;
	uint64_t due = per_s * ms / 1000;

	for (; best_effort * 2 * BEST_EFFORT_TASKS < due * BEST_EFFORT_OF_FOUR / 4; best_effort++)
		best_effort_job_submit(BEST_EFFORT_CPU_MILLIS);
	for (; short_jobs * 2 * SHORT_TASKS < due * (4 - BEST_EFFORT_OF_FOUR) / 4; short_jobs++)
		short_job_submit();
	jobs_read(ms);
}

static void advance(uint64_t ms)
{
	static uint64_t passed_ms;
	static uint64_t sequence;

	for (uint64_t i = 0; i < ms; i += STEP_MS, passed_ms += STEP_MS) {
		if (replicas_leader() < REPLICAS && passed_ms % REPORT_INTERVAL_MS == 0)
			report_all(replicas_leader(), ++sequence);
		replicas_advance(STEP_MS * WL_NS_PER_MS);
		targets_advance(replicas_now_ns());
	}
}

static bool prepare(uint64_t backlog)
{
	for (int i = 0; i < 10000 && replicas_leader() == REPLICAS; i++)
		advance(STEP_MS);
	if (replicas_leader() == REPLICAS)
		return false;
	catalog_put(replicas_leader());
	advance(REPORT_INTERVAL_MS + 500);
	for (uint64_t i = 0; i < target_count * SERVING_PERMILLE / 1000; i += SERVING_TASKS)
		serving_job_submit();
	advance(SETTLE_MS);
	/* No target has the processors for these tasks, so they stay queued. */
	for (uint64_t i = 0; i < backlog; i += BEST_EFFORT_TASKS)
		best_effort_job_submit(BACKLOG_CPU_MILLIS);
	advance(SETTLE_MS);
	return true;
}

static void answer_deliver(size_t node, uint64_t id, wl_str_t body)
{
	replicas_answer(node, id, body);
}

int main(int argc, char **argv)
{
	uint64_t per_s = argc > 2 ? strtoul(argv[2], NULL, 10) : 180;
	uint64_t backlog = argc > 3 ? strtoul(argv[3], NULL, 10) : 0;
	double cores_max = argc > 4 ? strtod(argv[4], NULL) : 0;
	double cores;
	uint64_t starts;
	uint64_t holds;
	uint64_t cpu_ns;
	size_t leader;

	if (argc > 1)
		target_count = strtoul(argv[1], NULL, 10);
	if (target_count == 0 || target_count > TARGETS_MAX) {
		fprintf(stderr, "wl-bench-jobs: TARGETS is %s; expected 1 to %d\n", argv[1],
			TARGETS_MAX);
		return 1;
	}
	if (!replicas_init(targets_receive)) {
		fprintf(stderr, "wl-bench-jobs: the replicas could not be created\n");
		return 1;
	}
	targets_init(target_count, answer_deliver);
	if (!prepare(backlog)) {
		fprintf(stderr, "wl-bench-jobs: no replica leads after 20 s of simulated time\n");
		return 1;
	}
	leader = replicas_leader();
	starts = targets_starts();
	holds = targets_holds();
	replicas_reset_counters();
	for (uint64_t ms = 0; ms < RUN_MS; ms += STEP_MS) {
		load_step(ms, per_s);
		advance(STEP_MS);
	}
	starts = targets_starts() - starts;
	cpu_ns = replicas_cpu_ns(leader);
	cores = (double)cpu_ns / (RUN_MS * WL_NS_PER_MS);
	printf("targets,starts,holds,running,us_a_start,cores,kb_sent,lines,digest,idle_tick_ns\n");
	printf("%zu,%llu,%llu,%llu,%.1f,%.4f,%llu,%llu,%016llx,%llu\n", target_count,
	       (unsigned long long)starts, (unsigned long long)(targets_holds() - holds),
	       (unsigned long long)targets_running(),
	       (double)cpu_ns / 1000 / (double)(starts ? starts : 1), cores,
	       (unsigned long long)(replicas_sent_bytes(leader) / 1024),
	       (unsigned long long)replicas_log_lines(leader),
	       (unsigned long long)replicas_calls_digest(),
	       (unsigned long long)replicas_idle_tick_ns(leader));
	replicas_free();
	targets_free();
	if (cores_max <= 0 || cores <= cores_max)
		return 0;
	fprintf(stderr, "wl-bench-jobs: the leader used %.3f cores; expected at most %.3f\n", cores,
		cores_max);
	return 1;
}
