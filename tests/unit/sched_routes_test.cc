#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/job/internal.h>
}

#include <random>

#include <gtest/gtest.h>

/* Jobs whose routes change between their acceptance and a later call. */

namespace
{
enum Way {
	LIVE,
	TAKEOVER,
	SNAPSHOT,
	WAYS
};

const SchedRoute JOBS = {"jobs", "tube.example", "/jobs/", "sort"};
const SchedRoute OTHER = {"other", "other.example", "/jobs/", "sort"};

struct Case {
	const char *what;
	std::vector<std::vector<SchedRoute>> after; /* configurations, one after the other */
	const char *service;			    /* whose target gets the task; empty: none */
	const char *expected;
};

const char *const KEPT = "get=queued submit=ok pending=1 elsewhere=not-found cancel=ok";
const char *const UNROUTED =
	"get=not-found submit=accepted pending=not-found elsewhere=gone cancel=gone";

const Case CASES[] = {
	{"the route is renamed", {{{"renamed", "tube.example", "/jobs/", "sort"}}}, "sort", KEPT},
	{"the name goes to another host and service",
	 {{{"jobs", "other.example", "/jobs/", "press"},
	   {"renamed", "tube.example", "/jobs/", "sort"}}},
	 "sort",
	 "get=queued submit=ok pending=1 elsewhere=gone cancel=ok"},
	{"names are exchanged",
	 {{{"jobs", "tube.example", "/x/", "press"}, {"other", "tube.example", "/jobs/", "sort"}}},
	 "sort",
	 KEPT},
	{"the service of the route changes",
	 {{{"jobs", "tube.example", "/jobs/", "press"}}},
	 "press",
	 KEPT},
	{"a longer prefix covers the job",
	 {{JOBS, {"longer", "tube.example", "/jobs/a", "press"}}},
	 "press",
	 "get=queued submit=ok pending=0 elsewhere=not-found cancel=ok"},
	{"a longer prefix covers other jobs",
	 {{JOBS, {"longer", "tube.example", "/jobs/b", "press"}}},
	 "sort",
	 KEPT},
	{"the prefix is shortened",
	 {{{"jobs", "tube.example", "/", "sort"}}},
	 "sort",
	 "get=queued submit=ok pending=gone elsewhere=not-found cancel=ok"},
	{"the route is removed", {{OTHER}}, "sort", UNROUTED},
	{"the route and its service are removed",
	 {{{"jobs", "other.example", "/jobs/", "press"}}},
	 "",
	 UNROUTED},
	{"the route is removed and comes back", {{OTHER}, {JOBS}}, "sort", KEPT},
	{"the route is removed and comes back under another name",
	 {{OTHER}, {{"back", "tube.example", "/jobs/", "sort"}, OTHER}},
	 "sort",
	 "get=queued submit=ok pending=1 elsewhere=gone cancel=ok"},
	{"the service changes, then the route is removed",
	 {{{"jobs", "tube.example", "/jobs/", "press"}},
	  {OTHER, {"press", "press.example", "/", "press"}}},
	 "press",
	 UNROUTED},
};

std::string outcome(const SchedResult &result)
{
	switch (result.code) {
	case WL_OK:
		return result.is_queue ? std::to_string(result.pending)
				       : wl_job_state_names[result.state];
	case WL_E_GONE:
		return "gone";
	case WL_E_NOT_FOUND:
		return result.verdict == WL_RAN ? "accepted" : "not-found";
	case WL_E_BAD_INPUT:
		return "bad-input";
	default:
		return "code " + std::to_string(result.code);
	}
}

struct World {
	World()
	{
		rig.agents({"s1"});
		rig.host = "tube.example";
		rig.routes({JOBS});
	}

	void target(const std::string &service)
	{
		rig.service = service;
		rig.address = "10.0.0." + std::to_string(services.size() + 1) + ":80";
		rig.runner(service);
		services.push_back(service);
	}

	std::string submit(const std::string &id, const std::string &host = "tube.example")
	{
		rig.host = host;
		rig.job("jobs", id, {1});
		rig.submit();
		rig.host = "tube.example";
		return rig.newest.code == WL_OK ? "ok" : outcome(rig.newest);
	}

	std::string cancel(const std::string &id, const std::string &host = "tube.example")
	{
		rig.host = host;
		rig.cancel("jobs", id);
		rig.host = "tube.example";
		return rig.newest.code == WL_OK ? "ok" : outcome(rig.newest);
	}

	std::string get(const std::string &path, const std::string &host = "tube.example")
	{
		std::string got;

		rig.host = host;
		got = outcome(rig.query(path));
		rig.host = "tube.example";
		return got;
	}

	/* The leader is replaced, perhaps by a replica that begins with a snapshot. */
	void pass(int way)
	{
		if (way == LIVE)
			return;
		rig.follow();
		if (way == SNAPSHOT)
			rig.reload();
		rig.lead(++term);
		rig.agents({"s1"});
	}

