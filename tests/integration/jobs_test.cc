#include "../support/cluster.h"
#include "../support/runner.h"

#include <signal.h>
#include <unistd.h>

#include <filesystem>

#include <gtest/gtest.h>

/* Jobs on real daemons that bootstrap their group from seed addresses. */

namespace
{
constexpr int STORES = 3;
constexpr int TASKS = 12;
constexpr uint64_t TASK_MS = 150;

const char *const DAEMON = BUILD_DIR "/daemon/wisterialeadd";
const char *const SECRET = "peer secret of the tests";

/* Of the given version, with the given name for the route. */
std::string catalog(int version, const std::string &route)
{
	return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + route +
	       R"(","host":"queue.example",)"
	       R"("path_prefix":"/tube/","type":"unsafe","timeout_ms":5000,"target_latency_ms":60000,)"
	       R"("priority":1,"backend":"workers","max_attempts":4,"slack_factor":1.5}],)"
	       R"("services":[{"name":"workers"}],"limits":{}})";
}

/* Each daemon gets its own loopback address, derived from the pid to avoid clashes between runs. */
std::string address(int number)
{
	constexpr int values = 250;
	int pid = getpid();

	return "127." + std::to_string(1 + pid / values % values) + "." +
	       std::to_string(1 + pid % values) + "." + std::to_string(number);
}

class Jobs : public testing::Test
{
      protected:
	Jobs() : folder(folder_make())
	{
		file_write(folder + "/peer.secret", SECRET);
	}

	~Jobs() override
	{
		for (auto &daemon : daemons)
			daemon.kill();
		if (HasFailure()) {
			for (auto &daemon : daemons)
				fprintf(stderr, "== %s\n%s\n", daemon.log.c_str(),
					file_read(daemon.log).c_str());
			return;
		}
		std::filesystem::remove_all(folder);
	}

	/* The last daemon is an entry, the others are stores. */
	void start(int number)
	{
		bool store = number <= STORES;
		std::string ip = address(number);
		std::string data = folder + "/" + std::to_string(number);

		std::filesystem::create_directories(data);
		daemons[number - 1].start(
			{DAEMON,
			 "--name",
			 ip,
			 "--availability-zone",
			 "vasteras-a",
			 "--role",
			 store ? "store" : "entry",
			 "--dialect",
			 "platform",
			 "--caller-listen",
			 ip + ":8080",
			 "--control-listen",
			 ip + ":8081",
			 "--peer-listen",
			 ip + ":8082",
			 "--store-seeds",
			 address(1) + ":8082," + address(2) + ":8082," + address(3) + ":8082",
			 "--found-group",
			 "yes",
			 "--voters",
			 "3",
			 "--data-dir",
			 data,
			 "--chart-dir",
			 PROJECT_DIR "/charts",
			 "--peer-secret-file",
			 folder + "/peer.secret"},
			folder + "/log-" + std::to_string(number));
	}

	/* Starts all daemons and waits until the configuration is in force. */
	void begin()
	{
		for (int number = 1; number <= STORES + 1; number++)
			start(number);
		ASSERT_TRUE(eventually([&] {
			return http(control(1), "POST", "/-/config/replace",
				    catalog(1, "tube-sort"))
				       .status == 200;
		}));
	}

	static std::string control(int number)
	{
		return address(number) + ":8081";
	}

	static Answer call(const std::string &method, const std::string &job,
			   const std::string &body = "")
	{
		return http(address(STORES + 1) + ":8080", method, "/tube/" + job, body,
			    {{"Host", "queue.example"}, {"Request-Deadline-Ms", "5000"}});
	}

	/* Sends a job until it is accepted; repeats have the same id and create no second job. */
	static bool submit(const std::string &job)
	{
		return eventually([&] {
			return call("POST", job,
				    R"({"spec":"words","steps":[{"count":)" +
					    std::to_string(TASKS) +
					    R"(,"cpu":500,"mem_mb":256,"estimated_ms":150}]})")
				       .status == 200;
		});
	}

	/* Sends heartbeats of the target to every running store until the job is completed. */
	bool completed(Runner &runner, const std::string &job)
	{
		return eventually([&] {
			for (int number = 1; number <= STORES; number++)
				if (daemons[number - 1].running())
					runner.report(control(number));
			return call("GET", job).at("state") == "completed";
		});
	}

	/* The daemon that logged the highest leader term; 0 if there is none yet. */
	int leader()
	{
		static const std::string mark = "event=lead term=";
		unsigned long highest = 0;
		int found = 0;

		for (int number = 1; number <= STORES; number++) {
			std::string log = file_read(daemons[number - 1].log);
			size_t at = log.rfind(mark);
			unsigned long term = at == std::string::npos
						     ? 0
						     : std::stoul(log.substr(at + mark.size()));

			if (term <= highest)
				continue;
			highest = term;
			found = number;
		}
		return found;
	}

