/* Start times of operations in progress, to measure how long they take. */

#include "start_times.h"

#include <stdlib.h>

#include <libwlbase/str.h>

#define MIN_CAPACITY 64

static wl_start_time_t *row_at(const wl_start_times_t *times, size_t i)
{
	return &times->rows[(times->first + i) & (times->capacity - 1)];
}

static void times_grow(wl_start_times_t *times)
{
	size_t capacity = times->capacity ? 2 * times->capacity : MIN_CAPACITY;
	wl_start_time_t *rows = wl_alloc(capacity * sizeof(*rows));

	for (size_t i = 0; i < times->count; i++)
		rows[i] = *row_at(times, i);
	free(times->rows);
	times->rows = rows;
	times->capacity = capacity;
	times->first = 0;
}

/*
 * wl_start_times_free - release the memory; the object is empty and may be used again
 */
void wl_start_times_free(wl_start_times_t *times)
{
	free(times->rows);
	*times = (wl_start_times_t){0};
}

/*
 * wl_start_times_begin - add an operation
 * @number: identifies the operation
 * @now_ns: its start time, nanoseconds
 */
void wl_start_times_begin(wl_start_times_t *times, uint64_t number, uint64_t now_ns)
{
	if (times->count == times->capacity)
		times_grow(times);
	times->count++;
	*row_at(times, times->count - 1) = (wl_start_time_t){number, now_ns};
}

/*
 * wl_start_times_end - remove an operation, and all that were started before it
 * @number: identifies the operation
 * @began_ns: set to its start time
 *
 * Return: false if the operation is not known; nothing is removed then.
 */
bool wl_start_times_end(wl_start_times_t *times, uint64_t number, uint64_t *began_ns)
{
	for (size_t i = 0; i < times->count; i++) {
		const wl_start_time_t *row = row_at(times, i);

		if (row->number != number)
			continue;
		*began_ns = row->began_ns;
		times->first = (times->first + i + 1) & (times->capacity - 1);
		times->count -= i + 1;
		return true;
	}
	return false;
}

/*
 * wl_start_times_clear - remove all operations
 */
void wl_start_times_clear(wl_start_times_t *times)
{
	times->count = 0;
}
