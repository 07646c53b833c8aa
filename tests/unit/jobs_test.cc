extern "C" {
#include <libwlcore/job/jobs.h>
}

#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

/* The replicated job state, without a log or a scheduler. */

namespace
{
constexpr uint64_t RETENTION_MS = 60000; /* how long a target that left is kept */

class Jobs : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		wl_jobs_init(&jobs, 1000);
	}
	void TearDown() override
	{
		wl_jobs_clear(&jobs);
	}

	void report(const std::string &id, uint64_t life, bool left, uint64_t clock_ms)
	{
		wl_result_t result = {};
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNNER_PUT;
		wl_buf_set(&cmd.u.runner_put.id, {id.data(), id.size()});
		cmd.u.runner_put.incarnation = life;
		cmd.u.runner_put.exiting = left;
		wl_jobs_apply(&jobs, &cmd, clock_ms, &result);
		wl_result_free(&result);
		wl_cmd_free(&cmd);
	}
	bool exists(const std::string &id) const
	{
		return wl_jobs_runner(&jobs, {id.data(), id.size()}) != nullptr;
	}

	wl_jobs_t jobs = {};
};
} // namespace

TEST_F(Jobs, EachTargetThatLeftIsRemovedAfterItsRetention)
{
	report("a", 1, false, 1000);
	report("b", 1, false, 1000);
	report("c", 1, false, 1000);
	report("b", 1, true, 2000);
	report("a", 1, true, 3000);
	wl_jobs_expire(&jobs, 2000 + RETENTION_MS);
	EXPECT_TRUE(exists("b"));
	wl_jobs_expire(&jobs, 2001 + RETENTION_MS);
	EXPECT_FALSE(exists("b"));
	wl_jobs_expire(&jobs, 3000 + RETENTION_MS);
	EXPECT_TRUE(exists("a"));
	wl_jobs_expire(&jobs, 3001 + RETENTION_MS);
	EXPECT_FALSE(exists("a"));
	EXPECT_TRUE(exists("c"));
}

/* Targets join, leave and return at random. Compared with a table of when each target left. */
TEST_F(Jobs, RemovalMatchesAReferenceTable)
{
	std::mt19937 random(7);
	std::map<std::string, uint64_t> left; /* 0: it has not left */
	uint64_t clock_ms = 1;

	for (uint64_t i = 0; i < 20000; i++) {
		std::string id = "t" + std::to_string(random() % 12);
		bool leaves = random() % 2 != 0;

		clock_ms += random() % 2000;
		wl_jobs_expire(&jobs, clock_ms);
		for (auto it = left.begin(); it != left.end();)
			it = it->second && clock_ms - it->second > RETENTION_MS ? left.erase(it)
										: std::next(it);
		for (int k = 0; k < 12; k++)
			ASSERT_EQ(exists("t" + std::to_string(k)),
				  left.count("t" + std::to_string(k)) == 1)
				<< i;
		report(id, i + 1, leaves, clock_ms);
		if (!leaves)
			left[id] = 0;
		else if (left.count(id))
			left[id] = clock_ms;
	}
}
