/*
 * Assignment of targets to their owners.  A target is granted to a live session, preferably of
 * the target's availability zone and then to the one with the fewest targets.  Targets are
 * moved away from draining entries, and to new entries to balance the load.
 */

#include "internal.h"

#define GRANTS_IN_FLIGHT	64
#define DRAIN_MOVES_PER_TICK	8
#define BALANCE_MOVES_PER_ROUND 4
#define BALANCE_INTERVAL_NS	(1000 * WL_NS_PER_MS)
#define BALANCE_DELAY_NS	(5000 * WL_NS_PER_MS)
#define BALANCE_PERCENT		120 /* accepted load of an owner, relative to the least loaded */
#define FORGET_INTERVAL_NS	(10000 * WL_NS_PER_MS)
#define FORGET_AFTER_NS		(600000 * WL_NS_PER_MS)
#define FORGETS_PER_SWEEP	16

static bool buf_equal(const wl_buf_t *a, const wl_buf_t *b)
{
	return wl_str_equal(wl_buf_str(a), wl_buf_str(b));
}

static bool change_in_flight(const wl_leader_t *leader, wl_str_t target)
{
	const wl_proposal_t *proposal;

	if (leader->in_flight[WL_PROPOSAL_OWN] + leader->in_flight[WL_PROPOSAL_FORGET] == 0)
		return false;
	TAILQ_FOREACH (proposal, &leader->proposals, link)
		if ((proposal->kind == WL_PROPOSAL_OWN || proposal->kind == WL_PROPOSAL_FORGET) &&
		    wl_str_equal(wl_buf_str(&proposal->name), target))
			return true;
	return false;
}

/* Whether a session may be granted targets: not if it was silent for half of its validity. */
static bool eligible(const wl_leader_t *leader, const wl_leader_session_t *session, uint64_t now_ns)
{
	uint64_t max_silence_ns = leader->options.session_ms * WL_NS_PER_MS / 2;

	return !session->draining && !session->ending &&
	       now_ns < session->renewed_ns + max_silence_ns;
}

/*
 * Chooses the session for a target: the one with the fewest targets among those of the target's
 * availability zone, or among all sessions if none of the zone is eligible.
 */
static wl_leader_session_t *pick_session(wl_leader_t *leader, uint64_t now_ns, const wl_buf_t *zone)
{
	wl_leader_session_t *best = NULL;
	wl_leader_session_t *session;
	bool best_near = false;

	TAILQ_FOREACH (session, &leader->sessions, link) {
		bool near = buf_equal(&session->availability_zone, zone);

		if (!eligible(leader, session, now_ns))
			continue;
		if (best && (best_near && !near))
			continue;
		if (best && near == best_near && session->owned >= best->owned)
			continue;
		best = session;
		best_near = near;
	}
	return best;
}

static void propose_own(wl_leader_t *leader, uint64_t now_ns, wl_cmd_t *cmd,
			wl_leader_session_t *session, wl_out_t *out)
{
	wl_cmd_target_own_t *own = &cmd->u.target_own;
	const wl_state_target_t *target =
		wl_state_target_find(leader->state, wl_buf_str(&own->target));
	wl_buf_t name = {0};
	wl_proposal_t *proposal;

	wl_buf_set(&name, wl_buf_str(&own->target));
	own->session = session->id;
	own->from_epoch = target && !target->row.forgotten ? target->row.epoch : 0;
	session->owned++;
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_OWN, cmd, out);
	wl_buf_move(&proposal->name, &name);
	proposal->session = session->id;
}

static void copy_strings(wl_list_t *to, const wl_list_t *from)
{
	const wl_buf_t *items = from->items;

	for (size_t i = 0; i < from->count; i++)
		wl_strings_add(to, wl_buf_str(&items[i]));
}

/* Grants a known target to a session, with the description in its row. */
static void regrant(wl_leader_t *leader, uint64_t now_ns, const wl_state_target_t *target,
		    wl_leader_session_t *session, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TARGET_OWN};
	wl_cmd_target_own_t *own = &cmd.u.target_own;

	wl_buf_set(&own->target, wl_buf_str(&target->row.target));
	wl_buf_set(&own->address, wl_buf_str(&target->row.address));
	wl_buf_set(&own->availability_zone, wl_buf_str(&target->row.availability_zone));
	wl_buf_set(&own->rack, wl_buf_str(&target->row.rack));
	copy_strings(&own->services, &target->row.services);
	propose_own(leader, now_ns, &cmd, session, out);
}

