#include "../support/cluster.h"
#include "../support/runner.h"

#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <thread>

#include <gtest/gtest.h>

/* Jobs on real daemons that bootstrap their group from seed addresses. */

namespace
{
constexpr int STORES = 3;
constexpr int ENTRIES = 2; /* the second one only if a test needs it */
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

/* Targets that send heartbeats to all stores but one that is suspended. */
class Targets
{
      public:
	Targets(size_t count, uint64_t task_ms, uint64_t stop_ms)
	{
		for (size_t i = 0; i < count; i++)
			runners.push_back(std::make_unique<Runner>("i-" + std::to_string(i + 1),
								   task_ms, stop_ms));
		reporting = std::thread([this] { report(); });
	}

	~Targets()
	{
		ending = true;
		reporting.join();
	}

	Targets(const Targets &) = delete;
	Targets &operator=(const Targets &) = delete;

	size_t started(const std::string &job)
	{
		size_t count = 0;

		for (auto &runner : runners)
			count += runner->started(job);
		return count;
	}

	size_t running(const std::string &job)
	{
		size_t count = 0;

		for (auto &runner : runners)
			count += runner->running_now(job);
		return count;
	}

	Runner::Time last_end(const std::string &job)
	{
		Runner::Time last;

		for (auto &runner : runners)
			last = std::max(last, runner->last_end(job));
		return last;
	}

	std::atomic<int> suspended{0};

      private:
	void report()
	{
		constexpr auto every = std::chrono::milliseconds(300);

		for (; !ending; std::this_thread::sleep_for(every))
			for (int number = 1; number <= STORES; number++)
				for (auto &runner : runners)
					if (number != suspended && !ending)
						runner->report(address(number) + ":8081");
	}

	std::vector<std::unique_ptr<Runner>> runners;
	std::atomic<bool> ending{false};
	std::thread reporting;
};

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

	/* The first daemons are stores, the others are entries. */
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
	void begin(int entries = 1)
	{
		for (int number = 1; number <= STORES + entries; number++)
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
			   const std::string &body = "", int number = STORES + 1)
	{
		return http(address(number) + ":8080", method, "/tube/" + job, body,
			    {{"Host", "queue.example"}, {"Request-Deadline-Ms", "5000"}});
	}

	static std::string job_body(int cpu_millis = 500)
	{
		return R"({"spec":"words","steps":[{"count":)" + std::to_string(TASKS) +
		       R"(,"cpu":)" + std::to_string(cpu_millis) +
		       R"(,"mem_mb":256,"estimated_ms":150}]})";
	}

