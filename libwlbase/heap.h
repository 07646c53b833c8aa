#ifndef WL_HEAP_H
#define WL_HEAP_H

#include <stddef.h>
#include <stdint.h>

/* A node that a struct embeds to stand in a heap; zero is a node that stands in none. */
typedef struct wl_heap_node {
	uint64_t key;
	uint64_t order;	 /* of equal keys, the one put first comes first */
	size_t position; /* index + 1; 0: in no heap */
	void *owner;	 /* the struct that embeds it */
} wl_heap_node_t;

/* Binary heap of embedded nodes, least key first; zero is an empty heap. */
typedef struct wl_heap {
	wl_heap_node_t **nodes;
	size_t count;
	size_t room;
	uint64_t next_order;
} wl_heap_t;

void wl_heap_free(wl_heap_t *heap);
void wl_heap_put(wl_heap_t *heap, wl_heap_node_t *node, uint64_t key);
void wl_heap_remove(wl_heap_t *heap, wl_heap_node_t *node);
wl_heap_node_t *wl_heap_first(const wl_heap_t *heap);
wl_heap_node_t *wl_heap_pop(wl_heap_t *heap, uint64_t most);

#endif
