#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include <libwlbase/rng.h>
#include <libwlbase/heap.h>
}

TEST(Heap, PopsInKeyOrderAfterChangesAndRemovals)
{
	wl_heap_t heap = {};
	std::vector<wl_heap_node_t> items(500);
	std::vector<uint64_t> want;
	wl_rng_t rng;

	wl_rng_init(&rng, 3, 0);
	for (int round = 0; round < 5; round++)
		for (auto &one : items)
			wl_heap_put(&heap, &one, 1 + wl_rng_below(&rng, 1000));
	for (size_t i = 0; i < items.size(); i += 3)
		wl_heap_remove(&heap, &items[i]);
	wl_heap_remove(&heap, &items[1]);
	for (auto &one : items)
		if (one.position)
			want.push_back(one.key);
	std::sort(want.begin(), want.end());

	EXPECT_EQ(heap.count, want.size());
	EXPECT_EQ(wl_heap_pop(&heap, want[0] - 1), nullptr);
	for (uint64_t at : want) {
		wl_heap_node_t *node = wl_heap_pop(&heap, UINT64_MAX);

		ASSERT_NE(node, nullptr);
		EXPECT_EQ(node->key, at);
		EXPECT_EQ(node->position, 0u);
	}
	EXPECT_EQ(wl_heap_pop(&heap, UINT64_MAX), nullptr);
	wl_heap_free(&heap);
}
