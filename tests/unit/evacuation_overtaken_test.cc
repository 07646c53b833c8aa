#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/node/conditional.h>
}

#include <gtest/gtest.h>

/*
 * Guards against an order for a zone that waited in a daemon that stood still, while its caller
 * went on to another daemon, and that is taken for the newest order afterwards.
 */

namespace
{
const char ZONE[] = "a";
constexpr uint64_t CALLER = 7;

/* What happens to the order that waits, in this order. */
enum Stage {
	READ,	 /* the daemon reads it, and asks for the basis */
	BASIS,	 /* the leader names the basis */
	CHECK,	 /* the daemon has it, and looks whether the caller is there */
	DELIVER, /* the leader receives the command */
	AGAIN,	 /* and a copy of it */
	STAGES
};

/* What the operator does meanwhile, in this order. */
enum Move {
	GIVE_UP, /* closes the connection of the order that waits */
	SAME,	 /* orders the same through another daemon, and has the acknowledgement */
	OTHER,	 /* and then the opposite */
	BACK,	 /* and then the same again */
	MOVES
};

enum Change {
	NONE,
	DROPPED,  /* another replica leads, without what was proposed and not committed */
	COMMITTED /* with all of it */
};

struct Play {
	Play(bool withdrawn, bool conditional)
	    : waiting_withdraws(withdrawn), is_conditional(conditional)
	{
		wl_conditionals_init(&conditionals);
		rig.configure("q");
		rig.zone = ZONE;
		rig.runner("a1");
		rig.evacuate(ZONE, !withdrawn);
		rig.hold_commits = true;
	}

	~Play()
	{
		wl_conditionals_free(&conditionals);
		wl_out_free(&out);
	}

	wl_cmd_t command(bool withdrawn) const
	{
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_ZONE_EVACUATE;
		wl_buf_set(&cmd.u.zone_evacuate.availability_zone, wl_str_from(ZONE));
		cmd.u.zone_evacuate.withdrawn = withdrawn;
		return cmd;
	}

	void read()
	{
		wl_cmd_t cmd = command(waiting_withdraws);
		wl_out_t call = {};

		wl_out_leader_conditional(&call, 1, &cmd, UINT64_MAX, CALLER);
		wl_conditionals_add(&conditionals, &call.actions[0], &out);
		query = out.actions[0].msg.u.query.call;
		wl_out_clear(&out);
		wl_out_free(&call);
		wl_cmd_free(&cmd);
	}

	void check()
	{
		wl_result_t result = {};
		wl_event_t event = {};
		wl_call_outcome_t outcome = {};

		result.index = basis;
		event.tag = query;
		event.result = &result;
		EXPECT_FALSE(wl_conditionals_basis(&conditionals, &event, &outcome, &out));
		EXPECT_EQ(out.actions[0].kind, WL_ACTION_CALLER_CHECK);
		EXPECT_EQ(out.actions[0].caller, CALLER);
		wl_out_clear(&out);
		bool gone = wl_conditionals_caller(&conditionals, CALLER, present, &outcome, &out);
		EXPECT_EQ(gone, !present);
		wl_result_free(&outcome.result);
	}

	void deliver()
	{
		wl_cmd_t cmd = {};
		wl_err_t err;

		if (!is_conditional) {
			cmd = command(waiting_withdraws);
		} else if (out.count == 0) {
			return;
		} else {
			wl_cmd_unpack(wl_buf_str(&out.actions[0].msg.u.command.cmd), &cmd, &err);
		}
		rig.send_command(&cmd);
	}

	void stage(int which)
	{
		switch (which) {
		case READ:
			read();
			break;
		case BASIS:
			basis = rig.zone_basis(ZONE);
			break;
		case CHECK:
			check();
			break;
		default:
			deliver();
		}
	}

	void order(bool withdrawn)
	{
		wl_cmd_t cmd = command(withdrawn);

		cmd.u.zone_evacuate.basis = rig.zone_basis(ZONE);
		rig.send_command(&cmd);
		rig.commit();
		EXPECT_EQ(rig.newest.code, WL_OK);
		ordered_withdrawn = withdrawn;
		has_ordered = true;
	}

	void move(int which)
	{
		if (which == GIVE_UP)
			present = false;
		else
			order((which == OTHER) != waiting_withdraws);
	}

