/* Evacuated availability zones. */

#include "evacuations.h"

#include <string.h>

static const wl_field_t evacuation_fields[] = {
	WL_FIELD(wl_evacuation_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_evacuation_t, since_ms, WL_FIELD_U64),
	WL_FIELD(wl_evacuation_t, revision, WL_FIELD_U64),
};

const wl_schema_t wl_evacuation_schema = WL_SCHEMA(wl_evacuation_t, evacuation_fields);

/*
 * wl_evacuation_find - find the evacuation of a zone
 *
 * Return: NULL if the zone is not evacuated.
 */
const wl_evacuation_t *wl_evacuation_find(const wl_list_t *zones, wl_str_t availability_zone)
{
	const wl_evacuation_t *rows = zones->items;

	for (size_t i = 0; i < zones->count; i++)
		if (wl_str_equal(wl_buf_str(&rows[i].availability_zone), availability_zone))
			return &rows[i];
	return NULL;
}

static void row_remove(wl_list_t *zones, size_t at)
{
	wl_evacuation_t *rows = zones->items;

	wl_record_free(&wl_evacuation_schema, &rows[at]);
	memmove(&rows[at], &rows[at + 1], (zones->count - at - 1) * sizeof(*rows));
	zones->count--;
}

/*
 * wl_evacuation_apply - apply a committed command
 * @index: of the command in the log
 *
 * A command that is sent again keeps the revision of the first one.
 */
void wl_evacuation_apply(wl_list_t *zones, const wl_cmd_zone_evacuate_t *cmd, uint64_t clock_ms,
			 uint64_t index, wl_result_t *result)
{
	wl_str_t zone = wl_buf_str(&cmd->availability_zone);
	const wl_evacuation_t *known = wl_evacuation_find(zones, zone);
	wl_evacuation_t *row;

	wl_result_ok(result, index);
	if (cmd->withdrawn) {
		if (known)
			row_remove(zones, (size_t)(known - (wl_evacuation_t *)zones->items));
		return;
	}
	if (known) {
		result->index = known->revision;
		return;
	}
	row = wl_list_add(&wl_evacuation_schema, zones);
	wl_buf_set(&row->availability_zone, zone);
	row->since_ms = clock_ms;
	row->revision = index;
}
