/* Binary heap of embedded nodes: O(log n) for every change. */

#include "heap.h"

#include <stdbool.h>
#include <stdlib.h>

#include <libwlbase/str.h>

#define HEAP_LEAST_ROOM 16

/*
 * wl_heap_free - release the heap's memory; the nodes stay with their owners
 */
void wl_heap_free(wl_heap_t *heap)
{
	free(heap->nodes);
	*heap = (wl_heap_t){0};
}

static bool node_before(const wl_heap_node_t *a, const wl_heap_node_t *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->order < b->order;
}

static void heap_set(wl_heap_t *heap, size_t i, wl_heap_node_t *node)
{
	heap->nodes[i] = node;
	node->position = i + 1;
}

static void heap_up(wl_heap_t *heap, size_t i)
{
	wl_heap_node_t *node = heap->nodes[i];

	while (i > 0) {
		size_t parent = (i - 1) / 2;

		if (!node_before(node, heap->nodes[parent]))
			break;
		heap_set(heap, i, heap->nodes[parent]);
		i = parent;
	}
	heap_set(heap, i, node);
}

static void heap_down(wl_heap_t *heap, size_t i)
{
	wl_heap_node_t *node = heap->nodes[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    node_before(heap->nodes[child + 1], heap->nodes[child]))
			child++;
		if (!node_before(heap->nodes[child], node))
			break;
		heap_set(heap, i, heap->nodes[child]);
		i = child;
	}
	heap_set(heap, i, node);
}

/*
 * wl_heap_put - add a node, or move one that is there to another key
 * @node: its owner must be set
 * @key: the least comes first
 */
void wl_heap_put(wl_heap_t *heap, wl_heap_node_t *node, uint64_t key)
{
	if (!node->position) {
		if (heap->count == heap->room) {
			heap->room = heap->room ? 2 * heap->room : HEAP_LEAST_ROOM;
			heap->nodes =
				wl_realloc(heap->nodes, heap->room * sizeof(wl_heap_node_t *));
		}
		heap_set(heap, heap->count++, node);
	}
	node->key = key;
	node->order = heap->next_order++;
	heap_up(heap, node->position - 1);
	heap_down(heap, node->position - 1);
}

/*
 * wl_heap_remove - take a node out; no effect on one that is in no heap
 */
void wl_heap_remove(wl_heap_t *heap, wl_heap_node_t *node)
{
	size_t i = node->position - 1;
	wl_heap_node_t *last;

	if (!node->position)
		return;
	node->position = 0;
	last = heap->nodes[--heap->count];
	if (last == node)
		return;
	heap_set(heap, i, last);
	heap_up(heap, i);
	heap_down(heap, last->position - 1);
}

/*
 * wl_heap_first - the node with the least key
 *
 * Return: the node, or NULL if the heap is empty.
 */
wl_heap_node_t *wl_heap_first(const wl_heap_t *heap)
{
	return heap->count ? heap->nodes[0] : NULL;
}

/*
 * wl_heap_pop - take out the node with the least key
 * @most: largest key that is taken; with times as keys, the present time
 *
 * Return: the node, or NULL if the heap is empty or its least key is above @most.
 */
wl_heap_node_t *wl_heap_pop(wl_heap_t *heap, uint64_t most)
{
	wl_heap_node_t *node = wl_heap_first(heap);

	if (!node || node->key > most)
		return NULL;
	wl_heap_remove(heap, node);
	return node;
}
