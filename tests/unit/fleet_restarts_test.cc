#include "../support/fleet_checks.h"

/* Leaders that may have been replaced, and targets that start again under their ids. */

namespace
{
/* It processes the messages of before the freeze, and the commits in them, before its tick. */
TEST(FleetRestarts, LeaderGrantsNoLeaseAfterAFreeze)
{
	for (uint64_t at_ms = FAULT_MS + 4; at_ms < FAULT_MS + 64; at_ms += 8) {
		FleetOptions options = light();

		options.dispatch = "leader";
		Fleet fleet(options);
		fleet.at(at_ms, [&fleet] {
			fleet.leader()->batch = 256;
			fleet.leader()->freeze(8000);
		});
		fleet.simulate();
		EXPECT_EQ(fleet.record.leases_beyond, 0u) << fleet.summary();
		EXPECT_EQ(fleet.record.twice, 0u) << fleet.summary();
	}
}

/* It hears nothing of the election that it has asked for. */
TEST(FleetRestarts, LeaderGrantsNoLeaseAfterItHandsOver)
{
	FleetOptions options = light();

	options.dispatch = "leader";
	Fleet fleet(options);
	FleetReplica *former = nullptr;
	fleet.on_log = [&](const FleetReplica &, const std::string &line) {
		if (former && line.find("role=candidate") != std::string::npos)
			fleet.stall_messages_to(former, 3000);
	};
	fleet.at(FAULT_MS, [&] {
		wl_event_t event;

		former = fleet.leader();
		wl_event_init(&event, WL_EVENT_DRAIN);
		former->event(&event);
	});
	fleet.simulate();
	EXPECT_EQ(fleet.record.leases_beyond, 0u) << fleet.summary();
	EXPECT_EQ(fleet.record.twice, 0u) << fleet.summary();
}

/*
 * The followers hold starts until the runs have been stopped, and the targets have started again
 * under their ids.
 */
TEST(FleetRestarts, NoTaskRunsTwiceWhenTargetsRestartBehindFrozenFollowers)
{
	const uint64_t frozen_ms = 3000;
	const uint64_t down_ms = 300;

	for (uint64_t crash_ms : {1200, 1600, 2000}) {
		FleetOptions options = light();
		Fleet fleet(options);

		fleet.at(FAULT_MS, [&fleet] {
			fleet.follower(0)->freeze(frozen_ms);
			fleet.follower(1)->freeze(frozen_ms);
		});
		for (size_t i = 0; i < options.targets; i += 2)
			fleet.at(FAULT_MS + crash_ms + i,
				 [&fleet, i] { fleet.restart_target(i, down_ms); });
		fleet.simulate();
		EXPECT_EQ(fleet.record.twice, 0u) << fleet.summary();
		EXPECT_EQ(fleet.record.leases_beyond, 0u) << fleet.summary();
		EXPECT_EQ(fleet.record.tasks_left(), 0u) << fleet.summary();
	}
}

/* Several start again after their holds have stopped, and before a start reaches them. */
static void restart_all_targets(size_t rounds, Fleet &fleet, size_t targets)
{
	for (size_t round = 0; round < rounds; round++)
		for (size_t i = 0; i < targets; i++)
			fleet.at(4000 + round * 3000 + i * 30,
				 [&fleet, i] { fleet.restart_target(i, 150); });
	fleet.simulate();
	EXPECT_EQ(fleet.record.twice, 0u) << fleet.summary();
	EXPECT_EQ(fleet.record.after_done, 0u) << fleet.summary();
}

static FleetOptions short_work()
{
	FleetOptions options = light();

	options.lasting_jobs = 0;
	options.lasting_failures = 0;
	return options;
}

TEST(FleetRestarts, NoTaskStartsAfterItsEndWhenTargetsRestart)
{
	FleetOptions options = short_work();
	Fleet fleet(options);

	restart_all_targets(1, fleet, options.targets);
	EXPECT_EQ(fleet.record.tasks_left(), 0u) << fleet.summary();
}

/* A task under which three targets in a row have crashed is given up. */
TEST(FleetRestarts, NoTaskStartsAfterItsEndAndEachJobEndsWhenTargetsRestartAgainAndAgain)
{
	FleetOptions options = short_work();
	Fleet fleet(options);
	size_t accepted = 0;
	size_t ended = 0;

	fleet.on_log = [&](const FleetReplica &, const std::string &line) {
		accepted += line.find("event=job-accept ") != std::string::npos;
		ended += line.find("event=job-end ") != std::string::npos;
	};
	restart_all_targets(5, fleet, options.targets);
	EXPECT_GT(accepted, 0u);
	EXPECT_EQ(ended, accepted);
}

/* Hardly any run of theirs was committed so late that the next leader may not know of it. */
TEST(FleetRestarts, CrashesAreProvedWhenTheLeaderDiesWithTheTargets)
{
	FleetOptions options = light();
	Fleet fleet(options);
	size_t crashes = 0;
	size_t proved = 0;

	fleet.on_log = [&](const FleetReplica &, const std::string &line) {
		if (line.find("event=task-crash ") == std::string::npos)
			return;
		crashes++;
		proved += line.find(" proved=0 ") == std::string::npos;
	};
	leader_dies(fleet);
	for (size_t i = 0; i < options.targets; i += 2)
		fleet.at(FAULT_MS, [&fleet, i] { fleet.restart_target(i, 300); });
	fleet.simulate();
	EXPECT_GT(crashes, 100u);
	EXPECT_GE(proved * 10, crashes * 9);
	printf("crashes of targets under tasks %zu, proved %zu\n", crashes, proved);
}
} // namespace