static void grant(wl_leader_t *leader, uint64_t now_ns, const wl_announce_t *announce,
		  wl_leader_session_t *session, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TARGET_OWN};
	wl_cmd_target_own_t *own = &cmd.u.target_own;

	wl_buf_set(&own->target, wl_buf_str(&announce->name));
	wl_buf_set(&own->address, wl_buf_str(&announce->address));
	wl_buf_set(&own->availability_zone, wl_buf_str(&announce->availability_zone));
	wl_buf_set(&own->rack, wl_buf_str(&announce->rack));
	copy_strings(&own->services, &announce->services);
	propose_own(leader, now_ns, &cmd, session, out);
}

static bool row_matches(const wl_owner_row_t *row, const wl_announce_t *announce)
{
	const wl_buf_t *services = announce->services.items;

	if (!buf_equal(&row->address, &announce->address) ||
	    !buf_equal(&row->rack, &announce->rack) ||
	    !buf_equal(&row->availability_zone, &announce->availability_zone) ||
	    row->services.count != announce->services.count)
		return false;
	for (size_t i = 0; i < announce->services.count; i++)
		if (!wl_strings_contain(&row->services, wl_buf_str(&services[i])))
			return false;
	return true;
}

/*
 * Handles an announce: grants a ready target that has no owner to a session, and grants a target
 * again to its owner, with the new description, when the owner reports a changed one.
 */
void wl_leader_announce(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
			const wl_announce_t *announce, wl_out_t *out)
{
	const wl_state_target_t *target =
		wl_state_target_find(leader->state, wl_buf_str(&announce->name));
	wl_leader_session_t *session = NULL;

	if (announce->name.len == 0 || leader->in_flight[WL_PROPOSAL_OWN] >= GRANTS_IN_FLIGHT ||
	    change_in_flight(leader, wl_buf_str(&announce->name)))
		return;
	if (target && target->row.session != 0) {
		if (!wl_str_equal(peer, wl_buf_str(&target->row.entry)) ||
		    row_matches(&target->row, announce))
			return;
		session = wl_leader_session_find(leader, target->row.session);
	} else if (announce->state == WL_ANNOUNCE_READY) {
		session = pick_session(leader, now_ns, &announce->availability_zone);
	}
	if (session)
		grant(leader, now_ns, announce, session, out);
}

static void count_owned(wl_leader_t *leader)
{
	const wl_state_target_t *target;
	const wl_proposal_t *proposal;
	wl_leader_session_t *session;

	leader->counts_due = false;
	TAILQ_FOREACH (session, &leader->sessions, link)
		session->owned = 0;
	TAILQ_FOREACH (target, &leader->state->targets, link) {
		session = wl_leader_session_find(leader, target->row.session);
		if (session)
			session->owned++;
	}
	TAILQ_FOREACH (proposal, &leader->proposals, link) {
		session = wl_leader_session_find(leader, proposal->session);
		if (proposal->kind == WL_PROPOSAL_OWN && session)
			session->owned++;
	}
}

static void grant_unowned(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	const wl_state_target_t *target;
	bool left = leader->in_flight[WL_PROPOSAL_OWN] > 0;

	TAILQ_FOREACH (target, &leader->state->targets, link) {
		wl_leader_session_t *session;

		if (target->row.forgotten || target->row.session != 0)
			continue;
		left = true;
		if (leader->in_flight[WL_PROPOSAL_OWN] >= GRANTS_IN_FLIGHT)
			break;
		if (change_in_flight(leader, target->key))
			continue;
		session = pick_session(leader, now_ns, &target->row.availability_zone);
		if (session)
			regrant(leader, now_ns, target, session, out);
	}
	leader->grants_due = left;
}

