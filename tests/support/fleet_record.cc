#include "fleet_record.h"

#include <algorithm>
#include <sstream>

static const uint64_t NS_PER_MS = 1000000;
static const uint64_t DISTURBED_MS = 4000; /* that a disturbance counts after its end */

void FleetRecord::job_accepted(const std::string &job, const std::vector<uint64_t> &widths,
			       bool lasting, uint64_t now_ns)
{
	for (size_t step = 0; step < widths.size(); step++) {
		for (uint64_t i = 0; i < widths[step]; i++) {
			Task &task =
				tasks[job + ".0." + std::to_string(step) + "." + std::to_string(i)];

			task.accepted = true;
			task.lasting = lasting;
			if (task.idle_ns == 0)
				task.idle_ns = now_ns;
		}
	}
}

void FleetRecord::gap_end(Task &task, uint64_t now_ns)
{
	if (task.idle_ns)
		task.gap_ns = std::max(task.gap_ns, now_ns - task.idle_ns);
}

/* The job of a task, if it is cancelled. */
FleetRecord::Cancelled *FleetRecord::cancelled_find(const std::string &task)
{
	auto found = cancelled.empty() ? cancelled.end()
				       : cancelled.find(task.substr(0, task.find('.')));

	return found == cancelled.end() ? nullptr : &found->second;
}

void FleetRecord::disturbed(uint64_t until_ns)
{
	disturbed_until_ns = std::max(disturbed_until_ns, until_ns);
}

void FleetRecord::job_cancelled(const std::string &job, uint64_t now_ns)
{
	Cancelled &added = cancelled[job];
	const std::string prefix = job + ".";

	added.at_ns = now_ns;
	added.disturbed =
		disturbed_until_ns && now_ns < disturbed_until_ns + DISTURBED_MS * NS_PER_MS;
	for (auto it = tasks.lower_bound(prefix);
	     it != tasks.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
		added.running += it->second.running;
	added.running_then = added.running;
}

void FleetRecord::run_began(const std::string &name, uint64_t now_ns)
{
	Task &task = tasks[name];
	Cancelled *of = cancelled_find(name);

	if (of) {
		of->running++;
		of->began++;
	}
	starts_begun++;
	after_done += task.done_seen;
	if (task.running++ > 0)
		twice++;
	else
		gap_end(task, now_ns);
}

void FleetRecord::run_ended(const std::string &name, const std::string &how, uint64_t now_ns)
{
	Task &task = tasks[name];
	Cancelled *of = cancelled_find(name);

	if (of) {
		of->running--;
		of->last_ns = now_ns;
	}
	lapsed += how == "lapsed";
	task.done = task.done || how == "done";
	if (--task.running == 0)
		task.idle_ns = now_ns;
}

void FleetRecord::end_seen(const std::string &name, const std::string &how)
{
	if (how == "done")
		tasks[name].done_seen = true;
}

void FleetRecord::cpu_used(int64_t change_millis)
{
	used_millis += static_cast<uint64_t>(change_millis);
	used_max_millis = std::max(used_max_millis, used_millis);
}

/* Closes the gaps of tasks without a run at the end of the simulation. */
void FleetRecord::close(uint64_t now_ns)
{
	for (auto &item : tasks)
		if (item.second.running == 0)
			gap_end(item.second, now_ns);
	for (auto &item : cancelled)
		if (item.second.running > 0)
			item.second.last_ns = now_ns;
}

uint64_t FleetRecord::longest_gap_ms() const
{
	uint64_t longest = 0;

	for (const auto &item : tasks)
		if (item.second.accepted && item.second.lasting)
			longest = std::max(longest, item.second.gap_ns);
	return longest / NS_PER_MS;
}

size_t FleetRecord::tasks_left() const
{
	size_t left = 0;

	for (const auto &item : tasks)
		left += item.second.accepted && !item.second.lasting && !item.second.done;
	return left;
}

uint64_t FleetRecord::starts() const
{
	return starts_begun + starts_late + starts_refused + starts_unsent;
}

uint64_t FleetRecord::calls() const
{
	uint64_t sum = 0;

	for (const auto &item : calls_of)
		sum += item.second;
	return sum;
}

uint64_t FleetRecord::calls_max() const
{
	uint64_t most = 0;

	for (const auto &item : calls_of)
		most = std::max(most, item.second);
	return most;
}

std::string FleetRecord::summary() const
{
	size_t lasting = 0;
	size_t batch = 0;
	std::ostringstream text;

	for (const auto &item : tasks) {
		lasting += item.second.accepted && item.second.lasting;
		batch += item.second.accepted && !item.second.lasting;
	}
	text << "lapsed=" << lapsed << " longest_gap_ms=" << longest_gap_ms() << " twice=" << twice
	     << " after_done=" << after_done << " leases_beyond=" << leases_beyond
	     << " starts=" << starts() << " begun=" << starts_begun << " late=" << starts_late
	     << " refused=" << starts_refused << " unsent=" << starts_unsent
	     << " tasks_left=" << tasks_left() << "/" << batch << " lasting=" << lasting
	     << " failed=" << lasting_failed << " jobs_refused=" << jobs_refused
	     << " room_used_most="
	     << (capacity_millis ? used_max_millis * 100 / capacity_millis : 0)
	     << "% calls=" << calls() << " by replica:";
	for (const auto &item : calls_of)
		text << " " << item.first << "=" << item.second;
	return text.str();
}
