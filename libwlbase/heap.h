#ifndef WL_HEAP_H
#define WL_HEAP_H

#include <stddef.h>
#include <stdint.h>

/* Node embedded in a struct that is kept in a heap.  A zeroed node is in no heap. */
typedef struct wl_heap_node {
	uint64_t key;
	uint64_t order;	 /* number of the insertion; nodes of equal keys come out in this order */
	size_t position; /* index + 1; 0: in no heap */
	void *owner;	 /* the struct that embeds it */
} wl_heap_node_t;

/*
 * Intrusive binary min-heap: the heap holds pointers to nodes embedded in the
 * caller's structs.  A zeroed struct is an empty heap.
 */
typedef struct wl_heap {
	wl_heap_node_t **nodes;
	size_t count;
	size_t capacity;
	uint64_t next_order;
} wl_heap_t;

void wl_heap_free(wl_heap_t *heap);
void wl_heap_put(wl_heap_t *heap, wl_heap_node_t *node, uint64_t key);
void wl_heap_remove(wl_heap_t *heap, wl_heap_node_t *node);
wl_heap_node_t *wl_heap_first(const wl_heap_t *heap);
wl_heap_node_t *wl_heap_pop(wl_heap_t *heap, uint64_t max_key);

#endif
