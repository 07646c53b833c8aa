#ifndef TESTS_FAKE_HOST_H
#define TESTS_FAKE_HOST_H

#include <libwlbase/err.h>
#include <libwlbase/str.h>

/* Settings of wl-fake-target, one member for each flag. */
typedef struct host_settings {
	uint64_t targets;
	wl_buf_t name_prefix;
	wl_buf_t listen_ip;
	uint64_t base_port;
	wl_buf_t advertise_ip;
	uint64_t advertise_base_port;
	wl_buf_t control_listen;
	wl_buf_t announce_to;
	wl_buf_t token_file;
	wl_buf_t record;
	wl_buf_t services;
	uint64_t racks;
	wl_buf_t availability_zones;
	uint64_t slots;
	uint64_t connections;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t service_ms;
	uint64_t straggler_permille;
	uint64_t fail_permille;
	wl_buf_t fail_targets;
	uint64_t time_permille;
	uint64_t usage_lag_ms;
	uint64_t interference_permille;
	uint64_t seed;
} host_settings_t;

/* All fake targets of the process and their HTTP listeners. */
typedef struct host host_t;

host_t *host_start(const host_settings_t *settings, wl_err_t *err);
void host_run(host_t *host, const volatile int *stop);
void host_free(host_t *host);

#endif
