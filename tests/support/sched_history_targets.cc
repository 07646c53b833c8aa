#include "sched_history.h"

#include <algorithm>
#include <cstring>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t BORN_FIRST_MS = 1700000000000;
constexpr uint64_t CLOCK_FIRST_MAX_MS = 3000;
constexpr uint64_t SLOW_MAX_PERMILLE = 20;
constexpr uint64_t REPORT_INTERVAL = 500 * MS;
constexpr uint64_t CUT_MAX = 9 * SECOND;
constexpr uint64_t CUT_PAUSE = 12 * SECOND; /* a target that is silent for longer is removed */
constexpr uint64_t DRAIN = 2 * SECOND;
constexpr uint64_t DRAIN_MORE_MAX = 8 * SECOND;
constexpr uint64_t RESEND = SECOND;
constexpr uint64_t WORKS_ON_MAX = 8 * SECOND; /* without an acknowledgement */
constexpr uint64_t RESTART_MIN = 300 * MS;
constexpr uint64_t RESTART_MAX = 5 * SECOND;
constexpr size_t TARGETS_MIN = 2;
} // namespace

SchedHistory::Target SchedHistory::target_at(const std::string &address) const
{
	for (const auto &target : targets)
		if (target->model.address == address)
			return target;
	return nullptr;
}

/* An empty id or address: a new one. */
SchedHistory::Target SchedHistory::spawn(const std::string &id, const std::string &address)
{
	std::string name = id.empty() ? "i-" + std::to_string(++ids) : id;
	bool taken = address.empty() || target_at(address);
	std::string place = taken ? "10.0.0." + std::to_string(++addresses) + ":80" : address;

	last_born_ms = std::max(last_born_ms + 1, BORN_FIRST_MS + rig.now / MS);
	auto target = std::make_shared<Process>(name, place, last_born_ms);
	target->model.boot(rig.now, 1 + below(CLOCK_FIRST_MAX_MS), below(SLOW_MAX_PERMILLE + 1));
	target->up_since_ns = rig.now;
	targets.push_back(target);
	note("%s starts at %s, life %llu", name.c_str(), place.c_str(),
	     static_cast<unsigned long long>(last_born_ms));
	return target;
}

/* The scheduler cannot tell a run whose end it has not heard of from one that was there. */
void SchedHistory::crash_count(const TargetModel &model)
{
	for (const auto &run : model.runs)
		crashes[run.task]++;
	for (const auto &one : model.ends)
		crashes[one.task]++;
}

void SchedHistory::end(const Target &target, const char *why)
{
	note("%s ends: %s, %zu runs", target->model.id.c_str(), why, target->model.runs.size());
	target->up = false;
	if (strcmp(why, "crash") == 0)
		crash_count(target->model);
	target->model.runs.clear();
	targets.erase(std::find(targets.begin(), targets.end(), target));
	restart(target);
}

/* Another incarnation, or another target, starts in place of one that has ended. */
void SchedHistory::restart(const Target &target)
{
	bool reused = fault(FAULT_ADDRESSES, 600);
	std::string address = chance(600) ? target->model.address : "";
	std::string id = chance(600) ? target->model.id : "";

	if (!reused && id.empty())
		address = "";
	at(rig.now + RESTART_MIN + below(RESTART_MAX), [this, id, address] {
		for (const auto &other : targets)
			if (other->model.id == id)
				return;
		spawn(id, address);
	});
}

void SchedHistory::when_answered(uint64_t call, std::function<void()> what)
{
	on_answer[call] = [this, what] {
		if (!fault(FAULT_LOST, 150))
			at(rig.now + delay_ns(), what);
	};
}

void SchedHistory::report(const Target &target)
{
	wl_runner_report_t said = {};
	const TargetModel &model = target->model;

	said.cpu_millis = 16000;
	said.memory_mib = 100000;
	said.incarnation = model.born_ms;
	said.sequence = ++target->sequence;
	said.clock_ms = model.clock_ms(rig.now);
	said.draining = target->draining;
	target->next_report_ns = rig.now + REPORT_INTERVAL;
	if (rig.now < target->cut_until_ns || fault(FAULT_LOST, 100))
		return;
	to_leader(rig.now + delay_ns(), [this, said, target] {
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNNER_PUT;
		cmd.u.runner_put = said;
		wl_buf_set(&cmd.u.runner_put.id, wl_str_from(target->model.id.c_str()));
		wl_buf_set(&cmd.u.runner_put.address, wl_str_from(target->model.address.c_str()));
		wl_buf_set(&cmd.u.runner_put.service, WL_STR("sort"));
		uint64_t call = rig.send_command(&cmd);
		if (!said.draining)
			return;
		when_answered(call, [this, target] {
			if (!target->leave_ns)
				target->leave_ns =
					rig.now + DRAIN + below(below(DRAIN_MORE_MAX) + 1);
		});
	});
}

void SchedHistory::leave(const Target &target)
{
	std::string id = target->model.id;
	uint64_t life = chance(300) ? target->model.born_ms : 0;

	target->resend_ns = rig.now + RESEND;
	if (!target->leaving)
		target->give_up_ns = rig.now + RESEND + below(WORKS_ON_MAX);
	target->leaving = true;
	note("%s sends its departure", id.c_str());
	if (rig.now < target->cut_until_ns || fault(FAULT_LOST, 200))
		return;
	to_leader(rig.now + delay_ns(), [this, id, life, target] {
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNNER_PUT;
		wl_buf_set(&cmd.u.runner_put.id, wl_str_from(id.c_str()));
		cmd.u.runner_put.incarnation = life;
		cmd.u.runner_put.exiting = true;
		uint64_t call = rig.send_command(&cmd);
		note("departure of %s reaches the leader", id.c_str());
		for (const auto &other : targets) {
			if (other->model.id != id || other == target)
				continue;
			other->mistaken = true;
			disturb(other, rig.now);
		}
		when_answered(call, [this, target] {
			if (target->up)
				end(target, "departure acknowledged");
		});
	});
}

void SchedHistory::trouble_step(const Target &target)
{
	if (targets.size() > TARGETS_MIN && fault(FAULT_CRASHES, 4)) {
		end(target, "crash");
		cancel_near();
		return;
	}
	if (!target->draining && fault(FAULT_DEPARTURES, 4)) {
		target->draining = true;
		target->next_report_ns = rig.now;
		note("%s drains", target->model.id.c_str());
		cancel_near();
	}
	if (rig.now >= target->cut_until_ns + CUT_PAUSE && fault(FAULT_CUTS, 4)) {
		target->cut_until_ns = rig.now + below(CUT_MAX);
		note("%s is unreachable for %llu ms", target->model.id.c_str(),
		     static_cast<unsigned long long>((target->cut_until_ns - rig.now) / MS));
		cancel_near();
	}
}

void SchedHistory::target_step(const Target &target)
{
	trouble_step(target);
	if (!target->up)
		return;
	if (rig.now >= target->next_report_ns)
		report(target);
	if (target->leaving && rig.now >= target->give_up_ns) {
		end(target, "departure without an acknowledgement");
		return;
	}
	if (target->leave_ns && rig.now >= target->leave_ns && rig.now >= target->resend_ns)
		leave(target);
}

void SchedHistory::targets_step()
{
	std::vector<Target> present = targets;

	for (const auto &target : present)
		target_step(target);
	while (targets.size() < TARGETS_MIN)
		spawn("", "");
}
