extern "C" {
#include <libwlcore/node/node.h>
#include <platform/platform.h>
}

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

/* Replies of a daemon on the metrics listener, with and without a dialect, and its timings. */

namespace
{
constexpr uint64_t NOW = 1000000000;
constexpr uint64_t CALL = 3;

std::string chart(const char *name)
{
	std::ifstream in(std::string(PROJECT_DIR "/charts/") + name + ".json");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

class MetricsListener : public testing::TestWithParam<const wl_dialect_t *>
{
      protected:
	MetricsListener()
	{
		wl_node_options_t options = {};
		wl_err_t err = {};

		options.name = WL_STR("e1");
		options.availability_zone = WL_STR("a");
		options.peer_address = WL_STR("127.0.0.1:1");
		options.entry = true;
		options.dialect = GetParam();
		options.stores = &store;
		options.store_count = 1;
		options.boot = 1;
		options.task_chart = {task.data(), task.size()};
		options.target_chart = {target.data(), target.size()};
		node = wl_node_new(&options, NOW, &err);
		EXPECT_NE(node, nullptr) << err.text;
		gauge("wisterialead_daemon_syncs_total", 42); /* also connects to the store */
	}

	~MetricsListener() override
	{
		wl_node_free(node);
	}

	/* Passes a call to the node; returns the status of the reply, its only action. */
	uint64_t call(const std::string &method, const std::string &path)
	{
		wl_event_t event;
		wl_out_t out = {};
		uint64_t status = 0;

		wl_event_init(&event, WL_EVENT_CALL);
		event.call.id = CALL;
		event.call.listener = WL_LISTENER_METRICS;
		wl_buf_set(&event.call.method, {method.data(), method.size()});
		wl_buf_set(&event.call.path, {path.data(), path.size()});
		wl_headers_add(&event.call.headers, WL_STR("Host"), WL_STR("queue.example"));
		wl_node_step(node, NOW, &event, &out);
		EXPECT_EQ(out.count, 1u) << path;
		for (size_t i = 0; i < out.count; i++) {
			EXPECT_EQ(out.actions[i].kind, WL_ACTION_REPLY) << path;
			EXPECT_EQ(out.actions[i].reply.call, CALL);
			status = out.actions[i].reply.status;
			body = out.actions[i].reply.body.at ? out.actions[i].reply.body.at : "";
		}
		wl_out_free(&out);
		wl_event_free(&event);
		return status;
	}

	void gauge(const char *name, uint64_t value)
	{
		wl_gauge_t row = {name, "", value};
		wl_event_t event;
		wl_out_t out = {};

		wl_event_init(&event, WL_EVENT_GAUGES);
		event.gauges = &row;
		event.gauge_count = 1;
		wl_node_step(node, NOW, &event, &out);
		wl_out_free(&out);
		wl_event_free(&event);
	}

	std::string task = chart("task");
	std::string target = chart("target");
	wl_node_peer_t store = {WL_STR("s1"), WL_STR("127.0.0.1:2")};
	wl_node_t *node = nullptr;
	std::string body;
};

TEST_P(MetricsListener, ServesTheMetrics)
{
	EXPECT_EQ(call("GET", "/metrics"), 200u);
	EXPECT_NE(body.find("wisterialead_daemon_syncs_total{} 42\n"), std::string::npos) << body;
}

TEST_P(MetricsListener, AnswersOtherCallsWithNotFound)
{
	const std::pair<const char *, const char *> calls[] = {
		{"POST", "/metrics"},	       {"GET", "/"},
		{"GET", "/healthz"},	       {"GET", "/readyz"},
		{"GET", "/v1/status"},	       {"GET", "/v1/config/plans"},
		{"PUT", "/v1/config/plans"},   {"POST", "/v1/drain"},
		{"POST", "/v1/members"},       {"POST", "/v1/targets/announce"},
		{"POST", "/v1/tasks"},	       {"GET", "/s/tube-sort/x"},
		{"GET", "/-/ready"},	       {"GET", "/-/config/read"},
		{"POST", "/-/config/replace"}, {"POST", "/-/instances/i-1/heartbeat"},
		{"POST", "/queue/job"},
	};

	for (const auto &one : calls)
		EXPECT_EQ(call(one.first, one.second), 404u) << one.first << " " << one.second;
}

INSTANTIATE_TEST_SUITE_P(Dialects, MetricsListener, testing::Values(nullptr, &wl_platform_dialect));

/* The only replica of a group; the test simulates the disk and the daemon's event ring. */
class MetricsReplica : public testing::Test
{
      protected:
	MetricsReplica()
	{
		wl_node_options_t options = {};
		wl_err_t err = {};

		options.name = WL_STR("s1");
		options.availability_zone = WL_STR("a");
		options.peer_address = WL_STR("127.0.0.1:2");
		options.store = true;
		options.dialect = &wl_platform_dialect;
		options.stores = &store;
		options.store_count = 1;
		options.boot = 1;
		options.store_id = 7;
		options.saved = &saved;
		options.task_chart = {task.data(), task.size()};
		options.target_chart = {target.data(), target.size()};
		node = wl_node_new(&options, now, &err);
		EXPECT_NE(node, nullptr) << err.text;
	}

	~MetricsReplica() override
	{
		wl_node_free(node);
	}

	void step(wl_event_t *event)
	{
		wl_out_t out = {};

		wl_node_step(node, now, event, &out);
		for (size_t i = 0; i < out.count; i++) {
			const wl_action_t &action = out.actions[i];

			if (action.kind == WL_ACTION_PERSIST) {
				ticket = action.persist.ticket;
				synced_ns = now + disk_ns;
			}
			if (action.kind == WL_ACTION_REPLY)
				body = action.reply.body.at ? action.reply.body.at : "";
		}
		wl_out_free(&out);
		wl_event_free(event);
	}

	void call(const char *method, const char *path, const char *text)
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_CALL);
		event.call.id = CALL;
		event.call.listener = WL_LISTENER_CONTROL;
		event.made_ns = now - ring_ns;
		wl_buf_set(&event.call.method, wl_str_from(method));
		wl_buf_set(&event.call.path, wl_str_from(path));
		wl_buf_set(&event.call.body, wl_str_from(text));
		step(&event);
	}

