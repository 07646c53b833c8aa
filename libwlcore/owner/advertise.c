/*
 * The free capacity that is advertised to peers: one row for each service and
 * availability zone.  A row is sent again only when it has changed enough to
 * influence how peers route requests.
 */

#include "advertise.h"

#include <stdlib.h>

#define FREE_REQUESTS_DIVISOR 4 /* a change by a quarter of the value last sent is sent */
#define SLOWDOWN_DIVISOR      8

/*
 * wl_advert_init - make an empty table
 */
void wl_advert_init(wl_advert_t *advert)
{
	wl_map_init(&advert->by_key);
	TAILQ_INIT(&advert->rows);
}

/*
 * wl_advert_free - release all rows
 */
void wl_advert_free(wl_advert_t *advert)
{
	wl_advert_row_t *row;

	while ((row = TAILQ_FIRST(&advert->rows))) {
		TAILQ_REMOVE(&advert->rows, row, link);
		wl_record_free(&wl_room_row_schema, &row->now);
		wl_buf_free(&row->key_text);
		free(row);
	}
	wl_map_free(&advert->by_key);
}

static wl_advert_row_t *advert_row_get(wl_advert_t *advert, wl_str_t service, wl_str_t zone)
{
	wl_buf_t key = {0};
	wl_advert_row_t *row;

	wl_buf_append(&key, service);
	wl_buf_append(&key, WL_STR("/"));
	wl_buf_append(&key, zone);
	row = wl_map_get(&advert->by_key, wl_buf_str(&key));
	if (row) {
		wl_buf_free(&key);
		return row;
	}
	row = wl_alloc(sizeof(*row));
	wl_buf_move(&row->key_text, &key);
	row->key = wl_buf_str(&row->key_text);
	wl_buf_set(&row->now.service, service);
	wl_buf_set(&row->now.availability_zone, zone);
	wl_map_put(&advert->by_key, row);
	TAILQ_INSERT_TAIL(&advert->rows, row, link);
	return row;
}

static void row_add(wl_room_row_t *row, const wl_ledger_t *ledger, const wl_target_t *target)
{
	row->slowdown_permille =
		(row->slowdown_permille * row->targets + target->slowdown_permille) /
		(row->targets + 1);
	row->free_requests += wl_ledger_free_requests(ledger, target);
	row->targets++;
}

static void service_sum(wl_advert_t *advert, const wl_ledger_t *ledger,
			const wl_ledger_service_t *service)
{
	wl_advert_row_t *row = NULL;

	for (size_t i = 0; i < service->count; i++) {
		const wl_target_t *target = service->targets[i];
		wl_str_t zone = wl_buf_str(&target->availability_zone);

		/* Consecutive targets are mostly in one zone. */
		if (!row || !wl_str_equal(wl_buf_str(&row->now.availability_zone), zone))
			row = advert_row_get(advert, wl_buf_str(&service->name), zone);
		row_add(&row->now, ledger, target);
	}
}

/*
 * wl_advert_update - sum up the present free capacity
 * @ledger: NULL: there is no capacity
 */
void wl_advert_update(wl_advert_t *advert, const wl_ledger_t *ledger)
{
	const wl_ledger_service_t *service;
	wl_advert_row_t *row;

	TAILQ_FOREACH (row, &advert->rows, link) {
		row->now.free_requests = 0;
		row->now.targets = 0;
		row->now.slowdown_permille = 0;
	}
	if (!ledger)
		return;
	TAILQ_FOREACH (service, &ledger->services, link)
		service_sum(advert, ledger, service);
}

/*
 * wl_advert_resend - send the rows of a service again as soon as they have free capacity
 */
void wl_advert_resend(wl_advert_t *advert, wl_str_t service)
{
	wl_advert_row_t *row;

	TAILQ_FOREACH (row, &advert->rows, link)
		if (wl_str_equal(wl_buf_str(&row->now.service), service))
			row->resend = true;
}

static bool differs(uint64_t now, uint64_t sent, uint64_t divisor)
{
	uint64_t step = sent / divisor;
	uint64_t change = now > sent ? now - sent : sent - now;

	return change > 0 && change >= step;
}

static bool row_changed(const wl_advert_row_t *row)
{
	const wl_room_row_t *now = &row->now;
	const wl_room_row_t *sent = &row->sent;

	return (row->resend && now->free_requests > 0) || now->targets != sent->targets ||
	       (now->free_requests == 0) != (sent->free_requests == 0) ||
	       differs(now->free_requests, sent->free_requests, FREE_REQUESTS_DIVISOR) ||
	       differs(now->slowdown_permille, sent->slowdown_permille, SLOWDOWN_DIVISOR);
}

/*
 * wl_advert_take_changes - copy the rows that changed since they were sent, and mark them as sent
 * @rows: wl_room_row_t; rows are appended
 */
void wl_advert_take_changes(wl_advert_t *advert, wl_list_t *rows)
{
	wl_advert_row_t *row;

	TAILQ_FOREACH (row, &advert->rows, link) {
		if (!row_changed(row))
			continue;
		row->sent.free_requests = row->now.free_requests;
		row->sent.targets = row->now.targets;
		row->sent.slowdown_permille = row->now.slowdown_permille;
		row->resend = false;
		wl_record_copy(&wl_room_row_schema, wl_list_add(&wl_room_row_schema, rows),
			       &row->now);
	}
}

/*
 * wl_advert_copy_all - copy every row that has targets
 * @rows: wl_room_row_t; rows are appended
 */
void wl_advert_copy_all(const wl_advert_t *advert, wl_list_t *rows)
{
	const wl_advert_row_t *row;

	TAILQ_FOREACH (row, &advert->rows, link)
		if (row->now.targets)
			wl_record_copy(&wl_room_row_schema, wl_list_add(&wl_room_row_schema, rows),
				       &row->now);
}
