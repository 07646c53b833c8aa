#ifndef TESTS_CRASH_TARGETS_H
#define TESTS_CRASH_TARGETS_H

#include "sched_rig.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

/* Targets on a scheduler rig that can be lost and started again. */
class CrashTargets : public testing::Test
{
      protected:
	static constexpr uint64_t LEASES_OVER_MS = 7000; /* longer than any lease */
	/* after which a start without an answer, or of another leader, is not carried out any more
	 */
	static constexpr uint64_t START_OVER_MS = 5100;

	struct Target {
		uint64_t life = 0;
		bool down = false;
		std::vector<SchedOrder> runs;
	};

	CrashTargets()
	{
		rig.first_renewals_answered = false;
		rig.configure("q");
	}

	void target(const std::string &id, const std::string &rack = "r1")
	{
		targets[id].life++;
		targets[id].down = false;
		racks[id] = rack;
		rig.address = id + ":80";
		rig.runner(id, 32000, targets[id].life, rack);
	}

	void job(const std::string &id, uint64_t count = 1)
	{
		rig.job("q", id, {count});
		rig.submit();
	}

	/* Targets that are up carry out all orders; of others there is no answer. */
	void carry_out(const SchedOrder &order)
	{
		Target &at = targets[order.runner];

		if (at.down) {
			rig.answer(order, WL_ORDER_NO_ANSWER);
			return;
		}
		if ((order.kind == WL_ORDER_START && unanswered.count(order.task) > 0) ||
		    (order.kind == WL_ORDER_RENEW && quiet.count(order.runner) > 0)) {
			left.push_back(order);
			return;
		}
		if (order.kind == WL_ORDER_START) {
			at.runs.push_back(order);
			started.push_back(order);
			started_ns.push_back(rig.now);
		}
		if (order.kind != WL_ORDER_RENEW) {
			rig.answer(order, WL_ORDER_DONE);
			return;
		}
		std::vector<wl_run_view_t> views;
		for (const auto &run : at.runs)
			views.push_back(SchedRig::view(run));
		rig.answer_hold(order, views, {}, at.life);
	}

	void pass(uint64_t ms)
	{
		for (uint64_t end = rig.now + ms * 1000000; rig.now < end;) {
			rig.advance(10);
			rig.commit();
			for (auto kind : {WL_ORDER_START, WL_ORDER_STOP, WL_ORDER_RENEW})
				for (const auto &order : rig.take_orders(kind))
					carry_out(order);
			for (const auto &one : targets)
				if (!one.second.down && quiet.count(one.first) == 0)
					rig.report_forwarded("s1", one.first, one.second.life);
		}
	}

	/* The connections of a target break. */
	void left_answer(const std::string &id)
	{
		std::vector<SchedOrder> open;

		open.swap(left);
		for (const auto &order : open)
			if (order.runner == id)
				rig.answer(order, WL_ORDER_NO_ANSWER);
			else
				left.push_back(order);
	}

	void lose(const std::vector<std::string> &ids, uint64_t apart_ms = 0)
	{
		for (const auto &id : ids) {
			targets[id].down = true;
			targets[id].runs.clear();
			left_answer(id);
			pass(apart_ms);
		}
		pass(100);
	}
	void crash(const std::string &id)
	{
		lose({id});
	}

	/* They start again one after the other. */
	void start_again(const std::vector<std::string> &ids, uint64_t after_ms = 3000)
	{
		pass(after_ms);
		for (const auto &id : ids) {
			target(id, racks[id]);
			pass(300);
		}
	}

	/* Two racks of four targets, with a job on each that is nowhere else. */
	void two_racks()
	{
		for (const char *id : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"})
			target(id, std::string("r") + id[0]);
		for (int i = 0; i < 8; i++)
			job("own" + std::to_string(i));
		pass(100);
		for (const auto &one : targets)
			EXPECT_EQ(one.second.runs.size(), 1u);
	}

	/* A task of the name crashes each target as soon as it has started. */
	void back_after_crash()
	{
		for (auto &one : targets) {
			bool is_guilty = std::any_of(
				one.second.runs.begin(), one.second.runs.end(),
				[&](const SchedOrder &run) { return guilty.count(run.task) > 0; });

			if (!is_guilty)
				continue;
			crashes++;
			crash(one.first);
			target(one.first);
		}
	}

	size_t lines(const std::string &text) const
	{
		return std::count_if(rig.log.begin(), rig.log.end(), [&](const std::string &line) {
			return line.find(text) != std::string::npos;
		});
	}

	/* Runs that ended in a way, by the log. */
	size_t ends(const std::string &how) const
	{
		return std::count_if(rig.log.begin(), rig.log.end(), [&](const std::string &line) {
			return (line.find("event=run-end ") != std::string::npos ||
				line.find("event=run-given-up ") != std::string::npos) &&
			       line.find("how=" + how) != std::string::npos;
		});
	}

	SchedRig rig;
	std::map<std::string, Target> targets;
	std::map<std::string, std::string> racks;
	std::vector<SchedOrder> started;
	std::vector<uint64_t> started_ns; /* when */
	std::set<std::string> unanswered; /* tasks whose starts get no answer and have no effect */
	std::set<std::string> quiet; /* targets that are up, report nothing and answer no renewal */
	std::vector<SchedOrder> left; /* these orders, until their targets are lost */
	std::set<std::string> guilty; /* tasks, as JOB.OCCURRENCE.STEP.INDEX */
	size_t crashes = 0;
};

#endif
