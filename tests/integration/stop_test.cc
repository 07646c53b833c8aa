#include "../support/load.h"

#include <signal.h>

#include <gtest/gtest.h>

namespace
{
constexpr int STOP_MS = 40000;

/* A graceful stop of each daemon in turn, under load, aborts no request in flight. */
TEST(Stop, EachDaemonInTurnAbortsNoRequest)
{
	Cluster cluster;
	ASSERT_NO_FATAL_FAILURE(cluster.begin());
	Load load(cluster);

	ASSERT_TRUE(load.progress(50));
	for (auto &member : cluster.members) {
		member->process.signal(SIGTERM);
		EXPECT_EQ(member->process.wait(STOP_MS), 0)
			<< member->name << ": " << file_read(member->process.log);
		member->process.kill();
		ASSERT_NO_FATAL_FAILURE(cluster.start(*member));
		ASSERT_TRUE(eventually([&] { return cluster.all_ready(); }));
		ASSERT_TRUE(load.progress(50));
	}
	load.finish();
	EXPECT_EQ(load.incomplete, 0u);
	EXPECT_EQ(load.unknown, 0u);
	for (const Sent &sent : load.all)
		if (!sent.answer.complete)
			ADD_FAILURE()
				<< sent.id << " at " << sent.entry << ": " << sent.answer.error;
}

/* A long request that is in flight when the stop begins still gets its complete answer. */
TEST(Stop, LongRequestIsFinished)
{
	Cluster cluster;
	ASSERT_NO_FATAL_FAILURE(cluster.begin());
	Member &member = *cluster.members.back();
	Answer answer;
	std::thread caller([&] {
		answer = cluster.request(member, "long", "POST", {{"Fake-Service-Ms", "4000"}});
	});

	EXPECT_TRUE(eventually([&] { return cluster.request_runs("long") == 1; }));
	member.process.signal(SIGTERM);
	caller.join();
	EXPECT_EQ(answer.status, 200u) << answer.body << answer.error;
	EXPECT_EQ(answer.at("id"), "long");
	EXPECT_EQ(member.process.wait(STOP_MS), 0) << file_read(member.process.log);
	EXPECT_EQ(cluster.request_runs("long"), 1);
}
} // namespace
