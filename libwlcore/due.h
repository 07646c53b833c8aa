#ifndef WL_DUE_H
#define WL_DUE_H

#include <stddef.h>
#include <stdint.h>

#define WL_DUE_NEVER UINT64_MAX

/* When something is next to be looked at; kept in the struct that it is about. */
typedef struct wl_due {
	uint64_t at_ns;
	size_t place; /* in the heap, from 1; 0: not in it */
	void *subject;
} wl_due_t;

/* The earliest of many, found without looking at all. */
typedef struct wl_due_heap {
	wl_due_t **items;
	size_t count;
	size_t room;
} wl_due_heap_t;

void wl_due_heap_free(wl_due_heap_t *heap);
void wl_due_set(wl_due_heap_t *heap, wl_due_t *due, uint64_t at_ns);
void wl_due_unset(wl_due_heap_t *heap, wl_due_t *due);
wl_due_t *wl_due_pop(wl_due_heap_t *heap, uint64_t now_ns);

#endif
