/* Fair queueing: shares by weight, order within a customer, removal at any position. */

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include <libwlbase/rng.h>
#include <libwlcore/request/fairq.h>
}

struct Waiting {
	wl_fairq_item_t item = {};
	std::string customer;
};

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

static Waiting *push(wl_fairq_t *queue, const std::string &customer, uint64_t weight,
		     uint64_t deadline_ns)
{
	auto *waiting = new Waiting;

	waiting->customer = customer;
	waiting->item.owner = waiting;
	waiting->item.deadline_ns = deadline_ns;
	wl_fairq_push(queue, &waiting->item, str(customer), weight);
	return waiting;
}

static std::string pop(wl_fairq_t *queue)
{
	wl_fairq_item_t *item = wl_fairq_first(queue);
	std::string customer;

	wl_fairq_pop(queue, item);
	auto *waiting = static_cast<Waiting *>(item->owner);
	customer = waiting->customer;
	delete waiting;
	return customer;
}

TEST(Fairq, BusyCustomersShareByWeight)
{
	wl_fairq_t queue;
	std::map<std::string, int> taken;

	ASSERT_TRUE(wl_fairq_init(&queue, str(""), nullptr));
	for (int i = 0; i < 400; i++) {
		push(&queue, "heavy", 3, 1);
		push(&queue, "light", 1, 1);
	}
	for (int i = 0; i < 400; i++)
		taken[pop(&queue)]++;
	EXPECT_EQ(taken["heavy"], 300);
	EXPECT_EQ(taken["light"], 100);
	while (queue.count)
		pop(&queue);
	wl_fairq_free(&queue);
}

TEST(Fairq, AnIdleCustomerGetsNoCreditAndWaitsOneTurnAtMost)
{
	wl_fairq_t queue;
	int late = 0;

	ASSERT_TRUE(wl_fairq_init(&queue, str("fair-deadline"), nullptr));
	for (int i = 0; i < 1000; i++)
		push(&queue, "busy", 1, 1);
	for (int i = 0; i < 500; i++)
		pop(&queue);
	for (int i = 0; i < 100; i++)
		push(&queue, "late", 1, 1);
	EXPECT_TRUE(pop(&queue) == "late" || pop(&queue) == "late");
	for (int i = 0; i < 100; i++)
		late += pop(&queue) == "late";
	EXPECT_NEAR(late, 50, 1);
	while (queue.count)
		pop(&queue);
	wl_fairq_free(&queue);
}

TEST(Fairq, FifoKeepsArrivalOrder)
{
	wl_fairq_t queue;

	ASSERT_TRUE(wl_fairq_init(&queue, str("fifo"), nullptr));
	for (int i = 0; i < 10; i++)
		push(&queue, std::to_string(i), 1 + i, 100 - i);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(pop(&queue), std::to_string(i));
	wl_fairq_free(&queue);
}

TEST(Fairq, UnknownPolicyIsAnError)
{
	wl_fairq_t queue;
	wl_err_t err = {};

	EXPECT_FALSE(wl_fairq_init(&queue, str("lifo"), &err));
	EXPECT_EQ(err.code, WL_E_BAD_INPUT);
}

TEST(Fairq, RemovalAtAnyPositionKeepsDeadlineOrder)
{
	wl_fairq_t queue;
	wl_rng_t rng;
	std::vector<Waiting *> all(1000);
	uint64_t last_ns = 0;

	wl_rng_init(&rng, 1, 1);
	ASSERT_TRUE(wl_fairq_init(&queue, str(""), nullptr));
	for (int i = 0; i < 1000; i++)
		all[i] = push(&queue, "one", 1, wl_rng_below(&rng, 5000));
	for (int i = 0; i < 1000; i += 2) {
		wl_fairq_remove(&queue, &all[i]->item);
		wl_fairq_remove(&queue, &all[i]->item);
		delete all[i];
	}
	EXPECT_EQ(queue.count, 500u);
	while (queue.count) {
		uint64_t deadline_ns = wl_fairq_first(&queue)->deadline_ns;

		EXPECT_GE(deadline_ns, last_ns);
		last_ns = deadline_ns;
		pop(&queue);
	}
	EXPECT_EQ(wl_fairq_first(&queue), nullptr);
	wl_fairq_free(&queue);
}
