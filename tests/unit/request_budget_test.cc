/* Retries and hedged attempts never exceed a tenth of the requests, whatever fails. */

#include <gtest/gtest.h>

#include "../support/request_owner.h"

/* Answers every attempt until none is open.  Targets whose name begins with "bad" fail. */
static void answer_all(RequestRun *run, size_t *next)
{
	for (; *next < run->fetches.size(); (*next)++) {
		bool bad = run->fetched_from[*next].compare(0, 3, "bad") == 0;

		run->fetched(run->fetches[*next], bad ? 0 : 200, true, !bad, false, "", 5);
	}
}

static void run_failing(RequestRun *run, uint64_t requests, uint64_t gap_ms)
{
	size_t next = 0;

	for (uint64_t i = 1; i <= requests; i++) {
		run->now_ns += gap_ms * 1000000;
		run->tick();
		run->call(i, "GET", "/s/sort/a", {{"Wisterialead-Customer", "norrlamp"}}, "");
		answer_all(run, &next);
		ASSERT_LE((run->fetches.size() - i) * 10, i) << "after " << i << " requests";
	}
	EXPECT_EQ(wl_requests_open(run->requests), 0u);
}

TEST(RequestBudget, LimitsRetriesWhenHalfOfTheTargetsFail)
{
	RequestRun run;

	run.start();
	for (const char *name : {"good1", "good2", "bad1", "bad2"})
		run.target(name, "sort", "a", 64);
	run_failing(&run, 5000, 1);
	EXPECT_GE(run.fetches.size(), 5000u + 400u) << "too few retries were sent";
}

TEST(RequestBudget, LimitsRetriesWhenAllTargetsFailSlowly)
{
	RequestRun run;

	run.start();
	for (const char *name : {"bad1", "bad2"})
		run.target(name, "sort", "a", 64);
	run_failing(&run, 500, 400);
	EXPECT_GE(run.fetches.size(), 500u + 40u) << "the floor (ten failed requests per second "
						     "add to the budget) gave too few retries";
}

TEST(RequestBudget, LimitsRetriesWhenAllRequestsFail)
{
	RequestRun run;

	run.start();
	for (const char *name : {"bad1", "bad2"})
		run.target(name, "sort", "a", 64);
	run_failing(&run, 2000, 1);
	/* the floor: ten failures per second each add a tenth of a retry */
	EXPECT_LE(run.fetches.size(), 2000u + 3u);
}

TEST(RequestBudget, SendsNoRetriesWithoutABudget)
{
	RequestRun run;

	run.options.retry_permille = 0;
	run.start();
	for (const char *name : {"good1", "bad2"})
		run.target(name, "sort", "a", 64);
	run_failing(&run, 500, 1);
	EXPECT_EQ(run.fetches.size(), 500u);
}

TEST(RequestBudget, CountsHedgedAttempts)
{
	RequestRun run;
	size_t next = 0;

	run.start();
	for (const char *name : {"good1", "good2"})
		run.target(name, "sort", "a", 64);
	for (uint64_t i = 1; i <= 2000; i++) {
		/* one in five is slow enough for a hedged attempt */
		uint64_t took_ms = i % 5 ? 2 : 50;

		run.call(i, "GET", "/s/sort/a", {{"Wisterialead-Customer", "norrlamp"}}, "");
		for (uint64_t ms = 0; ms < took_ms; ms++) {
			run.now_ns += 1000000;
			run.tick();
		}
		for (; next < run.fetches.size(); next++)
			run.fetched(run.fetches[next], 200, true, true, false, "", took_ms);
		ASSERT_LE((run.fetches.size() - i) * 10, i);
	}
	EXPECT_GT(run.fetches.size(), 2050u);
	EXPECT_EQ(wl_ledger_find(&run.ledger, wl_str_from("good1"))->reserved.slots, 0u);
}
