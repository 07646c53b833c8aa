/* Times at which things are next to be looked at: a binary heap. */

#include "due.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/str.h>

#define HEAP_LEAST_ROOM 16

/* Places count from 1; the root is 1, the children of n are 2n and 2n + 1. */
static wl_due_t *at(const wl_due_heap_t *heap, size_t place)
{
	return heap->items[place - 1];
}

static void put(wl_due_heap_t *heap, size_t place, wl_due_t *due)
{
	heap->items[place - 1] = due;
	due->place = place;
}

static void rise(wl_due_heap_t *heap, wl_due_t *due)
{
	size_t place = due->place;

	while (place > 1 && due->at_ns < at(heap, place / 2)->at_ns) {
		put(heap, place, at(heap, place / 2));
		place /= 2;
	}
	put(heap, place, due);
}

static void sink(wl_due_heap_t *heap, wl_due_t *due)
{
	size_t place = due->place;

	for (;;) {
		size_t child = 2 * place;

		if (child > heap->count)
			break;
		if (child < heap->count && at(heap, child + 1)->at_ns < at(heap, child)->at_ns)
			child++;
		if (due->at_ns <= at(heap, child)->at_ns)
			break;
		put(heap, place, at(heap, child));
		place = child;
	}
	put(heap, place, due);
}

/*
 * wl_due_heap_free - release the heap; what is in it stays
 */
void wl_due_heap_free(wl_due_heap_t *heap)
{
	free(heap->items);
	memset(heap, 0, sizeof(*heap));
}

/*
 * wl_due_set - set or change a time
 * @at_ns: monotonic; WL_DUE_NEVER takes it out
 */
void wl_due_set(wl_due_heap_t *heap, wl_due_t *due, uint64_t at_ns)
{
	if (at_ns == WL_DUE_NEVER) {
		wl_due_unset(heap, due);
		return;
	}
	due->at_ns = at_ns;
	if (!due->place) {
		if (heap->count == heap->room) {
			heap->room = heap->room ? 2 * heap->room : HEAP_LEAST_ROOM;
			heap->items = wl_realloc(heap->items, heap->room * sizeof(wl_due_t *));
		}
		put(heap, ++heap->count, due);
	}
	rise(heap, due);
	sink(heap, due);
}

/*
 * wl_due_unset - take one out, if it is in
 */
void wl_due_unset(wl_due_heap_t *heap, wl_due_t *due)
{
	size_t place = due->place;
	wl_due_t *last;

	if (!place)
		return;
	due->place = 0;
	last = at(heap, heap->count--);
	if (last == due)
		return;
	put(heap, place, last);
	rise(heap, last);
	sink(heap, last);
}

/*
 * wl_due_pop - take out the earliest that is due
 *
 * Return: NULL when none is.
 */
wl_due_t *wl_due_pop(wl_due_heap_t *heap, uint64_t now_ns)
{
	wl_due_t *due = heap->count ? at(heap, 1) : NULL;

	if (!due || due->at_ns > now_ns)
		return NULL;
	wl_due_unset(heap, due);
	return due;
}
