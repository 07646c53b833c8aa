#include "fleet_target.h"

extern "C" {
#include <libwlcore/model/order.h>
}

#include <algorithm>
#include <sstream>

#include <jansson.h>

static const uint64_t NS_PER_MS = 1000000;
static const uint64_t LEASE_MAX_MS = 6000;
static const uint64_t LEASE_MARGIN_MS = 200; /* for estimates of slow clocks */
static const uint64_t STOP_MS = 100;	     /* from a stop order to the end of the run */
static const uint64_t WAIT_MAX_MS = 2000;
static const uint64_t CPU_MILLIS = 32000;
static const uint64_t INCARNATION = 1700000000000;
static const uint64_t RACK_TARGETS = 20;
static const uint64_t SLOW_KINDS = 21; /* clocks are slow by 0 to 20 permille */

FleetTarget::FleetTarget(Timeline &timeline, FleetRecord &seen, size_t index)
    : id("i-" + std::to_string(index)), address("10.1.0.1:" + std::to_string(index)),
      time(timeline), record(seen), clock_first_ms(1000 + 7919 * index),
      slow_permille(index % SLOW_KINDS), life(1)
{
	record.capacity_millis += CPU_MILLIS;
}

uint64_t FleetTarget::clock_ms() const
{
	return clock_ms_at(time.now_ns);
}

uint64_t FleetTarget::clock_ms_at(uint64_t ns) const
{
	if (ns < clock_since_ns)
		return 0;
	return clock_first_ms + (ns - clock_since_ns) / NS_PER_MS * (1000 - slow_permille) / 1000;
}

/* Whether this target would get the order or not, as a partition could hide the new leader. */
void FleetTarget::lease_check(const Order &order)
{
	uint64_t bound_ms = clock_ms_at(record.led_ns) + LEASE_MAX_MS + LEASE_MARGIN_MS;

	if (order.token && order.token >> WL_ORDER_EPOCH_TERM_SHIFT < record.epoch &&
	    order.deadline_ms > bound_ms)
		record.leases_beyond++;
}

std::string FleetTarget::report()
{
	size_t index = std::stoul(id.substr(2));
	std::ostringstream body;

	body << R"({"backend":"booking","address":")" << address
	     << R"(","zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
	     << R"("capacity":{"cpu":)" << CPU_MILLIS << R"(,"mem_mb":125000,"gpu":0},)"
	     << R"("labels":["a","r)" << index / RACK_TARGETS << R"("],"clock_ms":)" << clock_ms()
	     << R"(,"sequence":)" << ++sequence << R"(,"born":)" << INCARNATION + life << "}";
	return body.str();
}

FleetTarget::Order FleetTarget::order_read(const std::string &body)
{
	json_t *json = json_loadb(body.data(), body.size(), 0, nullptr);
	auto number = [json](const char *name) {
		return static_cast<uint64_t>(json_integer_value(json_object_get(json, name)));
	};
	auto text = [json](const char *name) {
		const char *value = json_string_value(json_object_get(json, name));

		return std::string(value ? value : "");
	};
	Order order;

	order.task = text("task");
	order.spec = text("spec");
	order.run = number("run_id");
	order.deadline_ms = number("deadline_ms");
	order.token = number("fencing_token");
	order.seen = number("last_seen");
	order.wait_ms = number("wait_ms");
	json_decref(json);
	return order;
}

void FleetTarget::accept(const Answer &answer)
{
	answer(200, R"({"clock_ms":)" + std::to_string(clock_ms()) + "}");
}

void FleetTarget::refuse(const Answer &answer, const char *reason)
{
	answer(409, R"({"clock_ms":)" + std::to_string(clock_ms()) + R"(,"reason":")" + reason +
			    R"("})");
}

bool FleetTarget::is_up() const
{
	return up;
}

/* Ends all runs. Nothing is listed or answered. */
void FleetTarget::crash()
{
	up = false;
	while (!runs.empty()) {
		auto run = runs.begin();

		used_millis -= run->second.cpu_millis;
		record.cpu_used(-static_cast<int64_t>(run->second.cpu_millis));
		record.run_ended(run->first, "crashed", time.now_ns);
		runs.erase(run);
	}
	holds.clear();
	ends.clear();
	fenced.clear();
}

/* Begins an incarnation under the same id, which knows nothing of the one before. */
void FleetTarget::start_again()
{
	up = true;
	life++;
	clock_first_ms = 0;
	clock_since_ns = time.now_ns;
	token = 0;
	lease_ms = 0;
	sequence = 0;
	next_end = 0;
}

/* Processes an order. An order with a lower fencing token than the highest seen is refused. */
void FleetTarget::call(const std::string &path, const std::string &body, const Answer &answer)
{
	Order order = order_read(body);

	if (!up)
		return;
	lease_check(order);
	if (order.token < token) {
		record.starts_refused += path == "/-/run-start";
		refuse(answer, "fence");
		return;
	}
	token = order.token;
	if (path == "/-/run-start")
		start(order, answer);
	else if (path == "/-/run-stop")
		stop(order, answer);
	else if (path == "/-/hold")
		hold(order, answer);
	else
		accept(answer);
}

void FleetTarget::lease_extend(uint64_t deadline_ms)
{
	if (clock_ms() >= lease_ms)
		for (auto &end : ends)
			end.lapsed = true;
	lease_ms = std::max(lease_ms, std::min(deadline_ms, clock_ms() + LEASE_MAX_MS));
	lease_watch();
}

