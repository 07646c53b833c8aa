/* wisterialeadd: the daemon's command line. */

#include <stdio.h>

#include "daemon.h"

/*
 * Read by jemalloc. A daemon has one busy thread; the others share the second arena. Memory of a
 * burst goes back to the kernel within seconds.
 */
const char *malloc_conf = "narenas:2,dirty_decay_ms:2000,muzzy_decay_ms:0";

static int usage_error(const wl_err_t *err)
{
	fprintf(stderr, "wisterialeadd: %s\n", err->text);
	return WL_EXIT_USAGE;
}

static int run(wl_settings_t *settings)
{
	wl_err_t err = {0};

	if (settings->help) {
		wl_settings_help();
		return WL_EXIT_OK;
	}
	if (settings->version) {
		puts("wisterialeadd " WL_VERSION);
		return WL_EXIT_OK;
	}
	if (!wl_settings_check(settings, &err))
		return usage_error(&err);
	if (settings->print_settings) {
		wl_settings_print(settings);
		return WL_EXIT_OK;
	}
	if (!wl_settings_load(settings, &err))
		return usage_error(&err);
	if (!settings->check)
		return wl_daemon_run(settings);
	if (!wl_daemon_check(settings, &err))
		return usage_error(&err);
	puts("settings, files and charts are sound");
	return WL_EXIT_OK;
}

int main(int argc, char **argv)
{
	wl_settings_t settings = {0};
	wl_err_t err = {0};
	int code;

	code = wl_settings_read(argc, argv, &settings, &err) ? run(&settings) : usage_error(&err);
	wl_settings_free(&settings);
	return code;
}
