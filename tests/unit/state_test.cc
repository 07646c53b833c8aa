#include <deque>
#include <vector>

#include <gtest/gtest.h>

#include "../support/state_rig.h"

extern "C" {
#include <libwlbase/rng.h>
}

static const uint64_t commands_of_run = 4000;

/* Returns one random command, with valid and stale arguments mixed. */
static wl_cmd_t random_command(wl_rng_t *rng, uint64_t index)
{
	auto pick = [rng](uint64_t bound) { return wl_rng_below(rng, bound); };
	auto some_task = [&] { return "t" + std::to_string(index - pick(60) % index); };
	auto target = "w" + std::to_string(pick(6));
	auto entry = "e" + std::to_string(pick(3));

	switch (pick(14)) {
	case 0:
		return list_put(WL_LIST_PLANS, pick(4),
				plans_json("p:" + std::to_string(1 + pick(9))));
	case 1:
		return list_put(WL_LIST_CUSTOMERS, pick(4),
				customers_json("norrlamp:p,c" + std::to_string(pick(3)) + ":p"));
	case 2:
		return session_open(entry, pick(2));
	case 3: {
		wl_cmd_t cmd = {};
		cmd.kind = WL_CMD_SESSION_END;
		cmd.u.session_end.session = pick(index);
		return cmd;
	}
	case 4:
		return target_own(target, index - pick(40) % index,
				  pick(2) * (index - pick(40) % index));
	case 5: {
		wl_cmd_t cmd = {};
		cmd.kind = WL_CMD_TARGET_FORGET;
		cmd.u.target_forget.epoch = pick(index);
		wl_buf_set(&cmd.u.target_forget.target, str(target));
		return cmd;
	}
	case 6:
	case 7:
		return task_add("norrlamp", pick(300));
	case 8:
		return task_cancel("norrlamp", some_task());
	case 9:
		return task_assign(some_task(), 1 + pick(2), target, pick(index), index % 3);
	case 10:
	case 11:
		return task_report(some_task(), 1 + pick(2), target, index,
				   static_cast<wl_report_kind_t>(pick(WL_REPORT_KINDS)));
	case 12:
		return key_begin("k" + std::to_string(pick(40)), index - pick(40) % index,
				 pick(50));
	default:
		return key_end("k" + std::to_string(pick(40)), pick(50),
			       static_cast<wl_verdict_t>(pick(3)), "body");
	}
}

/* Replaces arguments of a random command by present sessions and epochs, so that more succeed. */
static void use_present_values(const StateRig &rig, wl_cmd_t *cmd)
{
	const wl_state_session_t *session = TAILQ_FIRST(&rig.state->sessions);

	if (cmd->kind == WL_CMD_TARGET_OWN && session) {
		const wl_state_target_t *target =
			wl_state_target_find(rig.state, wl_buf_str(&cmd->u.target_own.target));

		cmd->u.target_own.session = session->id;
		cmd->u.target_own.from_epoch =
			target && !target->row.forgotten ? target->row.epoch : 0;
	}
	if (cmd->kind == WL_CMD_KEY_BEGIN && session)
		cmd->u.key_begin.session = session->id;
	if (cmd->kind != WL_CMD_TASK_ASSIGN)
		return;
	auto *assignment = static_cast<wl_assignment_t *>(cmd->u.task_assign.assignments.items);
	const wl_state_target_t *target =
		wl_state_target_find(rig.state, wl_buf_str(&assignment->target));
	if (target)
		assignment->epoch = target->row.epoch;
}

class RandomRun : public testing::TestWithParam<uint64_t>
{
};

