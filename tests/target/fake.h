#ifndef TESTS_FAKE_H
#define TESTS_FAKE_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlbase/rng.h>
#include <libwlcore/model/model.h>
#include <libwlcore/model/msg.h>

/*
 * A simulated target that implements the contract of docs/TARGETS.md. It reads no clock: callers
 * pass the current time to each function.
 */

#define FAKE_SEQS 4 /* newest announces whose sequence number a command may echo */

typedef void (*fake_record_t)(void *context, wl_str_t line);

/* Behaviour of a fake target. Strings and lists are borrowed and must outlive the target. */
typedef struct fake_options {
	wl_str_t name;
	wl_str_t address;
	wl_str_t availability_zone;
	wl_str_t rack;
	const wl_list_t *services; /* strings */
	wl_need_t capacity;
	uint64_t seed;
	uint64_t service_ms;	     /* base service time of a request */
	uint64_t straggler_permille; /* share of requests and tasks that take ten times as long */
	uint64_t fail_permille;
	uint64_t time_permille; /* scale of all run times; 1000: unscaled */
	uint64_t usage_lag_ms;
	uint64_t interference_permille; /* most slowdown by one co-located task at full load */
	fake_record_t record;
	void *context;
} fake_options_t;

typedef struct fake_task {
	wl_str_t key; /* task id */
	wl_task_usage_t usage;
	wl_need_t need;
	uint64_t cpu_permille; /* 1000: not throttled */
	uint64_t lease_until_ns;
	uint64_t begun_ns;
	uint64_t counted_ns; /* progress is accounted up to this time */
	double work_ns;	     /* run time without throttling or interference */
	double done_ns;
	bool fails;
	TAILQ_ENTRY(fake_task) link;
} fake_task_t;

typedef struct fake_request {
	uint64_t id; /* call id, chosen by the caller of this module */
	uint64_t epoch;
	uint64_t due_ns;
	wl_buf_t name;
	wl_buf_t service;
	TAILQ_ENTRY(fake_request) link;
} fake_request_t;

/* The highest attempt of a task that may no longer start; lower attempts are barred as well. */
typedef struct fake_barred {
	wl_str_t key;
	wl_buf_t task;
	uint64_t attempt;
	TAILQ_ENTRY(fake_barred) link;
} fake_barred_t;

typedef struct fake {
	fake_options_t options;
	wl_rng_t rng;
	uint64_t boot;
	uint64_t seq;
	uint64_t sent_ns[FAKE_SEQS]; /* by seq modulo FAKE_SEQS */
	uint64_t epoch;
	bool draining;
	bool failing;
	bool frozen;
	bool crashed;
	wl_need_t capacity;   /* now; options.capacity at full size */
	bool unguarded;	      /* starts whatever it is told to start */
	uint64_t starts_over; /* starts beyond the capacity, refused ones included */
	TAILQ_HEAD(fake_tasks, fake_task) tasks;
	TAILQ_HEAD(fake_requests, fake_request) requests;
	uint64_t request_count;
	wl_map_t barred;
	TAILQ_HEAD(fake_barreds, fake_barred) barred_list;
	size_t barred_count;
	wl_usage_t usage; /* latest sample */
	uint64_t usage_ns;
	uint64_t begun_count; /* number of tasks and requests started */
} fake_t;

/* fake.c */
fake_t *fake_new(const fake_options_t *options, uint64_t boot);
void fake_free(fake_t *fake);
void fake_announce(fake_t *fake, uint64_t now_ns, wl_announce_t *announce);
void fake_crash(fake_t *fake, uint64_t now_ns, uint64_t boot);
void fake_thaw(fake_t *fake, uint64_t now_ns);
void fake_resize(fake_t *fake, uint64_t now_ns, uint64_t permille);
uint64_t fake_slots_used(const fake_t *fake);
fake_task_t *fake_task_find(fake_t *fake, wl_str_t id);
void fake_task_free(fake_t *fake, fake_task_t *task);
void fake_record(fake_t *fake, uint64_t now_ns, const char *event, const char *pairs, ...)
	__attribute__((format(printf, 4, 5)));
bool fake_seq_known(const fake_t *fake, uint64_t boot, uint64_t seq);
uint64_t fake_old_epoch_requests(const fake_t *fake);

/* fake_command.c */
uint64_t fake_command(fake_t *fake, uint64_t now_ns, wl_str_t path, wl_str_t body,
		      wl_buf_t *answer);

/* fake_request.c */
typedef struct fake_call {
	uint64_t id;
	wl_str_t method;
	wl_str_t path;
	const wl_list_t *headers; /* wl_header_t */
	wl_str_t body;
} fake_call_t;

typedef struct fake_reply {
	uint64_t status;
	bool not_run; /* refused before execution; sent as the not-run verdict */
	wl_buf_t id;  /* echoed Fake-Request-Id */
	wl_buf_t body;
} fake_reply_t;

bool fake_request_begin(fake_t *fake, uint64_t now_ns, const fake_call_t *call, fake_reply_t *reply,
			uint64_t *due_ns);
void fake_request_end(fake_t *fake, uint64_t now_ns, uint64_t id, bool answered);

/* fake_work.c */
void fake_advance(fake_t *fake, uint64_t now_ns);
void fake_work_begin(fake_t *fake, uint64_t now_ns, fake_task_t *task, const wl_task_spec_t *spec,
		     wl_str_t checkpoint);
uint64_t fake_request_ns(fake_t *fake, wl_str_t service);
bool fake_chance(fake_t *fake, uint64_t permille);
uint64_t fake_hint(wl_str_t text, wl_str_t name, uint64_t default_value);
wl_need_t fake_used(const fake_t *fake);

#endif
