/* Intrusive binary min-heap; insertion, removal and a change of key take O(log n). */

#include "heap.h"

#include <stdbool.h>
#include <stdlib.h>

#include <libwlbase/str.h>

#define HEAP_MIN_CAPACITY 16

/*
 * wl_heap_free - release the heap's array; the nodes belong to the structs that embed them
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
 * wl_heap_put - insert a node, or change the key of a node in the heap
 * @node: its owner must be set
 * @key: the smallest key comes first
 */
void wl_heap_put(wl_heap_t *heap, wl_heap_node_t *node, uint64_t key)
{
	if (!node->position) {
		if (heap->count == heap->capacity) {
			heap->capacity = heap->capacity ? 2 * heap->capacity : HEAP_MIN_CAPACITY;
			heap->nodes =
				wl_realloc(heap->nodes, heap->capacity * sizeof(wl_heap_node_t *));
		}
		heap_set(heap, heap->count++, node);
	}
	node->key = key;
	node->order = heap->next_order++;
	heap_up(heap, node->position - 1);
	heap_down(heap, node->position - 1);
}

/*
 * wl_heap_remove - remove a node; has no effect if the node is in no heap
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
 * wl_heap_first - get the node with the smallest key
 *
 * Return: the node, or NULL if the heap is empty.
 */
wl_heap_node_t *wl_heap_first(const wl_heap_t *heap)
{
	return heap->count ? heap->nodes[0] : NULL;
}

/*
 * wl_heap_pop - remove the node with the smallest key
 * @max_key: largest key that is removed; if the keys are times, the current time
 *
 * Return: the node, or NULL if the heap is empty or its smallest key is above @max_key.
 */
wl_heap_node_t *wl_heap_pop(wl_heap_t *heap, uint64_t max_key)
{
	wl_heap_node_t *node = wl_heap_first(heap);

	if (!node || node->key > max_key)
		return NULL;
	wl_heap_remove(heap, node);
	return node;
}
