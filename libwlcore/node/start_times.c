/* Start times of operations in progress, to measure how long they take. */

#include "start_times.h"

#include <stdlib.h>

#include <libwlbase/str.h>

#define MIN_CAPACITY 64

static wl_since_row_t *row_at(const wl_since_t *times, size_t i)
{
	return &times->rows[(times->first + i) & (times->room - 1)];
}

static void times_grow(wl_since_t *times)
{
	size_t room = times->room ? 2 * times->room : MIN_CAPACITY;
	wl_since_row_t *rows = wl_alloc(room * sizeof(*rows));

	for (size_t i = 0; i < times->count; i++)
		rows[i] = *row_at(times, i);
	free(times->rows);
	times->rows = rows;
	times->room = room;
	times->first = 0;
}

/*
 * wl_since_free - release the memory; the object is empty and may be used again
 */
void wl_since_free(wl_since_t *times)
{
	free(times->rows);
	*times = (wl_since_t){0};
}

/*
 * wl_since_begin - add an operation
 * @number: identifies the operation
 * @now_ns: its start time, nanoseconds
 */
void wl_since_begin(wl_since_t *times, uint64_t number, uint64_t now_ns)
{
	if (times->count == times->room)
		times_grow(times);
	times->count++;
	*row_at(times, times->count - 1) = (wl_since_row_t){number, now_ns};
}

/*
 * wl_since_end - remove an operation, and all that were started before it
 * @number: identifies the operation
 * @began_ns: set to its start time
 *
 * Return: false if the operation is not known; nothing is removed then.
 */
bool wl_since_end(wl_since_t *times, uint64_t number, uint64_t *began_ns)
{
	for (size_t i = 0; i < times->count; i++) {
		const wl_since_row_t *row = row_at(times, i);

		if (row->number != number)
			continue;
		*began_ns = row->began_ns;
		times->first = (times->first + i + 1) & (times->room - 1);
		times->count -= i + 1;
		return true;
	}
	return false;
}

/*
 * wl_since_clear - remove all operations
 */
void wl_since_clear(wl_since_t *times)
{
	times->count = 0;
}
