/*
 * What peers are told of the own free room: a row for each service and
 * availability zone, and only those that changed by enough to matter.
 */

#include "tell.h"

#include <stdlib.h>

#define ROOM_DIVISOR	 4 /* a change by a quarter of what was told is told */
#define SLOWDOWN_DIVISOR 8

/*
 * wl_tell_init - nothing was told yet
 */
void wl_tell_init(wl_tell_t *tell)
{
	wl_map_init(&tell->by_key);
	TAILQ_INIT(&tell->rows);
}

/*
 * wl_tell_free - release all rows
 */
void wl_tell_free(wl_tell_t *tell)
{
	wl_tell_row_t *row;

	while ((row = TAILQ_FIRST(&tell->rows))) {
		TAILQ_REMOVE(&tell->rows, row, link);
		wl_record_free(&wl_room_row_schema, &row->now);
		wl_buf_free(&row->key_text);
		free(row);
	}
	wl_map_free(&tell->by_key);
}

static wl_tell_row_t *tell_row(wl_tell_t *tell, wl_str_t service, wl_str_t zone)
{
	wl_buf_t key = {0};
	wl_tell_row_t *row;

	wl_buf_append(&key, service);
	wl_buf_append(&key, WL_STR("/"));
	wl_buf_append(&key, zone);
	row = wl_map_get(&tell->by_key, wl_buf_str(&key));
	if (row) {
		wl_buf_free(&key);
		return row;
	}
	row = wl_alloc(sizeof(*row));
	wl_buf_move(&row->key_text, &key);
	row->key = wl_buf_str(&row->key_text);
	wl_buf_set(&row->now.service, service);
	wl_buf_set(&row->now.availability_zone, zone);
	wl_map_put(&tell->by_key, row);
	TAILQ_INSERT_TAIL(&tell->rows, row, link);
	return row;
}

static void row_add(wl_room_row_t *row, const wl_ledger_t *ledger, const wl_target_t *target)
{
	row->slowdown_permille =
		(row->slowdown_permille * row->targets + target->slowdown_permille) /
		(row->targets + 1);
	row->free_requests += wl_ledger_request_room(ledger, target);
	row->targets++;
}

static void service_measure(wl_tell_t *tell, const wl_ledger_t *ledger,
			    const wl_ledger_service_t *service)
{
	wl_tell_row_t *row = NULL;

	for (size_t i = 0; i < service->count; i++) {
		const wl_target_t *target = service->targets[i];
		wl_str_t zone = wl_buf_str(&target->availability_zone);

		/* neighbours are mostly of one zone */
		if (!row || !wl_str_equal(wl_buf_str(&row->now.availability_zone), zone))
			row = tell_row(tell, wl_buf_str(&service->name), zone);
		row_add(&row->now, ledger, target);
	}
}

/*
 * wl_tell_measure - sum up the free room as it is now
 * @ledger: NULL if there is none to give
 */
void wl_tell_measure(wl_tell_t *tell, const wl_ledger_t *ledger)
{
	const wl_ledger_service_t *service;
	wl_tell_row_t *row;

	TAILQ_FOREACH (row, &tell->rows, link) {
		row->now.free_requests = 0;
		row->now.targets = 0;
		row->now.slowdown_permille = 0;
	}
	if (!ledger)
		return;
	TAILQ_FOREACH (service, &ledger->services, link)
		service_measure(tell, ledger, service);
}

static bool differs(uint64_t now, uint64_t told, uint64_t divisor)
{
	uint64_t step = told / divisor;
	uint64_t change = now > told ? now - told : told - now;

	return change > 0 && change >= step;
}

static bool row_changed(const wl_tell_row_t *row)
{
	const wl_room_row_t *now = &row->now;
	const wl_room_row_t *told = &row->told;

	return now->targets != told->targets ||
	       (now->free_requests == 0) != (told->free_requests == 0) ||
	       differs(now->free_requests, told->free_requests, ROOM_DIVISOR) ||
	       differs(now->slowdown_permille, told->slowdown_permille, SLOWDOWN_DIVISOR);
}

/*
 * wl_tell_changes - the rows that changed since they were told; they count as told now
 * @rows: of wl_room_row_t; rows are added
 */
void wl_tell_changes(wl_tell_t *tell, wl_list_t *rows)
{
	wl_tell_row_t *row;

	TAILQ_FOREACH (row, &tell->rows, link) {
		if (!row_changed(row))
			continue;
		row->told.free_requests = row->now.free_requests;
		row->told.targets = row->now.targets;
		row->told.slowdown_permille = row->now.slowdown_permille;
		wl_record_copy(&wl_room_row_schema, wl_list_add(&wl_room_row_schema, rows),
			       &row->now);
	}
}

/*
 * wl_tell_all - every row that was told, as it is now
 * @rows: of wl_room_row_t; rows are added
 */
void wl_tell_all(const wl_tell_t *tell, wl_list_t *rows)
{
	const wl_tell_row_t *row;

	TAILQ_FOREACH (row, &tell->rows, link)
		if (row->now.targets)
			wl_record_copy(&wl_room_row_schema, wl_list_add(&wl_room_row_schema, rows),
				       &row->now);
}
