#ifndef WL_DAEMON_H
#define WL_DAEMON_H

#include "settings.h"

/* Exit codes of the daemon. */
#define WL_EXIT_OK	0
#define WL_EXIT_START	1 /* could not start */
#define WL_EXIT_USAGE	2 /* wrong settings */
#define WL_EXIT_LATE	3 /* the planned stop took too long, or a second signal came */
#define WL_EXIT_DAMAGED 4 /* stored state can't be trusted */

int wl_daemon_run(wl_settings_t *settings);
bool wl_daemon_check(wl_settings_t *settings, wl_err_t *err);

#endif
