/*
 * Compares the default policies with their baselines under load: one entry, several
 * targets, random arrivals, time in steps of a millisecond.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

extern "C" {
#include <libwlbase/rng.h>
}

#include "../support/request_owner.h"

static const uint64_t MS = 1000000;

struct Load {
	std::string customer;
	uint64_t per_s;
	uint64_t from_ms;
	uint64_t until_ms;
	uint64_t timeout_ms;
};

struct Served {
	std::vector<uint64_t> took_ms;
	uint64_t late = 0; /* refused or not answered before the deadline */

	uint64_t quantile(double share)
	{
		std::sort(took_ms.begin(), took_ms.end());
		return took_ms.empty() ? 0
				       : took_ms[(size_t)(share * (double)(took_ms.size() - 1))];
	}
};

class PolicyRun
{
      public:
	PolicyRun(const char *routing, const char *queueing);
	void target(const std::string &name, uint64_t slots, uint64_t slowdown);
	std::map<std::string, Served> run(const std::vector<Load> &loads, uint64_t until_ms);

	uint64_t base_ms = 10;

      private:
	struct OpenCall {
		uint64_t began_ms;
		std::string customer;
	};

	void take(const wl_action_t *action);

	RequestRun part;
	std::map<std::string, uint64_t> slowdowns;
	/* by end time: id and duration of a fetch */
	std::multimap<uint64_t, std::pair<uint64_t, uint64_t>> ends;
	std::map<uint64_t, OpenCall> open;
	std::map<std::string, Served> served;
	uint64_t now_ms = 0;
	uint64_t next_call = 0;
	wl_rng_t rng;
};

PolicyRun::PolicyRun(const char *routing, const char *queueing)
{
	wl_rng_init(&rng, 21, 0);
	part.options.routing = wl_str_from(routing);
	part.options.queueing = wl_str_from(queueing);
	part.options.retry_permille = 0;
	part.on_action = [this](const wl_action_t *action) { take(action); };
	part.lists(R"({"customers":[{"name":"norrlamp","plan":"p"},)"
		   R"({"name":"lanternlight","plan":"p"}]})",
		   R"({"plans":[{"name":"p","weight":1,"services":["sort"],"classes":["urgent"],)"
		   R"("max_concurrent":100000,"requests_per_second":100000,"cpu_millis":0,)"
		   R"("memory_mib":0,"accelerators":0}]})");
	part.start();
}

void PolicyRun::target(const std::string &name, uint64_t slots, uint64_t slowdown)
{
	part.target(name, "sort", "a", slots);
	slowdowns["10.0.0.1:" + name] = slowdown;
}

void PolicyRun::take(const wl_action_t *action)
{
	if (action->kind == WL_ACTION_FETCH) {
		std::string address(action->fetch.address.at, action->fetch.address.len);
		uint64_t took_ms =
			(base_ms / 2 + wl_rng_below(&rng, base_ms + 1)) * slowdowns[address];

		ends.emplace(now_ms + took_ms, std::make_pair(action->fetch.id, took_ms));
	} else if (action->kind == WL_ACTION_REPLY) {
		OpenCall &call = open[action->reply.call];
		Served &to = served[call.customer];

		if (action->reply.status == 200)
			to.took_ms.push_back(now_ms - call.began_ms);
		else
			to.late++;
		open.erase(action->reply.call);
	}
}

std::map<std::string, Served> PolicyRun::run(const std::vector<Load> &loads, uint64_t until_ms)
{
	for (now_ms = 0; now_ms < until_ms; now_ms++) {
		part.now_ns = now_ms * MS;
		while (!ends.empty() && ends.begin()->first <= now_ms) {
			auto end = ends.begin()->second;

			ends.erase(ends.begin());
			part.fetched(end.first & ((1ull << WL_PART_SHIFT) - 1), 200, true, true,
				     false, "", end.second);
		}
		for (const auto &load : loads) {
			uint64_t count =
				load.per_s / 1000 + (wl_rng_below(&rng, 1000) < load.per_s % 1000);

			for (; now_ms >= load.from_ms && now_ms < load.until_ms && count; count--) {
				open[++next_call] = {now_ms, load.customer};
				part.call(next_call, "GET", "/s/sort/a",
					  {{"Wisterialead-Customer", load.customer},
					   {"Wisterialead-Timeout-Ms",
					    std::to_string(load.timeout_ms)}},
					  "");
			}
		}
		if (now_ms % 10 == 0)
			part.tick();
	}
	return served;
}

static Served run_with_slow_targets(const char *routing)
{
	PolicyRun run(routing, "");

	for (int i = 0; i < 8; i++)
		run.target("w" + std::to_string(i), 8, i < 2 ? 5 : 1);
	return run.run({{"norrlamp", 2000, 0, 20000, 1000}}, 21000)["norrlamp"];
}

TEST(RequestPolicy, LeastSlowdownAvoidsSlowTargets)
{
	Served least_slowdown = run_with_slow_targets("least-slowdown");
	Served round_robin = run_with_slow_targets("round-robin");

	printf("p50/p99: least-slowdown %zu/%zu ms, round-robin %zu/%zu ms\n",
	       (size_t)least_slowdown.quantile(0.5), (size_t)least_slowdown.quantile(0.99),
	       (size_t)round_robin.quantile(0.5), (size_t)round_robin.quantile(0.99));
	EXPECT_EQ(least_slowdown.late, 0u);
	EXPECT_LT(least_slowdown.quantile(0.95) * 2, round_robin.quantile(0.95));
	EXPECT_LE(least_slowdown.quantile(0.99), round_robin.quantile(0.99));
}

/* norrlamp overloads the targets for three seconds; lanternlight keeps its low rate. */
static std::map<std::string, Served> run_overload(const char *queueing)
{
	PolicyRun run("", queueing);

	for (int i = 0; i < 4; i++)
		run.target("w" + std::to_string(i), 8, 1);
	return run.run({{"lanternlight", 200, 0, 10000, 500}, {"norrlamp", 9000, 3000, 6000, 500}},
		       11000);
}

TEST(RequestPolicy, FairQueueingProtectsACustomerFromOverloadByAnother)
{
	auto fair = run_overload("fair-deadline");
	auto fifo = run_overload("fifo");

	printf("lanternlight p99: fair-deadline %zu ms, %zu late; fifo %zu ms, %zu late\n",
	       (size_t)fair["lanternlight"].quantile(0.99), (size_t)fair["lanternlight"].late,
	       (size_t)fifo["lanternlight"].quantile(0.99), (size_t)fifo["lanternlight"].late);
	printf("norrlamp answered: fair-deadline %zu, fifo %zu\n", fair["norrlamp"].took_ms.size(),
	       fifo["norrlamp"].took_ms.size());
	EXPECT_EQ(fair["lanternlight"].late, 0u);
	EXPECT_LT(fair["lanternlight"].quantile(0.99) * 5, fifo["lanternlight"].quantile(0.99));
	/* fairness costs no capacity */
	EXPECT_GE(fair["norrlamp"].took_ms.size() * 100, fifo["norrlamp"].took_ms.size() * 95);
}