/* Ends all runs once the lease has expired. */
void FleetTarget::lease_watch()
{
	if (lease_watched || runs.empty())
		return;
	if (clock_ms() >= lease_ms) {
		while (!runs.empty())
			run_end(std::string(runs.begin()->first), runs.begin()->second.number,
				"lapsed");
		return;
	}
	lease_watched = true;
	time.after((lease_ms - clock_ms()) * NS_PER_MS, [this] {
		lease_watched = false;
		lease_watch();
	});
}

void FleetTarget::start(const Order &order, const Answer &answer)
{
	auto present = runs.find(order.task);
	uint64_t work_ms = 0;
	uint64_t cpu_millis = 0;

	if (order.deadline_ms <= clock_ms()) {
		record.starts_late++;
		refuse(answer, "late");
		return;
	}
	std::istringstream(order.spec) >> work_ms >> cpu_millis;
	lease_extend(order.deadline_ms);
	if (present != runs.end() && present->second.number == order.run) {
		accept(answer);
		return;
	}
	if (present != runs.end() || order.run <= fenced[order.task] ||
	    used_millis + cpu_millis > CPU_MILLIS) {
		bool room = present == runs.end() && order.run > fenced[order.task];

		record.starts_refused++;
		refuse(answer, room ? "room" : "old");
		return;
	}
	runs[order.task] = {order.run, cpu_millis, work_ms == 0};
	used_millis += cpu_millis;
	record.cpu_used(static_cast<int64_t>(cpu_millis));
	record.run_began(order.task, time.now_ns);
	lease_watch();
	if (work_ms)
		time.after(work_ms * NS_PER_MS,
			   [this, task = order.task, run = order.run, of = life] {
				   if (life == of)
					   run_end(task, run, "done");
			   });
	accept(answer);
}

void FleetTarget::stop(const Order &order, const Answer &answer)
{
	auto present = runs.find(order.task);
	uint64_t &bar = fenced[order.task];

	bar = std::max(bar, order.run);
	if (present != runs.end() && present->second.number == order.run &&
	    !present->second.stopping) {
		present->second.stopping = true;
		time.after(STOP_MS * NS_PER_MS,
			   [this, task = order.task, run = order.run, of = life] {
				   if (life == of)
					   run_end(task, run, "stopped");
			   });
	}
	accept(answer);
}

/* Ends a run if it is present. The end is listed until it is acknowledged. */
void FleetTarget::run_end(const std::string &task, uint64_t run, const std::string &how)
{
	auto present = runs.find(task);
	uint64_t &bar = fenced[task];

	if (present == runs.end() || present->second.number != run)
		return;
	used_millis -= present->second.cpu_millis;
	record.cpu_used(-static_cast<int64_t>(present->second.cpu_millis));
	bar = std::max(bar, run);
	ends.push_back({++next_end, task, run, how});
	runs.erase(present);
	record.run_ended(task, how, time.now_ns);
	while (!holds.empty()) {
		Answer answer = holds.front().answer;

		holds.pop_front();
		hold_answer(answer);
	}
}

/* A hold is a long poll: it extends the lease, and is answered at the end of a run or its wait. */
void FleetTarget::hold(const Order &order, const Answer &answer)
{
	uint64_t number = ++next_hold;

	lease_extend(order.deadline_ms);
	while (!ends.empty() && ends.front().number <= order.seen) {
		if (!ends.front().lapsed)
			record.end_seen(ends.front().task, ends.front().how);
		ends.pop_front();
	}
	if (order.wait_ms == 0 || !ends.empty()) {
		hold_answer(answer);
		return;
	}
	holds.push_back({answer, number});
	time.after(std::min(order.wait_ms, WAIT_MAX_MS) * NS_PER_MS,
		   [this, number] { hold_expire(number); });
}

void FleetTarget::hold_expire(uint64_t order)
{
	for (auto it = holds.begin(); it != holds.end(); ++it) {
		if (it->order != order)
			continue;
		Answer answer = it->answer;

		holds.erase(it);
		hold_answer(answer);
		return;
	}
}

void FleetTarget::hold_answer(const Answer &answer)
{
	const size_t ends_max = 500; /* limit of ends in one answer */
	std::ostringstream body;
	const char *comma = "";
	size_t listed = 0;

	body << R"({"clock_ms":)" << clock_ms() << R"(,"born":)" << INCARNATION + life
	     << R"(,"running":[)";
	for (const auto &run : runs) {
		body << comma << R"([")" << run.first << R"(",)" << run.second.number
		     << R"(,"",50,900])";
		comma = ",";
	}
	body << R"(],"completions":[)";
	comma = "";
	for (const auto &end : ends) {
		if (++listed > ends_max)
			break;
		body << comma << "[" << end.number << R"(,")" << end.task << R"(",)" << end.run
		     << R"(,")" << end.how << R"(",""])";
		comma = ",";
	}
	body << "]}";
	answer(200, body.str());
}

/* Fails a lasting task of this target. Return: false if there is none. */
bool FleetTarget::fail_lasting()
{
	for (const auto &run : runs) {
		if (!run.second.lasting || run.second.stopping)
			continue;
		run_end(std::string(run.first), run.second.number, "failed");
		return true;
	}
	return false;
}
