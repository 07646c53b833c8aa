/* The heap of due times. */

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include <libwlbase/rng.h>
#include <libwlcore/due.h>
}

TEST(Due, GivesTheEarliestOfManyThroughChanges)
{
	wl_due_heap_t heap = {};
	std::vector<wl_due_t> items(500);
	std::vector<uint64_t> want;
	wl_rng_t rng;

	wl_rng_init(&rng, 3, 0);
	for (int round = 0; round < 5; round++)
		for (auto &one : items)
			wl_due_set(&heap, &one, 1 + wl_rng_below(&rng, 1000));
	for (size_t i = 0; i < items.size(); i += 3)
		wl_due_unset(&heap, &items[i]);
	wl_due_set(&heap, &items[1], WL_DUE_NEVER);
	for (auto &one : items)
		if (one.place)
			want.push_back(one.at_ns);
	std::sort(want.begin(), want.end());

	EXPECT_EQ(heap.count, want.size());
	EXPECT_EQ(wl_due_pop(&heap, want[0] - 1), nullptr);
	for (uint64_t at : want) {
		wl_due_t *due = wl_due_pop(&heap, UINT64_MAX);

		ASSERT_NE(due, nullptr);
		EXPECT_EQ(due->at_ns, at);
		EXPECT_EQ(due->place, 0u);
	}
	EXPECT_EQ(wl_due_pop(&heap, UINT64_MAX), nullptr);
	wl_due_heap_free(&heap);
}