	std::string folder;
	Process daemons[STORES + 1];
};
} // namespace

/*
 * Every task completes exactly once, before and after the leader is lost together with its copy
 * of the newest records.
 */
TEST_F(Jobs, CompleteOnceAcrossTheLossOfALeader)
{
	Runner runner("i-1", TASK_MS);

	ASSERT_NO_FATAL_FAILURE(begin());
	ASSERT_TRUE(submit("00000000000000a1"));
	ASSERT_TRUE(completed(runner, "00000000000000a1")) << call("GET", "00000000000000a1").body;
	EXPECT_EQ(runner.done().size(), static_cast<size_t>(TASKS));

	uint64_t before = runner.token();
	int lost = leader();

	ASSERT_NE(lost, 0);
	ASSERT_TRUE(submit("00000000000000a2"));
	daemons[lost - 1].kill();
	ASSERT_TRUE(submit("00000000000000a3"));
	ASSERT_TRUE(completed(runner, "00000000000000a2")) << call("GET", "00000000000000a2").body;
	ASSERT_TRUE(completed(runner, "00000000000000a3")) << call("GET", "00000000000000a3").body;
	EXPECT_GT(runner.token(), before);
	EXPECT_EQ(runner.done().size(), 3 * static_cast<size_t>(TASKS));
	for (const auto &task : runner.done())
		EXPECT_EQ(task.second, 1) << task.first;

	/* The killed daemon restarts with its data and can become leader again. */
	start(lost);
	daemons[lost % STORES].kill();
	ASSERT_TRUE(submit("00000000000000a4"));
	ASSERT_TRUE(completed(runner, "00000000000000a4")) << call("GET", "00000000000000a4").body;
	EXPECT_EQ(call("GET", "00000000000000a1").at("state"), "completed");
}

/*
 * A daemon that loses leadership and regains it in the same process must reset its leader state.
 * Guards against a fault where it kept the epoch of its first term, so that its answers reached no
 * caller.
 */
TEST_F(Jobs, CompleteWhenADaemonRegainsLeadership)
{
	Runner runner("i-1", TASK_MS);
	int first;

	ASSERT_NO_FATAL_FAILURE(begin());
	ASSERT_TRUE(submit("00000000000000a1"));
	ASSERT_TRUE(completed(runner, "00000000000000a1"));
	first = leader();
	ASSERT_NE(first, 0);

	/* Another daemon leads for a time. Leaders are then suspended until the first leads. */
	daemons[first - 1].signal(SIGSTOP);
	ASSERT_TRUE(submit("00000000000000a2"));
	ASSERT_TRUE(completed(runner, "00000000000000a2"));
	daemons[first - 1].signal(SIGCONT);
	while (leader() != first) {
		int other = leader();

		daemons[other - 1].signal(SIGSTOP);
		ASSERT_TRUE(eventually([&] { return leader() != other; }));
		daemons[other - 1].signal(SIGCONT);
	}
	ASSERT_TRUE(submit("00000000000000a3"));
	ASSERT_TRUE(completed(runner, "00000000000000a3")) << call("GET", "00000000000000a3").body;
	for (const auto &task : runner.done())
		EXPECT_EQ(task.second, 1) << task.first;
}

/*
 * A version that renames a route leaves the jobs that were accepted there to their callers. Guards
 * against a fault where they were answered with 410, and a cancelled one worked on.
 */
TEST_F(Jobs, KeepTheirCallersAcrossARenamedRoute)
{
	Runner runner("i-1", TASK_MS);

	ASSERT_NO_FATAL_FAILURE(begin());
	ASSERT_TRUE(submit("00000000000000a1"));
	ASSERT_TRUE(submit("00000000000000a2"));
	ASSERT_TRUE(eventually([&] {
		return http(control(1), "POST", "/-/config/replace", catalog(2, "renamed"))
			       .status == 200;
	}));
	EXPECT_EQ(call("GET", "00000000000000a1").status, 200);
	EXPECT_EQ(call("GET", "").at("pending"), "2");
	EXPECT_TRUE(submit("00000000000000a1"));
	EXPECT_EQ(call("DELETE", "00000000000000a2").status, 200);
	EXPECT_EQ(call("GET", "00000000000000a2").at("state"), "cancelled");
	ASSERT_TRUE(completed(runner, "00000000000000a1")) << call("GET", "00000000000000a1").body;
	EXPECT_EQ(runner.done().size(), static_cast<size_t>(TASKS));
}