	void change(int which)
	{
		rig.follow(which == COMMITTED ? SIZE_MAX : 0);
		rig.lead(2);
	}

	/* Whether the zone is not as the operator has it acknowledged. */
	bool is_broken() const
	{
		bool withdrawn = !wl_evacuation_find(&rig.jobs->evacuations, wl_str_from(ZONE));

		return has_ordered && withdrawn != ordered_withdrawn;
	}

	SchedRig rig;
	wl_conditionals_t conditionals = {};
	wl_out_t out = {};
	bool waiting_withdraws;
	bool is_conditional;
	bool present = true;
	bool has_ordered = false;
	bool ordered_withdrawn = false;
	uint64_t query = 0;
	uint64_t basis = 0;
};

/*
 * @moves: a bit for each event, set if it is a move of the operator
 * @change_at: event before which the leader changes
 * Return: whether the zone is ever other than acknowledged.
 */
bool is_broken(Play *one, unsigned moves, int events, int change_at, int change)
{
	bool broken = false;
	int stage = 0;
	int move = 0;

	for (int i = 0; i < events; i++) {
		if (i == change_at && change != NONE)
			one->change(change);
		if (moves >> i & 1)
			one->move(move++);
		else
			one->stage(stage++);
		broken |= one->is_broken();
	}
	one->rig.commit();
	return broken || one->is_broken();
}

/* Return: how many orders of the events break. */
size_t broken_orders(bool withdrawn, bool conditional, size_t *played)
{
	size_t broken = 0;

	for (int moves : {MOVES - 1, static_cast<int>(MOVES)})
		for (unsigned mask = 0; mask < 1u << (STAGES + moves); mask++)
			for (int at = 0; at < STAGES + moves; at++)
				for (int change = at ? DROPPED : NONE; change <= COMMITTED;
				     change++) {
					if (__builtin_popcount(mask) != moves)
						continue;
					Play one(withdrawn, conditional);

					broken += is_broken(&one, mask, STAGES + moves, at, change);
					(*played)++;
				}
	return broken;
}
} // namespace

class Overtaken : public testing::TestWithParam<bool>
{
};

INSTANTIATE_TEST_SUITE_P(Waiting, Overtaken, testing::Bool());

/* All orders of events, with a change of leader before any of them. */
TEST_P(Overtaken, OrderChangesNothing)
{
	size_t played = 0;

	EXPECT_EQ(broken_orders(GetParam(), true, &played), 0u);
	EXPECT_GT(played, 2000u);
}

/* The same events show the fault if the command names no basis. */
TEST_P(Overtaken, OrderWithoutABasisIsTakenForTheNewest)
{
	size_t played = 0;

	EXPECT_GT(broken_orders(GetParam(), false, &played), 0u);
}

/* Guards against an order that is refused, or reported as not carried out, though it may be. */
TEST(OvertakenAnswer, IsNoClearOne)
{
	SchedRig rig;
	wl_cmd_t cmd = {};

	rig.configure("q");
	rig.zone = ZONE;
	rig.runner("a1");
	cmd.kind = WL_CMD_ZONE_EVACUATE;
	wl_buf_set(&cmd.u.zone_evacuate.availability_zone, wl_str_from(ZONE));
	cmd.u.zone_evacuate.basis = rig.zone_basis(ZONE);
	rig.evacuate(ZONE, true);
	rig.run_command(&cmd);
	EXPECT_EQ(rig.newest.code, WL_E_OVERLOADED);
	EXPECT_EQ(rig.newest.verdict, WL_UNKNOWN);
}

TEST(OvertakenAnswer, OrdersForOtherZonesDoNotOvertake)
{
	SchedRig rig;
	wl_cmd_t cmd = {};

	rig.configure("q");
	for (const char *id : {"a1", "b1"}) {
		rig.zone = std::string(1, id[0]);
		rig.runner(id);
	}
	cmd.kind = WL_CMD_ZONE_EVACUATE;
	wl_buf_set(&cmd.u.zone_evacuate.availability_zone, wl_str_from(ZONE));
	cmd.u.zone_evacuate.basis = rig.zone_basis(ZONE);
	rig.evacuate("b");
	rig.run_command(&cmd);
	EXPECT_EQ(rig.newest.code, WL_OK);
}