	/* Lets time pass until tasks are started; the targets report and have no runs. */
	std::vector<SchedOrder> starts()
	{
		for (int i = 0; i < 100; i++) {
			for (const auto &service : services)
				rig.report_forwarded("s1", service);
			rig.advance(100);
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
				rig.answer_hold(order, {}, {});
			rig.commit();
			auto found = rig.take_orders(WL_ORDER_START);

			if (!found.empty())
				return found;
		}
		return {};
	}

	SchedRig rig;
	std::vector<std::string> services; /* with a target */
	uint64_t term = 1;
};

class SchedRoutes : public ::testing::TestWithParam<int>, public World
{
};
} // namespace

/*
 * Guards against accepted jobs that nobody knows any more, or that run on targets of another
 * service, after a version has renamed, moved or removed their route.
 */
TEST_P(SchedRoutes, KeepTheJobsOfAnAddress)
{
	for (const auto &one : CASES) {
		SCOPED_TRACE(one.what);
		rig.routes({JOBS});
		std::string id = "a" + std::to_string(&one - CASES);

		ASSERT_EQ(submit(id), "ok");
		pass(GetParam());
		for (const auto &routes : one.after) {
			rig.routes(routes);
			pass(GetParam());
		}
		std::string got = "get=" + get("/jobs/" + id);

		got += " submit=" + submit(id);
		got += " pending=" + get("/jobs/");
		got += " elsewhere=" + get("/jobs/" + id, "other.example");
		EXPECT_EQ(cancel(id, "other.example"), get("/jobs/" + id, "other.example"));
		got += " cancel=" + cancel(id);
		EXPECT_EQ(got, one.expected);
		EXPECT_EQ(rig.job_state(id), "cancelled");
		rig.routes({JOBS});
		EXPECT_EQ(get("/jobs/" + id), "cancelled");
	}
}

/* Guards against starts on targets of a service to which no version sends the job's address. */
TEST_P(SchedRoutes, DecideWhichTargetsGetTheTasks)
{
	for (const auto &one : CASES) {
		SCOPED_TRACE(one.what);
		World world;

		world.rig.hold_commits = true;
		world.submit("a1");
		for (const auto &routes : one.after)
			world.rig.routes(routes);
		world.rig.hold_commits = false;
		world.rig.commit();
		world.target("sort");
		world.target("press");
		world.pass(GetParam());
		auto found = world.starts();

		EXPECT_EQ(found.empty() ? "" : found[0].runner, one.service);
		EXPECT_LE(found.size(), 1u);
	}
}

/* Guards against a job that is refused or unknown to its own caller because another host has it. */
TEST_P(SchedRoutes, SeparateTheJobsOfTwoHosts)
{
	rig.routes({JOBS, {"other", "other.example", "/jobs/", "press"}});
	EXPECT_EQ(submit("a1"), "ok");
	EXPECT_EQ(submit("a1", "other.example"), "bad-input");
	EXPECT_NE(rig.newest.text.find("another host or path"), std::string::npos)
		<< rig.newest.text;
	EXPECT_EQ(get("/jobs/a1", "other.example"), "gone");
	EXPECT_NE(rig.log.back().find("event=job-elsewhere"), std::string::npos) << rig.log.back();
	EXPECT_EQ(cancel("a1", "other.example"), "gone");
	EXPECT_EQ(get("/jobs/", "other.example"), "0");
	EXPECT_EQ(get("/jobs/a1"), "queued");
	EXPECT_EQ(get("/jobs/"), "1");
}

/* Guards against a cancelled job whose task works on because the route was renamed meanwhile. */
TEST_P(SchedRoutes, DoNotKeepACancelledJobAtWork)
{
	target("sort");
	ASSERT_EQ(submit("a1"), "ok");
	auto found = starts();

	ASSERT_EQ(found.size(), 1u);
	rig.answer(found[0], WL_ORDER_DONE);
	rig.hold_commits = true;
	rig.routes({{"renamed", "tube.example", "/jobs/", "sort"}});
	cancel("a1");
	rig.hold_commits = false;
	rig.commit();
	EXPECT_EQ(rig.job_state("a1"), "cancelled");
	pass(GetParam());
	for (int i = 0; i < 100 && rig.take_orders(WL_ORDER_STOP).empty(); i++) {
		ASSERT_LT(i, 99) << "no stop was sent";
		rig.advance(100);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(order, {SchedRig::view(found[0])}, {});
	}
}

/*
 * Guards against a submission that is refused as not run although an earlier copy of it is
 * committed: the route is removed between the two, before or after either is committed.
 */
TEST_P(SchedRoutes, DoNotRefuseACopyOfAnAcceptedSubmission)
{
	for (int order = 0; order < 8; order++) {
		bool first_commits = order & 1;
		bool removal_commits = order & 2;
		bool copy_commits = order & 4;
		std::string id = "a" + std::to_string(order);

		SCOPED_TRACE("order " + std::to_string(order));
		rig.hold_commits = false;
		rig.routes({JOBS});
		rig.hold_commits = true;
		submit(id);
		if (first_commits)
			rig.commit();
		rig.routes({OTHER});
		if (removal_commits)
			rig.commit();
		rig.newest = {};
		if (copy_commits) {
			submit(id);
			rig.commit();
		} else {
			rig.commit();
			pass(GetParam());
			submit(id);
		}
		EXPECT_NE(rig.job_state(id), "none");
		EXPECT_TRUE(rig.newest.code == WL_OK || rig.newest.verdict == WL_RAN)
			<< rig.newest.text;
		rig.hold_commits = false;
		rig.commit();
	}
}