static void drain_targets(wl_leader_t *leader, uint64_t now_ns, wl_leader_session_t *from,
			  wl_out_t *out)
{
	const wl_state_target_t *target;
	size_t moves = 0;

	TAILQ_FOREACH (target, &leader->state->targets, link) {
		wl_leader_session_t *to;

		if (moves >= DRAIN_MOVES_PER_TICK ||
		    leader->in_flight[WL_PROPOSAL_OWN] >= GRANTS_IN_FLIGHT)
			return;
		if (target->row.session != from->id || change_in_flight(leader, target->key))
			continue;
		to = pick_session(leader, now_ns, &target->row.availability_zone);
		if (!to)
			return;
		regrant(leader, now_ns, target, to, out);
		moves++;
	}
}

/* Returns the session that should own a target instead of its present owner, or NULL. */
static wl_leader_session_t *better_owner(wl_leader_t *leader, uint64_t now_ns,
					 const wl_state_target_t *target)
{
	const wl_buf_t *zone = &target->row.availability_zone;
	const wl_leader_session_t *owner = wl_leader_session_find(leader, target->row.session);
	wl_leader_session_t *to = pick_session(leader, now_ns, zone);

	if (!owner || !to || to == owner)
		return NULL;
	if (buf_equal(&to->availability_zone, zone) != buf_equal(&owner->availability_zone, zone))
		return buf_equal(&to->availability_zone, zone) ? to : NULL;
	if (owner->owned < to->owned + 2 || owner->owned * 100 <= to->owned * BALANCE_PERCENT)
		return NULL;
	return to;
}

static void balance(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	const wl_state_target_t *target;
	wl_leader_session_t *session;
	size_t moves = 0;

	leader->next_balance_ns = now_ns + BALANCE_INTERVAL_NS;
	TAILQ_FOREACH (session, &leader->sessions, link)
		if (session->ending || session->draining)
			return;
	TAILQ_FOREACH (target, &leader->state->targets, link) {
		if (moves >= BALANCE_MOVES_PER_ROUND)
			return;
		session = better_owner(leader, now_ns, target);
		if (!session || change_in_flight(leader, target->key))
			continue;
		wl_leader_session_find(leader, target->row.session)->owned--;
		regrant(leader, now_ns, target, session, out);
		moves++;
	}
	leader->balance_due = moves > 0;
}

static void propose_forget(wl_leader_t *leader, uint64_t now_ns, const wl_state_target_t *target,
			   wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TARGET_FORGET};
	wl_proposal_t *proposal;

	wl_buf_set(&cmd.u.target_forget.target, target->key);
	cmd.u.target_forget.epoch = target->row.epoch;
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_FORGET, &cmd, out);
	wl_buf_set(&proposal->name, target->key);
}

/* Removes targets that have been closed for FORGET_AFTER_NS and have no tasks assigned. */
static void forget_closed(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	const wl_state_target_t *target;
	size_t count = 0;

	leader->next_forget_ns = now_ns + FORGET_INTERVAL_NS;
	TAILQ_FOREACH (target, &leader->state->targets, link) {
		const wl_place_target_t *place_target;

		if (target->row.forgotten || target->assigned_count > 0)
			continue;
		place_target = wl_place_target_get(leader->place, now_ns, target->key);
		if (place_target->closed_ns == 0 || place_target->row.quarantined ||
		    now_ns < place_target->closed_ns + FORGET_AFTER_NS ||
		    change_in_flight(leader, target->key))
			continue;
		propose_forget(leader, now_ns, target, out);
		if (++count >= FORGETS_PER_SWEEP)
			return;
	}
}

/* Grants targets without an owner, moves targets to better owners, and removes closed targets. */
void wl_leader_owners_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	wl_leader_session_t *session;

	if (leader->counts_due)
		count_owned(leader);
	if (leader->grants_due)
		grant_unowned(leader, now_ns, out);
	TAILQ_FOREACH (session, &leader->sessions, link)
		if (session->draining && session->owned > 0)
			drain_targets(leader, now_ns, session, out);
	if (leader->balance_due && now_ns >= leader->next_balance_ns &&
	    now_ns >= leader->leading_since_ns + BALANCE_DELAY_NS)
		balance(leader, now_ns, out);
	if (now_ns >= leader->next_forget_ns)
		forget_closed(leader, now_ns, out);
}
