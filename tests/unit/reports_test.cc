extern "C" {
#include <libwlcore/agent/reports.h>
}

#include "../support/events.h"

#include <vector>

#include <gtest/gtest.h>

/* Reports of targets at the replica "s2", whose leader is "s1". */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t START = 100000 * MS;
constexpr uint64_t GROUP = 9;
constexpr uint64_t TERM = 5;
constexpr uint64_t INCARNATION = 3;

class Reports : public testing::Test
{
      protected:
	Reports()
	{
		wl_raft_options_t raft_options = {};
		wl_reports_options_t options = {};
		wl_raft_saved_t saved = {};
		wl_err_t err = {};

		saved.members.group = GROUP;
		saved.term = TERM;
		for (uint64_t id : {1, 2, 3}) {
			auto *member = static_cast<wl_raft_member_t *>(
				wl_list_add(&wl_raft_member_schema, &saved.members.members));

			member->id = id;
			member->voter = true;
			wl_buf_set(&member->name, str("s" + std::to_string(id)));
		}
		raft_options.id = 2;
		raft_options.name = WL_STR("s2");
		raft_options.election_ms = 1000;
		raft = wl_raft_new(&raft_options, &saved, now, &err);
		EXPECT_NE(raft, nullptr) << err.text;
		wl_jobs_init(&jobs, 1000);
		wl_metrics_init(&metrics);
		options.jobs = &jobs;
		options.raft = raft;
		options.metrics = &metrics;
		reports = wl_reports_new(&options);
		commit(report("i-0", 1));
		commit(report("i-1", 1));
	}

	~Reports() override
	{
		wl_reports_free(reports);
		wl_jobs_clear(&jobs);
		wl_metrics_free(&metrics);
		wl_raft_free(raft);
	}

	static wl_runner_report_t report(const std::string &id, uint64_t sequence)
	{
		wl_runner_report_t made = {};

		wl_buf_set(&made.id, str(id));
		wl_buf_set(&made.service, WL_STR("sort"));
		wl_buf_set(&made.address, WL_STR("10.0.0.1:80"));
		made.incarnation = INCARNATION;
		made.sequence = sequence;
		made.clock_ms = sequence * 1000;
		return made;
	}

	/* Commits a report, moved from. */
	void commit(wl_runner_report_t made)
	{
		wl_cmd_t cmd = {};
		wl_result_t result = {};

		cmd.kind = WL_CMD_RUNNER_PUT;
		cmd.u.runner_put = made;
		wl_jobs_apply(&jobs, &cmd, 1, &result);
		wl_result_free(&result);
		wl_cmd_free(&cmd);
	}

	wl_report_route_t route(const wl_runner_report_t *made)
	{
		return wl_reports_route(reports, now, made);
	}

	bool forwarded(wl_runner_report_t made)
	{
		bool answer = route(&made) == WL_REPORT_FORWARD;

		wl_record_free(&wl_runner_report_schema, &made);
		return answer;
	}

	bool acknowledged(wl_runner_report_t made)
	{
		bool answer = route(&made) == WL_REPORT_KNOWN;

		wl_record_free(&wl_runner_report_schema, &made);
		return answer;
	}

	/* The leader's heartbeat. */
	void heartbeat()
	{
		wl_raft_msg_t msg = {};
		wl_raft_event_t event = {};
		wl_raft_out_t out;

		msg.kind = WL_RAFT_APPEND;
		msg.group = GROUP;
		msg.from = 1;
		msg.to = 2;
		msg.term = TERM;
		event.kind = WL_RAFT_EV_MSG;
		event.msg = &msg;
		event.name = WL_STR("s1");
		wl_raft_out_init(&out);
		wl_raft_step(raft, now, &event, &out);
		wl_raft_out_clear(&out);
	}

	/* The leader sends a heartbeat and answers a report. */
	void leader_answers()
	{
		heartbeat();
		wl_reports_leader_answered(reports, now);
	}

	/* "LEADER ID:INCARNATION:SEQUENCE:CLOCK ..." of each message. */
	std::vector<std::string> sent_messages()
	{
		std::vector<std::string> messages;
		wl_out_t out = {};

		wl_reports_tick(reports, now, &out);
		for (size_t i = 0; i < out.count; i++) {
			const wl_msg_t &msg = out.actions[i].msg;
			const auto *rows =
				static_cast<const wl_heard_row_t *>(msg.u.keepalives.rows.items);
			std::string line = text(out.actions[i].peer);

			EXPECT_EQ(msg.kind, static_cast<uint64_t>(WL_MSG_KEEPALIVES));
			for (size_t j = 0; j < msg.u.keepalives.rows.count; j++)
				line += " " + text(rows[j].runner) + ":" +
					std::to_string(rows[j].incarnation) + ":" +
					std::to_string(rows[j].sequence) + ":" +
					std::to_string(rows[j].clock_ms);
			messages.push_back(line);
		}
		wl_out_free(&out);
		return messages;
	}

	uint64_t now = START;
	wl_raft_t *raft = nullptr;
	wl_jobs_t jobs = {};
	wl_metrics_t metrics = {};
	wl_reports_t *reports = nullptr;
};
} // namespace

