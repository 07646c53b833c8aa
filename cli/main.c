/* wisteriactl: the operators' client. */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <libwlbase/option.h>

#include "cli.h"

#define MAX_WORDS 8

typedef struct command {
	const char *name;
	wl_command_handler_t run;
	const char *help;
} command_t;

/* Sorted by name, for bsearch(). */
static const command_t commands[] = {
	{"apply", wl_cmd_apply, "apply the two lists: --customers FILE, --plans FILE, --wait"},
	{"diff", wl_cmd_diff, "show what apply would change; exit code 7 if anything differs"},
	{"drain", wl_cmd_drain, "drain and stop the daemon at --server"},
	{"evacuate", wl_cmd_evacuate,
	 "give an availability zone no new work: evacuate ZONE [--withdraw]"},
	{"get", wl_cmd_get, "print a list: get customers, get plans"},
	{"load", wl_cmd_load, "send open-loop load to the caller listeners at --server"},
	{"members", wl_cmd_members, "the store's replicas; --replace NAME allows replacing one"},
	{"status", wl_cmd_status, "state of the system, as the leader reports it"},
	{"targets", wl_cmd_targets, "targets, their owners and free capacity"},
	{"tasks", wl_cmd_tasks, "tasks of --customer, or all tasks; tasks ID shows one"},
};

#define AT(member) offsetof(wl_cli_settings_t, member)

static const wl_option_t options[] = {
	{"server", WL_OPTION_TEXT, AT(server), "127.0.0.1:8081", "IP:port,...",
	 "daemons, tried in order", 0, 0, NULL},
	{"token-file", WL_OPTION_TEXT, AT(token_file), NULL, "FILE", "bearer token", 0, 0, NULL},
	{"timeout-ms", WL_OPTION_NUMBER, AT(timeout_ms), "15000", "ms",
	 "longest wait for one answer", 1, 600000, NULL},
	{"json", WL_OPTION_FLAG, AT(json), NULL, NULL, "print JSON", 0, 0, NULL},
	{"help", WL_OPTION_FLAG, AT(help), NULL, NULL, "print this help", 0, 0, NULL},
	{"version", WL_OPTION_FLAG, AT(version), NULL, NULL, "print the version", 0, 0, NULL},
	{"customers", WL_OPTION_TEXT, AT(customers), NULL, "FILE", "the list of customers", 0, 0,
	 NULL},
	{"plans", WL_OPTION_TEXT, AT(plans), NULL, "FILE", "the list of plans", 0, 0, NULL},
	{"wait", WL_OPTION_FLAG, AT(wait), NULL, NULL, "apply: wait until in force", 0, 0, NULL},
	{"wait-ms", WL_OPTION_NUMBER, AT(wait_ms), "30000", "ms", "apply --wait: longest wait", 1,
	 120000, NULL},
	{"customer", WL_OPTION_TEXT, AT(customer), NULL, "NAME,...",
	 "tasks, load: customer; load takes several, NAME:SERVICE for its own service", 0, 0, NULL},
	{"max", WL_OPTION_NUMBER, AT(max), "1000", "count", "tasks: maximum number shown", 1, 10000,
	 NULL},
	{"replace", WL_OPTION_TEXT, AT(replace), NULL, "NAME",
	 "members: replica whose disk is lost", 0, 0, NULL},
	{"withdraw", WL_OPTION_FLAG, AT(withdraw), NULL, NULL,
	 "evacuate: take the zone back into use", 0, 0, NULL},
	{"service", WL_OPTION_TEXT, AT(service), "tube-sort", "NAME", "load: service", 0, 0, NULL},
	{"path", WL_OPTION_TEXT, AT(path), "work", "PATH", "load: path below the service", 0, 0,
	 NULL},
	{"method", WL_OPTION_TEXT, AT(method), "GET", "METHOD", "load: method", 0, 0, NULL},
	{"schedule", WL_OPTION_TEXT, AT(schedule), NULL, "FILE",
	 "load: lines \"MS RATE\", interpolated linearly", 0, 0, NULL},
	{"rate-per-s", WL_OPTION_NUMBER, AT(rate_per_s), "100", "1/s", "load: request rate", 0,
	 100000, NULL},
	{"crest-per-s", WL_OPTION_NUMBER, AT(crest_per_s), "0", "1/s",
	 "load: peak request rate of a sine wave; 0: constant rate", 0, 100000, NULL},
	{"period-ms", WL_OPTION_NUMBER, AT(period_ms), "10000", "ms",
	 "load: period of the sine wave", 100, 3600000, NULL},
	{"seconds", WL_OPTION_NUMBER, AT(seconds), "10", "s", "load: duration", 1, 3600, NULL},
	{"body-bytes", WL_OPTION_NUMBER, AT(body_bytes), "0", "bytes",
	 "load: size of a request body", 0, 1048576, NULL},
	{"deadline-ms", WL_OPTION_NUMBER, AT(deadline_ms), "5000", "ms",
	 "load: each request's timeout", 1, 600000, NULL},
	{"tasks-per-s", WL_OPTION_NUMBER, AT(tasks_per_s), "0", "1/s", "load: batch tasks", 0, 1000,
	 NULL},
	{"task-run-ms", WL_OPTION_NUMBER, AT(task_run_ms), "1000", "ms",
	 "load: a task's declared run time", 1, 3600000, NULL},
	{"task-cpu-millis", WL_OPTION_NUMBER, AT(task_cpu_millis), "1000", "millis",
	 "load: a task's declared processors, in thousandths", 1, 1000000, NULL},
	{"long-permille", WL_OPTION_NUMBER, AT(long_permille), "0", "permille",
	 "load: share of long tasks", 0, 1000, NULL},
	{"long-run-ms", WL_OPTION_NUMBER, AT(long_run_ms), "10000", "ms",
	 "load: a long task's declared run time", 1, 3600000, NULL},
	{"urgent-permille", WL_OPTION_NUMBER, AT(urgent_permille), "0", "permille",
	 "load: share of tasks of class urgent", 0, 1000, NULL},
	{"connections", WL_OPTION_NUMBER, AT(connections), "256", "count",
	 "load: most connections per server", 1, 10000, NULL},
	{"csv", WL_OPTION_TEXT, AT(csv), NULL, "FILE",
	 "load: CSV file with a row per customer and second", 0, 0, NULL},
	{"check", WL_OPTION_FLAG, AT(check), NULL, NULL,
	 "load: exit code 7 unless every answer is complete and correct", 0, 0, NULL},
	{"seed", WL_OPTION_NUMBER, AT(seed), "1", "number", "load: seed of the arrival times", 0, 0,
	 NULL},
};