TEST_P(RandomRun, RestoringSnapshotsChangesNothing)
{
	wl_state_options_t options = {};
	options.change_keep = 8;
	options.key_keep_ms = 2000;
	options.task_keep_ms = 3000;
	StateRig straight(options);
	StateRig restored(options);
	wl_rng_t rng;
	size_t placed = 0;

	wl_rng_init(&rng, GetParam(), 1);
	for (uint64_t i = 1; i <= commands_of_run; i++) {
		wl_cmd_t cmd = random_command(&rng, i);
		wl_cmd_t copy;

		use_present_values(straight, &cmd);
		wl_cmd_copy(&copy, &cmd);
		straight.clock_ms += wl_rng_below(&rng, 20);
		restored.clock_ms = straight.clock_ms;
		const wl_result_t &a = straight.apply(&cmd);
		const wl_result_t &b = restored.apply(&copy);
		ASSERT_EQ(a.code, b.code) << "command " << i;
		ASSERT_EQ(a.index, b.index) << "command " << i;
		ASSERT_EQ(a.key_state, b.key_state) << "command " << i;
		if (i % 97 == 0) {
			std::string bytes = restored.pack();

			restored.restore(bytes);
			ASSERT_EQ(restored.pack(), bytes) << "command " << i;
		}
		const wl_task_t *task;
		TAILQ_FOREACH (task, &straight.state->live, link)
			placed += task->target != nullptr;
	}
	EXPECT_EQ(straight.pack(), restored.pack());
	EXPECT_GT(placed, 100u) << "too few assignments for the test to be meaningful";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomRun, testing::Values(1, 2, 3, 4, 5, 6, 7, 8));

TEST(State, ResendAfterManyChangesAndASnapshotGetsTheFirstAnswer)
{
	StateRig rig;
	wl_cmd_t plans = list_put(WL_LIST_PLANS, 0, plans_json("p:1"));
	rig.apply(&plans);
	wl_cmd_t first = list_put(WL_LIST_CUSTOMERS, 0, customers_json("norrlamp:p"));
	wl_cmd_t resend;

	wl_cmd_copy(&resend, &first);
	uint64_t revision = rig.apply(&first).index;
	for (uint64_t base = 1; base <= 500; base++) {
		wl_cmd_t cmd = list_put(WL_LIST_CUSTOMERS, base,
					customers_json("c" + std::to_string(base) + ":p"));
		ASSERT_EQ(rig.apply(&cmd).code, WL_OK);
	}
	StateRig later;
	later.index = rig.index;
	later.restore(rig.pack());
	const wl_result_t &again = later.apply(&resend);
	EXPECT_EQ(again.code, WL_OK);
	EXPECT_EQ(again.version, 1u);
	EXPECT_EQ(again.index, revision);
	EXPECT_EQ(later.state->list[WL_LIST_CUSTOMERS].version, 501u);
}

TEST(State, DamagedSnapshotIsRefusedAndLeavesAnEmptyState)
{
	StateRig rig;
	wl_cmd_t plans = list_put(WL_LIST_PLANS, 0, plans_json("p:1"));
	rig.apply(&plans);
	wl_cmd_t open = session_open("e1", 1);
	rig.apply(&open);
	std::string bytes = rig.pack();
	wl_err_t err = {};

	for (size_t len = 1; len < bytes.size(); len++) {
		StateRig other;
		EXPECT_FALSE(wl_state_unpack(other.state, str(bytes.substr(0, len)), &err)) << len;
		EXPECT_EQ(wl_state_revision(other.state), 0u);
	}
}

/* Takes the crashes away from the packed tasks, as they were before crashes were counted. */
static std::string older_snapshot(const std::string &bytes)
{
	constexpr size_t head_bytes = 5;
	constexpr char item_task = 5;
	std::string older;

	for (size_t at = 0, len = 0; at < bytes.size(); at += head_bytes + len) {
		len = 0;
		for (size_t i = 4; i > 0; i--)
			len = len << 8 | static_cast<unsigned char>(bytes[at + i]);
		std::string item = bytes.substr(at + head_bytes, len);
		if (bytes[at] == item_task) {
			wl_schema_t then = wl_task_record_schema;
			wl_task_record_t record = {};
			wl_buf_t packed = {};
			wl_err_t err = {};

			then.count--;
			EXPECT_TRUE(
				wl_record_unpack(&wl_task_record_schema, str(item), &record, &err))
				<< err.text;
			wl_record_pack(&then, &record, &packed);
			item = std::string(packed.at, packed.len);
			wl_buf_free(&packed);
			wl_record_free(&wl_task_record_schema, &record);
		}
		older += bytes[at];
		for (size_t i = 0; i < head_bytes - 1; i++)
			older += static_cast<char>(item.size() >> (8 * i) & 0xff);
		older += item;
	}
	return older;
}

