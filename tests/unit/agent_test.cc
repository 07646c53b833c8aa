extern "C" {
#include <libwlcore/agent/agent.h>
}

#include <string>
#include <vector>

#include <gtest/gtest.h>

/* The agent of a replica, with a dialect that writes the order's run as the body. */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t TERM = 5;
constexpr uint64_t CALLS_MAX = 8;

void order_write(const wl_order_t *order, wl_fetch_t *fetch)
{
	wl_buf_printf(&fetch->body, "%llu", static_cast<unsigned long long>(order->run));
}

/* The status is the outcome. A complete answer lists one run by its name. */
bool order_read(wl_order_kind_t, const wl_fetched_t *fetched, wl_order_end_t *end, wl_err_t *)
{
	*end = {};
	end->outcome = fetched->status;
	if (!fetched->complete)
		return true;
	auto *view = static_cast<wl_run_view_t *>(wl_list_add(&wl_run_view_schema, &end->runs));
	wl_buf_set(&view->task, WL_STR("j.0.0.1"));
	wl_buf_set(&view->ref.job, WL_STR("j"));
	return true;
}

const wl_dialect_t dialect = {"test", nullptr, nullptr, order_write, order_read};

struct Results {
	std::string leader;
	uint64_t clock_ms;
	std::vector<std::pair<uint64_t, uint64_t>> ends; /* order, outcome */
};

class Agent : public testing::Test
{
      protected:
	Agent()
	{
		const wl_str_t name = WL_STR("s1");
		wl_raft_options_t raft_options = {};
		wl_raft_saved_t saved = {};
		wl_agent_options_t options = {};
		wl_err_t err = {};

		saved.term = TERM;
		saved.members.group = 1;
		raft_options.id = 1;
		raft_options.name = name;
		raft_options.peers = &name;
		raft_options.peer_count = 1;
		raft = wl_raft_new(&raft_options, &saved, 0, &err);
		EXPECT_NE(raft, nullptr) << err.text;
		wl_metrics_init(&metrics);
		options.dialect = &dialect;
		options.raft = raft;
		options.metrics = &metrics;
		options.calls_max = CALLS_MAX;
		agent = wl_agent_new(&options);
	}

	~Agent() override
	{
		wl_agent_free(agent);
		wl_raft_free(raft);
		wl_metrics_free(&metrics);
	}

	void step(wl_event_t *event)
	{
		wl_out_t out = {};

		wl_agent_step(agent, now, event, &out);
		for (size_t i = 0; i < out.count; i++) {
			const wl_action_t &action = out.actions[i];

			if (action.kind == WL_ACTION_FETCH)
				fetches.emplace_back(action.fetch.id, action.fetch.body.at);
			if (action.kind == WL_ACTION_FETCH)
				fetch_send_by_ns = action.fetch.send_by_ns;
			if (action.kind == WL_ACTION_SEND)
				collect(action);
		}
		wl_out_free(&out);
		wl_event_free(event);
	}

	void collect(const wl_action_t &action)
	{
		const wl_msg_ordered_t &msg = action.msg.u.ordered;
		const auto *ends = static_cast<const wl_order_end_t *>(msg.ends.items);
		Results one = {std::string(action.peer.at, action.peer.len), msg.clock_ms, {}};

		ASSERT_EQ(action.msg.kind, static_cast<uint64_t>(WL_MSG_ORDERED));
		for (size_t i = 0; i < msg.ends.count; i++) {
			const auto *runs = static_cast<const wl_run_view_t *>(ends[i].runs.items);

			one.ends.emplace_back(ends[i].id, ends[i].outcome);
			for (size_t j = 0; j < ends[i].runs.count; j++) {
				EXPECT_EQ(runs[j].task.len, 0u);
				EXPECT_EQ(std::string(runs[j].ref.job.at), "j");
			}
		}
		sent.push_back(one);
	}

	void orders(const char *leader, uint64_t term, const std::vector<uint64_t> &ids)
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_PEER);
		wl_buf_set(&event.peer, wl_str_from(leader));
		wl_msg_init(&event.msg, WL_MSG_ORDERS);
		event.msg.u.orders.term = term;
		for (uint64_t id : ids) {
			auto *order = static_cast<wl_order_t *>(
				wl_list_add(&wl_order_schema, &event.msg.u.orders.orders));

			order->id = id;
			order->run = id * 10;
			order->send_by_ms = send_by_ms;
		}
		step(&event);
	}

	void fetched(size_t i, wl_order_outcome_t outcome)
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_FETCHED);
		event.fetched.id = fetches[i].first;
		event.fetched.status = outcome;
		event.fetched.complete = outcome == WL_ORDER_DONE;
		step(&event);
	}

	void tick()
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_TICK);
		step(&event);
	}

	wl_raft_t *raft = nullptr;
	uint64_t now = 1000 * MS;
	uint64_t send_by_ms = 0; /* of the next orders */
	wl_metrics_t metrics;
	wl_agent_t *agent = nullptr;
	std::vector<std::pair<uint64_t, std::string>> fetches; /* id, body */
	std::vector<Results> sent;
	uint64_t fetch_send_by_ns = 0; /* of the newest one */
};
} // namespace