/* Guards against a job that is committed and never taken up by the leader. */
TEST_P(SchedRoutes, MayChangeBeforeTheJobIsCommitted)
{
	target("sort");
	rig.hold_commits = true;
	submit("a1");
	rig.routes({{"renamed", "tube.example", "/jobs/", "sort"}});
	submit("a2");
	rig.hold_commits = false;
	rig.commit();
	pass(GetParam());
	EXPECT_EQ(get("/jobs/a1"), "queued");
	EXPECT_EQ(get("/jobs/a2"), "queued");
	EXPECT_EQ(starts().size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Ways, SchedRoutes, ::testing::Range(0, static_cast<int>(WAYS)));

/* The record of a job as versions before the address wrote it. */
static std::string without_address(const wl_job_record_t &record)
{
	wl_schema_t then = wl_job_record_schema;
	wl_buf_t packed = {};
	std::string bytes;

	then.count -= 2;
	wl_record_pack(&then, &record, &packed);
	bytes.assign(packed.at, packed.len);
	wl_buf_free(&packed);
	return bytes;
}

/* Guards against snapshots of earlier versions whose jobs are refused or never found again. */
TEST(SchedRoutesOlder, AJobOfAnEarlierVersionGetsTheAddressOfItsQueue)
{
	for (bool is_routed : {true, false}) {
		World world;
		wl_job_record_t record = {};
		wl_err_t err = {};
		wl_jobs_t *jobs = world.rig.jobs;

		ASSERT_EQ(world.submit("a1"), "ok");
		std::string bytes = without_address(world.rig.find("a1")->record);

		world.rig.follow();
		wl_jobs_clear(jobs);
		wl_jobs_init(jobs, 1000);
		world.rig.lead(2);
		world.rig.routes({is_routed ? JOBS : OTHER});
		ASSERT_TRUE(wl_record_unpack(&wl_job_record_schema, {bytes.data(), bytes.size()},
					     &record, &err))
			<< err.text;
		wl_list_add(&wl_job_task_row_schema, &record.tasks);
		ASSERT_NE(wl_jobs_restore(jobs, &record), nullptr);
		EXPECT_EQ(world.get("/jobs/a1"), is_routed ? "queued" : "not-found");
		world.rig.routes({JOBS});
		EXPECT_EQ(world.get("/jobs/a1"), "queued");
		world.rig.routes({{"renamed", "tube.example", "/jobs/", "sort"}});
		EXPECT_EQ(world.get("/jobs/a1"), "queued");
		world.rig.follow();
		world.rig.reload();
		world.rig.lead(3);
		EXPECT_EQ(world.cancel("a1"), "ok");
	}
}

static const wl_queue_t *route_linear(const wl_catalog_t *catalog, wl_str_t host, wl_str_t path)
{
	const auto *queues = static_cast<const wl_queue_t *>(catalog->queues.items);
	const wl_queue_t *best = nullptr;

	for (size_t i = 0; i < catalog->queues.count; i++)
		if (wl_str_equal(wl_buf_str(&queues[i].host), host) &&
		    wl_str_starts(path, wl_buf_str(&queues[i].prefix)) &&
		    (!best || queues[i].prefix.len > best->prefix.len))
			best = &queues[i];
	return best;
}

/* The search of the longest prefix, compared with a look at every queue. */
TEST(SchedRoutesSearch, FindsTheLongestPrefixOfTheHost)
{
	std::mt19937 random(37);
	auto word = [&](size_t longest) {
		std::string letters;

		for (size_t len = random() % (longest + 1); letters.size() < len;)
			letters += "ab/"[random() % 3];
		return letters;
	};

	for (int round = 0; round < 2000; round++) {
		std::set<std::pair<std::string, std::string>> taken;
		wl_catalog_t catalog = {};

		for (size_t count = random() % 12; taken.size() < count;)
			taken.emplace(word(1), word(4));
		for (const auto &one : taken) {
			auto *queue = static_cast<wl_queue_t *>(
				wl_list_add(&wl_queue_schema, &catalog.queues));

			wl_buf_set(&queue->host, {one.first.data(), one.first.size()});
			wl_buf_set(&queue->prefix, {one.second.data(), one.second.size()});
		}
		wl_catalog_sort(&catalog);
		for (int call = 0; call < 20; call++) {
			std::string host = word(1);
			std::string path = word(6);
			wl_str_t host_str = {host.data(), host.size()};
			wl_str_t path_str = {path.data(), path.size()};

			ASSERT_EQ(wl_catalog_route(&catalog, host_str, path_str),
				  route_linear(&catalog, host_str, path_str))
				<< round << ": " << host << " " << path;
		}
		wl_record_free(&wl_catalog_schema, &catalog);
	}
}
