/* wl-fake-target: runs fake targets in one process. */

#include <curl/curl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <libwlbase/option.h>

#include "host.h"

#define TEXT(name, member, value, what)                                                            \
	{                                                                                          \
		.flag = (name), .kind = WL_OPTION_TEXT,                                            \
		.offset = offsetof(host_settings_t, member), .default_value = (value), .unit = "", \
		.help = (what)                                                                     \
	}
#define NUMBER(name, member, value, low, high, what)                                               \
	{                                                                                          \
		.flag = (name), .kind = WL_OPTION_NUMBER,                                          \
		.offset = offsetof(host_settings_t, member), .default_value = (value), .unit = "", \
		.help = (what), .min = (low), .max = (high)                                        \
	}

static const wl_option_t options[] = {
	NUMBER("targets", targets, "1", 1, 5000, "number of targets"),
	TEXT("name-prefix", name_prefix, "w", "names are PREFIX1, PREFIX2, ..."),
	TEXT("listen-ip", listen_ip, "127.0.0.1", "IP address of the target listeners"),
	NUMBER("base-port", base_port, "0", 0, 65535, "port of the first target; 0: any free port"),
	TEXT("advertise-ip", advertise_ip, NULL, "announced IP address, if not the listen address"),
	NUMBER("advertise-base-port", advertise_base_port, "0", 0, 65535,
	       "announced port of the first target, if not the listen port"),
	TEXT("control-listen", control_listen, "127.0.0.1:0", "POST /fake/TARGET/ACTION"),
	TEXT("announce-to", announce_to, NULL, "entries, comma-separated IP:port"),
	TEXT("token-file", token_file, NULL, "file with the bearer token for announces"),
	TEXT("record", record, NULL, "file that receives one line per event"),
	TEXT("services", services, "sort", "comma-separated names"),
	NUMBER("racks", racks, "1", 1, 1000, "number of racks that targets are spread over"),
	TEXT("availability-zones", availability_zones, "a",
	     "comma-separated zones that racks are spread over"),
	NUMBER("slots", slots, "8", 1, 100000, "of each target"),
	NUMBER("connections", connections, "64", 1, 100000, "of each target"),
	NUMBER("cpu-millis", cpu_millis, "32000", 1, 1000000000, "of each target"),
	NUMBER("memory-mib", memory_mib, "125000", 1, 1000000000, "of each target"),
	NUMBER("accelerators", accelerators, "0", 0, 100000, "of each target"),
	NUMBER("service-ms", service_ms, "5", 0, 1000000, "base time of a request"),
	NUMBER("straggler-permille", straggler_permille, "0", 0, 1000,
	       "share of work that takes ten times as long"),
	NUMBER("fail-permille", fail_permille, "0", 0, 1000, "share of work that fails"),
	TEXT("fail-targets", fail_targets, NULL, "comma-separated targets that fail all work"),
	NUMBER("time-permille", time_permille, "1000", 1, 1000000, "scale of all run times"),
	NUMBER("usage-lag-ms", usage_lag_ms, "1000", 0, 60000, "age of reported usage"),
	NUMBER("interference-permille", interference_permille, "400", 0, 100000,
	       "most slowdown by one co-located task at full load"),
	NUMBER("seed", seed, "1", 0, UINT64_MAX, "seed of all random values except boot ids"),
};

#define OPTION_COUNT (sizeof(options) / sizeof(options[0]))

static volatile sig_atomic_t stopping;

static void on_signal(int number)
{
	(void)number;
	stopping = 1;
}

int main(int argc, char **argv)
{
	host_settings_t settings = {0};
	wl_err_t err = {0};
	host_t *host;

	if (argc == 2 && strcmp(argv[1], "--help") == 0) {
		wl_options_help(options, OPTION_COUNT, "wl-fake-target", stdout);
		return 0;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!wl_options_read(options, OPTION_COUNT, argc, argv, &settings, NULL, 0, NULL, &err)) {
		fprintf(stderr, "wl-fake-target: %s\n", err.text);
		return 2;
	}
	host = host_start(&settings, &err);
	if (host) {
		host_run(host, &stopping);
		host_free(host);
	} else {
		fprintf(stderr, "wl-fake-target: %s\n", err.text);
	}
	wl_options_free(options, OPTION_COUNT, &settings);
	curl_global_cleanup();
	return host ? 0 : 1;
}