TEST_F(Agent, OrdersBecomeCallsAndResultsAreSentInOneMessage)
{
	orders("s2", TERM, {7, 8});
	ASSERT_EQ(fetches.size(), 2u);
	EXPECT_EQ(fetches[0].second, "70");
	EXPECT_EQ(fetches[1].second, "80");
	fetched(1, WL_ORDER_DONE);
	fetched(0, WL_ORDER_NO_CAPACITY);
	EXPECT_TRUE(sent.empty());
	tick();
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent[0].leader, "s2");
	EXPECT_EQ(sent[0].ends, (std::vector<std::pair<uint64_t, uint64_t>>{
					{8, WL_ORDER_DONE}, {7, WL_ORDER_NO_CAPACITY}}));
	tick();
	EXPECT_EQ(sent.size(), 1u);
}

TEST_F(Agent, OrdersOfAnEarlierTermAreNotSent)
{
	orders("s2", TERM - 1, {7});
	EXPECT_TRUE(fetches.empty());
	tick();
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent[0].ends, (std::vector<std::pair<uint64_t, uint64_t>>{{7, WL_ORDER_HELD}}));
}

TEST_F(Agent, OrdersBeyondTheLimitAreNotSent)
{
	std::vector<uint64_t> ids;

	for (uint64_t id = 0; id < CALLS_MAX + 2; id++)
		ids.push_back(id);
	orders("s2", TERM, ids);
	EXPECT_EQ(fetches.size(), CALLS_MAX);
	tick();
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent[0].ends.size(), 2u);
	EXPECT_EQ(wl_metrics_get(&metrics, "wisterialead_agent_refused_total", ""), 2u);
	fetched(0, WL_ORDER_DONE);
	orders("s2", TERM, {100});
	EXPECT_EQ(fetches.size(), CALLS_MAX + 1);
}

/* After a change of leaders, the results of the earlier leader's orders still go to it. */
TEST_F(Agent, ResultsGoToTheLeaderThatSentTheOrder)
{
	orders("s2", TERM, {7});
	orders("s3", TERM + 1, {1});
	fetched(0, WL_ORDER_DONE);
	fetched(1, WL_ORDER_DONE);
	tick();
	ASSERT_EQ(sent.size(), 2u);
	EXPECT_EQ(sent[0].leader, "s2");
	EXPECT_EQ(sent[1].leader, "s3");
}

TEST_F(Agent, ResultOfAnUnknownCallIsIgnored)
{
	fetches.emplace_back(99, "");
	fetched(0, WL_ORDER_DONE);
	tick();
	EXPECT_TRUE(sent.empty());
}

/* As after a pause of this process, during which the order was in its socket. */
TEST_F(Agent, OrderThatArrivesTooLateIsNotSent)
{
	send_by_ms = now / MS + 1000;
	now += 1001 * MS;
	orders("s2", TERM, {7});
	EXPECT_TRUE(fetches.empty());
	tick();
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent[0].ends, (std::vector<std::pair<uint64_t, uint64_t>>{{7, WL_ORDER_HELD}}));
}

TEST_F(Agent, OrderInTimeIsNotSentLaterThanItsTime)
{
	send_by_ms = now / MS + 1000;
	now += 1000 * MS;
	orders("s2", TERM, {7});
	EXPECT_EQ(fetches.size(), 1u);
	EXPECT_EQ(fetch_send_by_ns, send_by_ms * MS);
}

TEST_F(Agent, ClockIsToldInAnswersAndWhenAsked)
{
	orders("s2", TERM, {});
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent[0].leader, "s2");
	EXPECT_EQ(sent[0].clock_ms, 1000u);
	EXPECT_TRUE(sent[0].ends.empty());
	orders("s2", TERM, {7});
	fetched(0, WL_ORDER_DONE);
	now += 10 * MS;
	tick();
	ASSERT_EQ(sent.size(), 2u);
	EXPECT_EQ(sent[1].clock_ms, 1010u);
}