	/* Sends a job until it is accepted; repeats have the same id and create no second job. */
	static bool submit(const std::string &job, int cpu_millis = 500)
	{
		return eventually(
			[&] { return call("POST", job, job_body(cpu_millis)).status == 200; });
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

	/* Whether a store has been given starts of a job that has ended, by the leader's log. */
	bool has_starts(int number, const std::string &job)
	{
		std::string log = file_read(daemons[leader() - 1].log);
		size_t from = 0;

		while ((from = log.find("event=job-teardown ", from)) != std::string::npos) {
			std::string line = log.substr(from, log.find('\n', from) - from);

			from += line.size();
			if (line.find(job) != std::string::npos &&
			    line.find("by:" + address(number)) != std::string::npos)
				return true;
		}
		return false;
	}

	/* Whether the leader gives orders to a replica, by its log. */
	bool is_usable(int number)
	{
		std::string log = file_read(daemons[leader() - 1].log);
		std::string mark = "event=agent replica=" + address(number) + " usable=";
		size_t at = log.rfind(mark);

		return at != std::string::npos && log.compare(at + mark.size(), 3, "yes") == 0;
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
	Process daemons[STORES + ENTRIES];
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

/* Guards against a fault where the job was accepted and ran after its caller had been told 410. */
TEST_F(Jobs, StayCancelledWhenTheSubmissionArrivesLater)
{
	const std::string job = "00000000000000b1";
	const std::string body = job_body();
	Targets targets(2, TASK_MS, 0);

	ASSERT_NO_FATAL_FAILURE(begin(2));
	ASSERT_TRUE(submit("00000000000000a1"));
	ASSERT_TRUE(eventually(
		[&] { return call("GET", "00000000000000a1").at("state") == "completed"; }));

	/* The submission lies in the socket of the entry, which reads it once it continues. */
	ASSERT_TRUE(daemons[STORES].suspend());
	Tcp late = Tcp::connect(8080, address(STORES + 1));
	ASSERT_TRUE(late.open());
	ASSERT_TRUE(late.send("POST /tube/" + job +
			      " HTTP/1.1\r\nHost: queue.example\r\nRequest-Deadline-Ms: 5000\r\n"
			      "Content-Length: " +
			      std::to_string(body.size()) + "\r\n\r\n" + body));
	EXPECT_EQ(call("DELETE", job, "", STORES + 2).status, 410u);
	daemons[STORES].signal(SIGCONT);
	EXPECT_EQ(late.read_until("\r\n", 10000).substr(0, 12), "HTTP/1.1 410");
	EXPECT_EQ(call("GET", job).status, 410u);

	/* A later job has run, so that this one would have been started. */
	ASSERT_TRUE(submit("00000000000000a2"));
	ASSERT_TRUE(eventually(
		[&] { return call("GET", "00000000000000a2").at("state") == "completed"; }));
	EXPECT_EQ(targets.started(job), 0u);
}

/* A follower that sends starts is suspended before these (true), or once a task has begun. */
class JobsWithASuspendedAgent : public Jobs, public testing::WithParamInterface<bool>
{
      protected:
	using Clock = std::chrono::steady_clock;

	static constexpr auto BOUND = std::chrono::milliseconds(3400); /* with the time to stop */
	static constexpr auto SUSPENSION = std::chrono::milliseconds(5000);
	static constexpr uint64_t STOP_MS = 350; /* users allow 400 ms */
	static constexpr uint64_t LONG_MS = 60000;
	static constexpr int MOST_OF_A_TARGET = 6000; /* processors of a task, millis */

	JobsWithASuspendedAgent() : targets(TASKS, LONG_MS, STOP_MS)
	{
	}

	/* Each target has a task of the job. */
	bool fill(const std::string &job)
	{
		return submit(job, MOST_OF_A_TARGET) &&
		       eventually([&] { return targets.running(job) == TASKS; });
	}

	/* Cancels a job until that is acknowledged, and checks when its last task ended. */
	void cancel(const std::string &job, Runner::Time until = Runner::Time())
	{
		ASSERT_TRUE(eventually([&] { return call("DELETE", job).status == 200; }));
		auto acknowledged = Clock::now();

		ASSERT_TRUE(eventually(
			[&] { return targets.running(job) == 0 && Clock::now() > until; }));
		auto took = targets.last_end(job) - acknowledged;
		EXPECT_LE(took, BOUND) << job;
		printf("%s: %zu starts, last end %lld ms after the cancelling\n", job.c_str(),
		       targets.started(job),
		       static_cast<long long>(
			       std::chrono::duration_cast<std::chrono::milliseconds>(took)
				       .count()));
	}

	/* Targets keep their agent, so a first job tells who sends starts. */
	void agent_find(const std::string &job)
	{
		agent = 0;
		ASSERT_TRUE(fill(job));
		ASSERT_NO_FATAL_FAILURE(cancel(job));
		for (int number = 1; number <= STORES; number++)
			if (number != leader() && has_starts(number, job))
				agent = number;
		ASSERT_NE(agent, 0) << "no follower has sent a start";
	}

	/* The cancelling of a job that was never submitted is committed, and answered with 410. */
	static bool commits_fast()
	{
		constexpr auto fast = std::chrono::milliseconds(100);
		auto begin = Clock::now();

		return call("DELETE", "00000000000000d1").status == 410 &&
		       Clock::now() < begin + fast;
	}

	void suspend()
	{
		targets.suspended = agent;
		suspended = Clock::now();
		ASSERT_TRUE(daemons[agent - 1].suspend());
	}

	void resume()
	{
		daemons[agent - 1].signal(SIGCONT);
		targets.suspended = 0;
	}

	void cancel_beside_suspension(const std::string &job, bool before)
	{
		if (before) {
			ASSERT_TRUE(eventually(commits_fast));
			ASSERT_NO_FATAL_FAILURE(suspend());
		}
		ASSERT_TRUE(submit(job, MOST_OF_A_TARGET));
		ASSERT_TRUE(eventually([&] { return targets.started(job) > 0; }));
		if (!before) {
			ASSERT_NO_FATAL_FAILURE(suspend());
		}
		ASSERT_NO_FATAL_FAILURE(cancel(job, suspended + SUSPENSION));
	}

	Targets targets;
	int agent = 0;
	Runner::Time suspended;
};

INSTANTIATE_TEST_SUITE_P(Order, JobsWithASuspendedAgent, testing::Bool());

/* Repeated if a commit took so long that the leader had given up the agent before the starts. */
TEST_P(JobsWithASuspendedAgent, EndInTimeWhenCancelled)
{
	bool had_starts = false;

	ASSERT_NO_FATAL_FAILURE(begin());
	for (char play = '1'; play <= '5' && !had_starts; play++) {
		const std::string first = std::string("00000000000000a") + play;
		const std::string job = std::string("00000000000000b") + play;
		const std::string next = std::string("00000000000000c") + play;

		ASSERT_NO_FATAL_FAILURE(agent_find(first));
		ASSERT_NO_FATAL_FAILURE(cancel_beside_suspension(job, GetParam()));
		size_t starts = targets.started(job);
		had_starts = has_starts(agent, job);

		/* What was left for it precedes its return as an agent, and the new work. */
		EXPECT_FALSE(is_usable(agent));
		resume();
		ASSERT_TRUE(eventually([&] { return is_usable(agent); }));
		ASSERT_TRUE(fill(next));
		EXPECT_EQ(targets.started(job), starts);
		EXPECT_EQ(targets.running(job), 0u);
		ASSERT_NO_FATAL_FAILURE(cancel(next));
	}
	EXPECT_TRUE(had_starts) << "the suspended replica was given no start";
}