	/*
	 * Ticks every 10 ms.  Each event reaches the node ring_ns after it was made, and a
	 * write is synced disk_ns after it began.
	 */
	void pass(uint64_t ms)
	{
		for (uint64_t end = now + ms * MS; now < end;) {
			wl_event_t event;

			now += 10 * MS;
			if (ticket && now >= synced_ns + ring_ns) {
				wl_event_init(&event, WL_EVENT_PERSISTED);
				event.ticket = ticket;
				event.made_ns = synced_ns;
				ticket = 0;
				step(&event);
			}
			wl_event_init(&event, WL_EVENT_TICK);
			event.made_ns = now - ring_ns;
			step(&event);
		}
	}

	/* Returns the value of a metric; negative if it does not exist. */
	double metric(const std::string &line)
	{
		call("GET", "/metrics", "");
		size_t at = body.find("\n" + line + " ");

		return at == std::string::npos ? -1 : std::stod(body.substr(at + line.size() + 2));
	}

	static constexpr uint64_t MS = 1000000;
	std::string task = chart("task");
	std::string target = chart("target");
	wl_node_peer_t store = {WL_STR("s1"), WL_STR("127.0.0.1:2")};
	wl_raft_saved_t saved = {};
	wl_node_t *node = nullptr;
	uint64_t now = 1000 * MS;
	uint64_t ring_ns = 0;
	uint64_t disk_ns = 0;
	uint64_t ticket = 0;
	uint64_t synced_ns = 0;
	std::string body;
};

TEST_F(MetricsReplica, DurationOfCommitsAndWritesIsMeasured)
{
	pass(3000);
	double commits = metric("wisterialead_commit_seconds_count{}");
	double commit_s = metric("wisterialead_commit_seconds_sum{}");
	double writes = metric("wisterialead_persist_seconds_count{}");
	double write_s = metric("wisterialead_persist_seconds_sum{}");
	ASSERT_GE(writes, 1);
	disk_ns = 70 * MS;
	call("POST", "/-/config/replace", R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
	pass(200);
	EXPECT_EQ(metric("wisterialead_persist_seconds_count{}"), writes + 1);
	EXPECT_NEAR(metric("wisterialead_persist_seconds_sum{}") - write_s, 0.07, 1e-6);
	EXPECT_EQ(metric("wisterialead_commit_seconds_count{}"), std::max(commits, 0.0) + 1);
	EXPECT_NEAR(metric("wisterialead_commit_seconds_sum{}") - std::max(commit_s, 0.0), 0.07,
		    1e-6);
}

/*
 * If the event of a synced write waits in the ring, the wait counts as delay of the
 * ring and not as duration of the write.
 */
TEST_F(MetricsReplica, QueueingDelayOfEventsIsMeasuredByKind)
{
	pass(3000);
	double ticks = metric("wisterialead_event_wait_seconds_sum{kind=\"tick\"}");
	double writes = metric("wisterialead_event_wait_seconds_sum{kind=\"persisted\"}");
	double write_s = metric("wisterialead_persist_seconds_sum{}");
	EXPECT_EQ(ticks, 0);
	ring_ns = 50 * MS;
	disk_ns = 10 * MS;
	call("POST", "/-/config/replace", R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
	pass(100);
	EXPECT_NEAR(metric("wisterialead_event_wait_seconds_sum{kind=\"tick\"}"), 0.5, 1e-6);
	EXPECT_NEAR(metric("wisterialead_event_wait_seconds_sum{kind=\"persisted\"}") - writes,
		    0.05, 1e-6);
	EXPECT_NEAR(metric("wisterialead_persist_seconds_sum{}") - write_s, 0.01, 1e-6);
	EXPECT_GE(metric("wisterialead_event_wait_seconds_sum{kind=\"call\"}"), 0.05);
}

/* An event without the time at which it was made adds no sample. */
TEST_F(MetricsReplica, EventWithoutATimestampIsNotMeasured)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_TICK);
	step(&event);
	EXPECT_EQ(metric("wisterialead_event_wait_seconds_count{kind=\"tick\"}"), -1);
}
} // namespace
