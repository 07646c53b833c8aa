extern "C" {
#include <libwlcore/node/node.h>
#include <platform/platform.h>
}

#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

/* What a daemon answers on the listener for metrics, with and without a dialect. */

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
		gauge("wisterialead_daemon_syncs_total", 42); /* dials the store, too */
	}

	~MetricsListener() override
	{
		wl_node_free(node);
	}

	/* Gives a call to the node; the status of its answer, which must be its one action. */
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
		wl_event_t event;
		wl_out_t out = {};

		wl_event_init(&event, WL_EVENT_GAUGE);
		wl_buf_set(&event.peer, wl_str_from(name));
		event.index = value;
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

TEST_P(MetricsListener, GivesTheMetrics)
{
	EXPECT_EQ(call("GET", "/metrics"), 200u);
	EXPECT_NE(body.find("wisterialead_daemon_syncs_total{} 42\n"), std::string::npos) << body;
}

TEST_P(MetricsListener, KnowsNothingElse)
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
} // namespace
