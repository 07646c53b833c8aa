/* When things under way began, for the time that they take. */

#include "since.h"

#include <stdlib.h>

#include <libwlbase/str.h>

#define LEAST_ROOM 64

static wl_since_row_t *row_at(const wl_since_t *since, size_t i)
{
	return &since->rows[(since->first + i) & (since->room - 1)];
}

static void since_grow(wl_since_t *since)
{
	size_t room = since->room ? 2 * since->room : LEAST_ROOM;
	wl_since_row_t *rows = wl_alloc(room * sizeof(*rows));

	for (size_t i = 0; i < since->count; i++)
		rows[i] = *row_at(since, i);
	free(since->rows);
	since->rows = rows;
	since->room = room;
	since->first = 0;
}

/*
 * wl_since_free - release it; it may be used again
 */
void wl_since_free(wl_since_t *since)
{
	free(since->rows);
	*since = (wl_since_t){0};
}

/*
 * wl_since_begin - something begins
 */
void wl_since_begin(wl_since_t *since, uint64_t number, uint64_t now_ns)
{
	if (since->count == since->room)
		since_grow(since);
	since->count++;
	*row_at(since, since->count - 1) = (wl_since_row_t){number, now_ns};
}

/*
 * wl_since_end - something ends; what began before it is forgotten with it
 * @began_ns: set to when it began
 *
 * Return: false, and nothing is forgotten, if it is not known.
 */
bool wl_since_end(wl_since_t *since, uint64_t number, uint64_t *began_ns)
{
	for (size_t i = 0; i < since->count; i++) {
		const wl_since_row_t *row = row_at(since, i);

		if (row->number != number)
			continue;
		*began_ns = row->began_ns;
		since->first = (since->first + i + 1) & (since->room - 1);
		since->count -= i + 1;
		return true;
	}
	return false;
}

/*
 * wl_since_clear - forget all
 */
void wl_since_clear(wl_since_t *since)
{
	since->count = 0;
}
