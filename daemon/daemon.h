#ifndef WL_DAEMON_H
#define WL_DAEMON_H

#include "settings.h"

/* Exit codes of the daemon. */
#define WL_EXIT_OK	0
#define WL_EXIT_START	1 /* start-up failed */
#define WL_EXIT_USAGE	2 /* invalid settings, files or charts */
#define WL_EXIT_LATE	3 /* the drain exceeded --drain-ms, or a second signal arrived */
#define WL_EXIT_DAMAGED 4 /* stored state is damaged or cannot be opened, or the disk failed */

int wl_daemon_run(wl_settings_t *settings);
bool wl_daemon_check(wl_settings_t *settings, wl_err_t *err);

#endif
