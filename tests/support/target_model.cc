#include "target_model.h"

#include <algorithm>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t LEASE_MAX_MS = 6000;
constexpr size_t ROOM_RUNS = 16;
constexpr uint64_t PERMILLE = 1000;
} // namespace

TargetModel::TargetModel(const std::string &name, const std::string &at, uint64_t born)
    : id(name), address(at), born_ms(born)
{
}

void TargetModel::boot(uint64_t now, uint64_t clock_ms, uint64_t slow_permille)
{
	boot_ns = now;
	boot_clock_ms = clock_ms;
	rate_permille = PERMILLE - slow_permille;
}

uint64_t TargetModel::clock_ms(uint64_t now) const
{
	return boot_clock_ms + (now - boot_ns) * rate_permille / PERMILLE / MS;
}

void TargetModel::advance(uint64_t now)
{
	bool lapsed = clock_ms(now) >= lease_until_ms;
	std::vector<Run> left;

	for (const auto &run : runs) {
		wl_run_outcome_t how = run.fails ? WL_END_FAILED : WL_END_DONE;

		if (run.done_ns > now && !(run.stop_ns && run.stop_ns <= now) && !lapsed) {
			left.push_back(run);
			continue;
		}
		if (lapsed)
			how = WL_END_LEASE_EXPIRED;
		else if (run.stop_ns)
			how = WL_END_STOPPED;
		ends.push_back({++last_end, run.task, run.run, how, now, false});
		bar(run.task, run.run);
	}
	runs.swap(left);
	for (auto &one : ends)
		one.lapsed |= lapsed;
}

void TargetModel::end(uint64_t now, const std::string &task, wl_run_outcome_t how)
{
	auto found = std::find_if(runs.begin(), runs.end(),
				  [&](const Run &run) { return run.task == task; });

	if (found == runs.end())
		return;
	ends.push_back({++last_end, task, found->run, how, now, false});
	bar(task, found->run);
	runs.erase(found);
}

void TargetModel::bar(const std::string &task, uint64_t run)
{
	for (auto &one : bars)
		if (one.first == task) {
			one.second = std::max(one.second, run);
			return;
		}
	bars.emplace_back(task, run);
}

bool TargetModel::barred(const SchedOrder &order) const
{
	return std::any_of(bars.begin(), bars.end(), [&](const auto &one) {
		return one.first == order.task && one.second >= order.run;
	});
}

bool TargetModel::fenced(const SchedOrder &order)
{
	if (order.epoch < epoch)
		return true;
	epoch = order.epoch;
	return false;
}

void TargetModel::lease(uint64_t now, const SchedOrder &order, const Origin &origin)
{
	uint64_t until_ms = std::min(order.lease_ms, clock_ms(now) + LEASE_MAX_MS);

	if (until_ms <= lease_until_ms)
		return;
	lease_until_ms = until_ms;
	lease_origin = origin;
}

const TargetModel::Run *TargetModel::find(const std::string &task) const
{
	for (const auto &run : runs)
		if (run.task == task)
			return &run;
	return nullptr;
}

wl_order_outcome_t TargetModel::start(uint64_t now, const SchedOrder &order, const Origin &origin,
				      const Work &work)
{
	if (fenced(order))
		return WL_ORDER_FENCED;
	if (order.lease_ms <= clock_ms(now))
		return WL_ORDER_LEASE_EXPIRED;
	lease(now, order, origin);
	for (const auto &run : runs)
		if (run.task == order.task && run.run == order.run)
			return WL_ORDER_DONE;
	if (barred(order))
		return WL_ORDER_STALE;
	if (runs.size() >= ROOM_RUNS)
		return WL_ORDER_NO_CAPACITY;
	runs.push_back({order.task, order.run, now + work.duration_ns, 0, work.fails, origin});
	return WL_ORDER_DONE;
}

wl_order_outcome_t TargetModel::stop(const SchedOrder &order, uint64_t effect_ns)
{
	if (fenced(order))
		return WL_ORDER_FENCED;
	bar(order.task, order.run);
	for (auto &run : runs)
		if (run.task == order.task && run.run == order.run && !run.stop_ns)
			run.stop_ns = effect_ns;
	return WL_ORDER_DONE;
}

wl_order_outcome_t TargetModel::hold(uint64_t now, const SchedOrder &order, const Origin &origin)
{
	if (fenced(order))
		return WL_ORDER_FENCED;
	while (!ends.empty() && ends.front().number <= order.seen)
		ends.erase(ends.begin());
	if (order.lease_ms)
		lease(now, order, origin);
	return WL_ORDER_DONE;
}
