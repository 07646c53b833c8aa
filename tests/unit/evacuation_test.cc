#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/evacuation/warmup.h>
}

#include <gtest/gtest.h>

/* Evacuated availability zones, and targets that warm up. */

namespace
{
constexpr uint64_t MS = 1000000;

/* Two targets in each of the zones a and b. */
class Evacuation : public testing::Test
{
      protected:
	Evacuation()
	{
		rig.configure("q");
		targets_report();
	}

	void targets_report()
	{
		for (const char *id : {"a1", "a2", "b1", "b2"}) {
			rig.zone = std::string(1, id[0]);
			rig.runner(id, 4000, 1, std::string("r") + id);
		}
	}

	/* The zones in which tasks of a new job are started. */
	std::set<char> zones_of_starts(uint64_t tasks = 12)
	{
		std::set<char> zones;

		rig.job("q", "j" + std::to_string(++jobs), {tasks});
		rig.submit();
		rig.advance(20);
		rig.commit();
		for (const auto &start : rig.take_orders(WL_ORDER_START)) {
			zones.insert(start.runner[0]);
			rig.answer(start, WL_ORDER_DONE);
		}
		return zones;
	}

	bool is_evacuated(const std::string &zone) const
	{
		return wl_evacuation_find(&rig.jobs->evacuations, {zone.data(), zone.size()}) !=
		       nullptr;
	}

	SchedRig rig;
	int jobs = 0;
};

TEST_F(Evacuation, ZoneGetsNoStartsUntilItIsTakenBack)
{
	rig.evacuate("a");
	EXPECT_EQ(rig.newest.code, WL_OK);
	EXPECT_EQ(zones_of_starts(), std::set<char>({'b'}));
	rig.evacuate("a", true);
	rig.advance(10);
	targets_report();
	rig.advance(20);
	rig.commit();
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 4u);
}

TEST_F(Evacuation, UnknownZoneIsRefused)
{
	rig.evacuate("c");
	EXPECT_EQ(rig.newest.code, WL_E_NOT_FOUND);
	rig.evacuate("c", true);
	EXPECT_EQ(rig.newest.code, WL_E_NOT_FOUND);
	rig.evacuate("a", true);
	EXPECT_EQ(rig.newest.code, WL_OK);
}

/* Orders that were chosen before are not sent after the evacuation. */
TEST_F(Evacuation, CommittedStartsAreWithheld)
{
	rig.job("q", "j", {16});
	rig.submit();
	rig.hold_commits = true;
	rig.advance(20);
	rig.evacuate("a");
	rig.hold_commits = false;
	rig.lead(2);
	rig.follow();
	rig.lead(3);
	rig.evacuate("a");
	rig.advance(20);
	rig.commit();
	for (const auto &start : rig.take_orders(WL_ORDER_START))
		EXPECT_EQ(start.runner[0], 'b') << start.task;
}

TEST_F(Evacuation, RunsInTheZoneKeepTheirLeases)
{
	rig.job("q", "j", {16});
	rig.submit();
	rig.advance(20);
	rig.commit();
	for (const auto &start : rig.take_orders(WL_ORDER_START))
		rig.answer(start, WL_ORDER_DONE);
	rig.evacuate("a");
	rig.advance(20);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	bool renewed = false;
	for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
		renewed |= order.runner[0] == 'a' && order.lease_ms > 0;
	EXPECT_TRUE(renewed);
}

TEST_F(Evacuation, TargetsWaitForTheirReportWhenTheZoneIsTakenBack)
{
	rig.evacuate("a");
	rig.advance(10);
	rig.evacuate("a", true);
	EXPECT_EQ(zones_of_starts(8), std::set<char>({'b'}));
	rig.advance(1500);
	for (const char *id : {"a1", "a2", "b1", "b2"})
		rig.report_forwarded("s1", id);
	EXPECT_EQ(zones_of_starts(8), std::set<char>({'a'}));
}

/* Every order of these events, up to five of them: what was asked for last is in force. */
enum class Event {
	START,
	FINISH,
	CONFIGURATION,
	LEADER_LOST,
	ALL_RESTARTED
};

class Sequence : public testing::TestWithParam<int>
{
};

INSTANTIATE_TEST_SUITE_P(Lengths, Sequence, testing::Range(1, 6));