TEST_F(Reports, WithoutChangesAreAnsweredAndForwardedInOneMessage)
{
	leader_answers();
	EXPECT_TRUE(acknowledged(report("i-0", 2)));
	EXPECT_TRUE(acknowledged(report("i-1", 7)));
	EXPECT_TRUE(sent_messages().empty());
	now += 100 * MS;
	EXPECT_EQ(sent_messages(), (std::vector<std::string>{"s1 i-0:3:2:2000 i-1:3:7:7000"}));
	now += 100 * MS;
	EXPECT_TRUE(sent_messages().empty());
	EXPECT_EQ(wl_metrics_get(&metrics, "wisterialead_agent_reports_total", ""), 2u);
}

TEST_F(Reports, WithChangesGoToTheLeader)
{
	wl_runner_report_t drains = report("i-0", 2);
	wl_runner_report_t leaves = report("i-0", 2);
	wl_runner_report_t restarted = report("i-0", 1);
	wl_runner_report_t earlier = report("i-0", 9);
	wl_runner_report_t moved = report("i-0", 2);
	wl_runner_report_t larger = report("i-0", 2);

	drains.draining = true;
	leaves.exiting = true;
	restarted.incarnation = INCARNATION + 1;
	earlier.incarnation = INCARNATION - 1;
	wl_buf_set(&moved.address, WL_STR("10.0.0.2:80"));
	larger.cpu_millis = 1;
	leader_answers();
	EXPECT_TRUE(forwarded(report("i-9", 1)));
	EXPECT_TRUE(forwarded(drains));
	EXPECT_TRUE(forwarded(leaves));
	EXPECT_TRUE(forwarded(restarted));
	EXPECT_TRUE(forwarded(earlier));
	EXPECT_TRUE(forwarded(moved));
	EXPECT_TRUE(forwarded(larger));
	now += 100 * MS;
	EXPECT_TRUE(sent_messages().empty());
}

/* The leader may have committed since then that the target no longer drains. */
TEST_F(Reports, OfADrainingTargetGoToTheLeaderEvenIfUnchanged)
{
	wl_runner_report_t drains = report("i-0", 2);
	wl_runner_report_t again = report("i-0", 3);

	drains.draining = true;
	again.draining = true;
	commit(drains);
	leader_answers();
	EXPECT_FALSE(acknowledged(again));
	EXPECT_FALSE(acknowledged(report("i-0", 4)));
}

TEST_F(Reports, OfATargetThatLeftGoToTheLeader)
{
	wl_runner_report_t leaves = report("i-0", 2);

	leaves.exiting = true;
	commit(leaves);
	leader_answers();
	EXPECT_FALSE(acknowledged(report("i-0", 3)));
}

TEST_F(Reports, OfAnUnconfiguredServiceGoToTheLeader)
{
	jobs.configured = true;
	leader_answers();
	EXPECT_FALSE(acknowledged(report("i-0", 2)));
}

TEST_F(Reports, AreNotAnsweredWithoutALeader)
{
	wl_reports_leader_answered(reports, now);
	EXPECT_FALSE(acknowledged(report("i-0", 2)));
	heartbeat();
	EXPECT_TRUE(acknowledged(report("i-0", 3)));
	now += 1000 * MS;
	wl_reports_leader_answered(reports, now);
	EXPECT_FALSE(acknowledged(report("i-0", 4)));
}

/* The leader's messages may still arrive while those from here to it are lost. */
TEST_F(Reports, AreNotAnsweredWhenTheLeaderStoppedAnswering)
{
	heartbeat();
	EXPECT_FALSE(acknowledged(report("i-0", 2)));
	wl_reports_leader_answered(reports, now);
	EXPECT_TRUE(acknowledged(report("i-0", 3)));
	now += 1000 * MS;
	heartbeat();
	EXPECT_FALSE(acknowledged(report("i-0", 4)));
	wl_reports_leader_answered(reports, now - 1);
	EXPECT_TRUE(acknowledged(report("i-0", 5)));
}

TEST_F(Reports, AreDroppedWhenTheLeaderIsLost)
{
	leader_answers();
	EXPECT_TRUE(acknowledged(report("i-0", 2)));
	now += 1000 * MS;
	EXPECT_TRUE(sent_messages().empty());
	leader_answers();
	EXPECT_TRUE(sent_messages().empty());
}

/* Regression: a leader that was behind got the reports of all targets, and fell further behind. */
TEST_F(Reports, WithoutChangesWaitForTheAnswerToOneThatWasForwarded)
{
	wl_runner_report_t drains = report("i-1", 2);

	drains.draining = true;
	heartbeat();
	EXPECT_TRUE(forwarded(report("i-0", 2)));
	for (int i = 0; i < 100; i++) {
		wl_runner_report_t another = report("i-1", 2);

		EXPECT_EQ(route(&another), WL_REPORT_WAIT);
		wl_record_free(&wl_runner_report_schema, &another);
	}
	EXPECT_TRUE(forwarded(drains)) << "has a change";
	wl_reports_leader_answered(reports, now);
	EXPECT_TRUE(acknowledged(report("i-1", 2)));
}

/* Guards against replicas that ask a leader no more after one report was lost on its way. */
TEST_F(Reports, OneIsForwardedAgainAfterSomeTime)
{
	heartbeat();
	EXPECT_TRUE(forwarded(report("i-0", 2)));
	EXPECT_FALSE(forwarded(report("i-0", 2)));
	now += 100 * MS;
	EXPECT_TRUE(forwarded(report("i-0", 2)));
}