#define OPTION_COUNT (sizeof(options) / sizeof(options[0]))

static int command_compare(const void *key, const void *item)
{
	return strcmp(key, ((const command_t *)item)->name);
}

static void print_help(void)
{
	printf("usage: wisteriactl COMMAND [settings]\n\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		printf("  %-8s  %s\n", commands[i].name, commands[i].help);
	printf("\nexit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 no server reached, "
	       "5 may have happened,\n  6 not in force in time, 7 a check failed\n\n");
	wl_options_help(options, OPTION_COUNT, "wisteriactl COMMAND", stdout);
}

static wl_exit_t run(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	const command_t *command;

	if (settings->version) {
		puts("wisteriactl " WL_VERSION);
		return WL_EXIT_OK;
	}
	if (settings->help || count == 0) {
		print_help();
		return settings->help ? WL_EXIT_OK : WL_EXIT_USAGE;
	}
	command = bsearch(words[0], commands, sizeof(commands) / sizeof(commands[0]),
			  sizeof(commands[0]), command_compare);
	if (!command) {
		fprintf(stderr, "wisteriactl: unknown command \"%s\"; --help lists them\n",
			words[0]);
		return WL_EXIT_USAGE;
	}
	return command->run(settings, words + 1, count - 1);
}

int main(int argc, char **argv)
{
	wl_cli_settings_t settings = {0};
	const char *words[MAX_WORDS];
	size_t count;
	wl_err_t err;
	wl_exit_t code = WL_EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	if (wl_options_read(options, OPTION_COUNT, argc, argv, &settings, words, MAX_WORDS, &count,
			    &err))
		code = run(&settings, words, count);
	else
		fprintf(stderr, "wisteriactl: %s\n", err.text);
	wl_options_free(options, OPTION_COUNT, &settings);
	return code;
}
