/* Reservations and free capacity in the ledger of targets. */

#include <gtest/gtest.h>

extern "C" {
#include <libwlcore/owner/ledger.h>
}

class Ledger : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		wl_need_t request = {.cpu_millis = 500,
				     .memory_mib = 100,
				     .accelerators = 0,
				     .slots = 1,
				     .connections = 1};
		wl_ledger_init(&ledger, &request);
	}
	void TearDown() override
	{
		wl_ledger_free(&ledger);
	}

	wl_target_t *add(const char *name, const char *service)
	{
		wl_need_t capacity = {.cpu_millis = 4000,
				      .memory_mib = 1000,
				      .accelerators = 1,
				      .slots = 4,
				      .connections = 3};
		wl_target_t *target = wl_ledger_add(&ledger, wl_str_from(name), 1);

		wl_strings_add(&target->services, wl_str_from(service));
		wl_ledger_set_capacity(&ledger, target, &capacity);
		wl_ledger_set_open(&ledger, target, true);
		return target;
	}

	uint64_t free_requests(const char *service)
	{
		const wl_ledger_service_t *found = wl_ledger_service(&ledger, wl_str_from(service));

		return found ? found->free_requests : 0;
	}

	wl_ledger_t ledger;
};

TEST_F(Ledger, ReservesWithinCapacity)
{
	wl_target_t *target = add("w1", "sort");

	EXPECT_EQ(free_requests("sort"), 3u);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(wl_ledger_reserve(&ledger, target, &ledger.request));
	EXPECT_FALSE(wl_ledger_reserve(&ledger, target, &ledger.request)); /* out of connections */
	EXPECT_EQ(free_requests("sort"), 0u);
	EXPECT_EQ(target->running_requests, 3u);

	wl_need_t task = {.cpu_millis = 2501,
			  .memory_mib = 0,
			  .accelerators = 0,
			  .slots = 1,
			  .connections = 0};
	EXPECT_FALSE(wl_ledger_reserve(&ledger, target, &task)); /* out of processors */
	task.cpu_millis = 2500;
	EXPECT_TRUE(wl_ledger_reserve(&ledger, target, &task));
	wl_ledger_release(&ledger, target, &ledger.request);
	EXPECT_EQ(target->running_requests, 2u);
	EXPECT_EQ(free_requests("sort"), 1u);
}

TEST_F(Ledger, ClosedTargetRejectsReservations)
{
	wl_target_t *target = add("w1", "sort");

	wl_ledger_set_open(&ledger, target, false);
	EXPECT_EQ(free_requests("sort"), 0u);
	EXPECT_FALSE(wl_ledger_reserve(&ledger, target, &ledger.request));
	EXPECT_EQ(wl_ledger_service(&ledger, WL_STR("sort"))->count, 0u);
}

TEST_F(Ledger, CountsOpenTargetsByService)
{
	wl_target_t *one = add("w1", "sort");
	wl_target_t *two = add("w2", "sort");

	add("w3", "book");
	EXPECT_EQ(free_requests("sort"), 6u);
	wl_ledger_remove(&ledger, one);
	EXPECT_EQ(free_requests("sort"), 3u);
	EXPECT_EQ(wl_ledger_service(&ledger, WL_STR("sort"))->targets[0], two);
	EXPECT_EQ(wl_ledger_find(&ledger, WL_STR("w1")), nullptr);
}

TEST_F(Ledger, RunningWorkIsAddedBeyondCapacity)
{
	wl_target_t *target = add("w1", "sort");
	wl_need_t much = {.cpu_millis = 9000,
			  .memory_mib = 0,
			  .accelerators = 0,
			  .slots = 2,
			  .connections = 0};

	wl_ledger_add_reserved(&ledger, target, &much);
	EXPECT_EQ(wl_ledger_free_requests(&ledger, target), 0u);
	EXPECT_EQ(free_requests("sort"), 0u);
	wl_ledger_subtract_reserved(&ledger, target, &much);
	EXPECT_EQ(free_requests("sort"), 3u);
}
