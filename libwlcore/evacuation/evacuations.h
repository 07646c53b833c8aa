#ifndef WL_EVACUATIONS_H
#define WL_EVACUATIONS_H

#include <libwlcore/model/cmd.h>

/*
 * Availability zones that an operator has evacuated, as replicated state.
 *
 * Decides which zones get no new work, from the operators' committed commands alone: the latest
 * one for a zone is in force.  Answers the load of a zone that is to be emptied for maintenance,
 * and of the orders on their way to it.
 */

typedef struct wl_evacuation {
	wl_buf_t availability_zone;
	uint64_t since_ms; /* the group's clock when it was committed */
	uint64_t revision; /* log index of its command */
} wl_evacuation_t;

extern const wl_schema_t wl_evacuation_schema;

/* @zones: list of wl_evacuation_t */
const wl_evacuation_t *wl_evacuation_find(const wl_list_t *zones, wl_str_t availability_zone);
void wl_evacuation_apply(wl_list_t *zones, const wl_cmd_zone_evacuate_t *cmd, uint64_t clock_ms,
			 uint64_t index, wl_result_t *result);

#endif