/* Loses the next attempt of a task to a crash of its target, and returns its state after that. */
static std::string crash(StateRig &rig, const std::string &id, uint64_t epoch)
{
	uint64_t attempt = rig.task(id)->record.attempt + 1;
	wl_cmd_t assign = task_assign(id, attempt, "w1", epoch);
	wl_cmd_t report = task_report(id, attempt, "w1", epoch, WL_REPORT_LOST);

	static_cast<wl_report_t *>(report.u.task_report.reports.items)->crashed = true;
	rig.apply(&assign);
	rig.apply(&report);
	return wl_task_state_names[rig.task(id)->record.state];
}

TEST(State, SnapshotKeepsCrashesAndAnOlderOneCountsFromZero)
{
	StateRig rig;
	wl_cmd_t plans = list_put(WL_LIST_PLANS, 0, plans_json("p:1"));
	rig.apply(&plans);
	wl_cmd_t customers = list_put(WL_LIST_CUSTOMERS, 0, customers_json("norrlamp:p"));
	rig.apply(&customers);
	wl_cmd_t open = session_open("e1", 1);
	uint64_t session = rig.apply(&open).index;
	wl_cmd_t own = target_own("w1", session, 0);
	uint64_t epoch = rig.apply(&own).index;
	wl_cmd_t add = task_add("norrlamp", 1);
	std::string id = "t" + std::to_string(rig.apply(&add).index);

	EXPECT_EQ(crash(rig, id, epoch), "queued");
	EXPECT_EQ(crash(rig, id, epoch), "queued");
	std::string bytes = rig.pack();
	std::string older = older_snapshot(bytes);
	ASSERT_LT(older.size(), bytes.size());

	rig.restore(bytes);
	EXPECT_EQ(rig.pack(), bytes);
	EXPECT_EQ(crash(rig, id, epoch), "failed");

	rig.restore(older);
	EXPECT_EQ(rig.task(id)->record.crashes.count, 0u);
	EXPECT_EQ(crash(rig, id, epoch), "queued");
	EXPECT_EQ(crash(rig, id, epoch), "queued");
	EXPECT_EQ(crash(rig, id, epoch), "failed");
}

TEST(State, ViewSendsOnlyWhatChanged)
{
	StateRig rig;
	wl_msg_view_t view;
	wl_cmd_t open = session_open("e1", 1);
	uint64_t session = rig.apply(&open).index;

	for (int i = 0; i < 5; i++) {
		wl_cmd_t own = target_own("w" + std::to_string(i), session, 0);
		rig.apply(&own);
	}
	uint64_t before = rig.index;
	wl_cmd_t again = target_own("w2", session, 4);
	ASSERT_EQ(rig.apply(&again).code, WL_OK);

	wl_state_view(rig.state, 0, before, &view);
	EXPECT_EQ(view.owners_from, before);
	EXPECT_EQ(view.owners_to, rig.index);
	ASSERT_EQ(view.owners.count, 1u);
	EXPECT_STREQ(static_cast<wl_owner_row_t *>(view.owners.items)[0].target.at, "w2");
	wl_record_free(&wl_msg_view_schema, &view);

	wl_state_view(rig.state, 0, 0, &view);
	EXPECT_EQ(view.owners_from, 0u);
	EXPECT_EQ(view.owners.count, 5u);
	EXPECT_EQ(view.members.count, 1u);
	wl_record_free(&wl_msg_view_schema, &view);
}

/* Its tasks were laid out in less memory than they take, as 2^62 * 4 is 0 modulo 2^64. */
TEST(State, SnapshotWithAJobOfTooManyTasksIsRefused)
{
	StateRig rig;
	std::string bytes = rig.pack();
	wl_job_record_t record = {};
	wl_buf_t packed = {};
	wl_err_t err = {};

	wl_buf_set(&record.id, WL_STR("a"));
	record.spec.repeat = UINT64_C(1) << 62;
	static_cast<wl_step_spec_t *>(wl_list_add(&wl_step_spec_schema, &record.spec.steps))
		->count = 4;
	wl_record_pack(&wl_job_record_schema, &record, &packed);
	bytes += std::string{10, static_cast<char>(packed.len), 0, 0, 0};
	bytes.append(packed.at, packed.len);
	EXPECT_FALSE(wl_state_unpack(rig.state, str(bytes), &err));
	EXPECT_NE(std::string(err.text).find("tasks"), std::string::npos) << err.text;
	wl_record_free(&wl_job_record_schema, &record);
	wl_buf_free(&packed);
}