TEST_P(Sequence, LatestOrderIsInForce)
{
	int sequences = 1;

	for (int i = 0; i < GetParam(); i++)
		sequences *= 5;
	for (int sequence = 0; sequence < sequences; sequence++) {
		SchedRig rig;
		bool evacuated = false;
		uint64_t term = 1;
		std::string events;

		rig.configure("q");
		for (const char *id : {"a1", "b1"}) {
			rig.zone = std::string(1, id[0]);
			rig.runner(id);
		}
		for (int i = 0, rest = sequence; i < GetParam(); i++, rest /= 5) {
			events += std::to_string(rest % 5);
			switch (static_cast<Event>(rest % 5)) {
			case Event::START:
			case Event::FINISH:
				evacuated = rest % 5 == 0;
				rig.evacuate("a", !evacuated);
				EXPECT_EQ(rig.newest.code, WL_OK) << events;
				break;
			case Event::CONFIGURATION:
				rig.configure("q" + std::to_string(i));
				break;
			case Event::ALL_RESTARTED:
			case Event::LEADER_LOST:
				rig.follow();
				if (rest % 5 == static_cast<int>(Event::ALL_RESTARTED))
					rig.reload();
				rig.lead(++term);
				break;
			}
		}
		rig.job("q", "last", {80});
		rig.submit();
		rig.advance(20);
		for (const char *id : {"a1", "b1"})
			rig.report_forwarded("s1", id);
		rig.advance(20);
		rig.commit();
		bool in_zone = false;
		for (const auto &start : rig.take_orders(WL_ORDER_START))
			in_zone |= start.runner == "a1";
		ASSERT_EQ(in_zone, !evacuated) << events;
	}
}

/* The load of a zone of 123 targets of 490 that returns slow, just before a burst. */
class ZoneReturns : public testing::Test
{
      protected:
	static constexpr int TARGETS = 490;
	static constexpr int ZONE_TARGETS = 123;

	void report(uint64_t warmup_ms)
	{
		for (int i = 0; i < TARGETS; i++) {
			rig.zone = i < ZONE_TARGETS ? "a" : "b";
			rig.warmup_ms = i < ZONE_TARGETS ? warmup_ms : 0;
			rig.runner("t" + std::to_string(i), 16000, 1, "r" + std::to_string(i / 20));
		}
	}

	/* Submits tasks of 2 CPUs. Return: how many start in the zone, and elsewhere. */
	std::pair<size_t, size_t> burst(size_t tasks)
	{
		std::pair<size_t, size_t> started = {0, 0};

		for (size_t i = 0; i < tasks / 20; i++) {
			rig.job("q", "j" + std::to_string(++jobs), {20})->cpu_millis = 2000;
			rig.submit();
		}
		for (int i = 0; i < 20; i++) {
			rig.advance(10);
			rig.commit();
			for (const auto &start : rig.take_orders(WL_ORDER_START)) {
				bool in_zone = std::stoi(start.runner.substr(1)) < ZONE_TARGETS;

				(in_zone ? started.first : started.second)++;
				rig.answer(start, WL_ORDER_DONE);
			}
		}
		return started;
	}

	SchedRig rig;
	int jobs = 0;
};

TEST_F(ZoneReturns, NoTaskStartsThereAndItTakesNoBurstWhileItIsSlow)
{
	rig.configure("q");
	report(0);
	rig.evacuate("a");
	EXPECT_EQ(burst(1000).first, 0u);
	rig.evacuate("a", true);
	rig.advance(10);
	report(8000);
	/* The rest of the fleet has room for all of it. */
	EXPECT_EQ(burst(1600), (std::pair<size_t, size_t>(0, 1600)));
	/* What it has no room for goes to the zone, to a quarter of its CPU at first. */
	auto started = burst(1000);
	EXPECT_GT(started.first, 0u);
	EXPECT_LE(started.first, ZONE_TARGETS * 2u);
	rig.advance(9000);
	report(0);
	EXPECT_GT(burst(200).first, 100u);
}

TEST(Warmup, OffersMoreFromStepToStep)
{
	wl_warmup_t warmup = {};
	uint64_t now_ns = 5000 * MS;
	uint64_t held = 16000;

	EXPECT_EQ(wl_warmup_held_millis(&warmup, now_ns, 16000), 0u);
	wl_warmup_report(&warmup, now_ns, 8000);
	EXPECT_EQ(wl_warmup_held_millis(&warmup, now_ns, 16000), 12000u);
	for (int i = 0; i < 80; i++, now_ns += 100 * MS) {
		uint64_t next = wl_warmup_held_millis(&warmup, now_ns, 16000);

		EXPECT_LE(next, held);
		held = next;
	}
	EXPECT_EQ(wl_warmup_held_millis(&warmup, now_ns, 16000), 0u);
	wl_warmup_report(&warmup, now_ns, 1000);
	wl_warmup_report(&warmup, now_ns, 0);
	EXPECT_EQ(wl_warmup_held_millis(&warmup, now_ns, 16000), 0u);
}
} // namespace
