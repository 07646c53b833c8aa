/*
 * A version of the configuration removes a route and adds one with the same host and prefix under
 * another name. Jobs that were accepted before must still be known, and a cancelled one must end.
 */

#include "../stand/stand.h"

namespace
{
constexpr int MINIONS = 6;
constexpr uint64_t SETTLE_MS = 3500;
constexpr uint64_t APPLY_MS = 4000; /* config_apply_ms, and contact_ms after it */
constexpr uint64_t CANCEL_MS = 3000;
constexpr uint64_t STOP_MS = 200;
} // namespace

int main()
{
	Setup setup = setup_read();
	Log log;
	std::vector<std::unique_ptr<Minion>> minions;
	std::string kept = job_id(1);
	std::string cancelled = job_id(2);
	bool broken = false;

	for (int i = 0; i < MINIONS; i++) {
		MinionOptions options;

		options.id = "i-" + std::to_string(i);
		options.address = setup.prefix + std::to_string(101 + i) + ":8367";
		minions.push_back(std::make_unique<Minion>(options, setup, log));
	}
	if (!configure(setup, true, 4))
		return 2;
	sleep_ms(SETTLE_MS);
	for (const auto &job : {kept, cancelled})
		if (submit(setup, job, "ms=30000 cpu=1000", {Step{3, 1000, 100, 30000, ""}}) !=
			    200 ||
		    !eventually(5000, [&] { return log.start_count(job) == 3; }))
			return 2;
	sleep_ms(3500); /* visible_ms after the acknowledgements */
	if (state(setup, kept).status != 200)
		return 2;
	if (setup.trouble && !configure_version(setup, 9, "r-jobs-renamed", true, 4))
		return 2;
	sleep_ms(APPLY_MS);
	for (size_t i = 0; i < setup.front.size(); i++)
		if (state(setup, kept).status == 410) {
			record("accepted and not cancelled, but said not to exist");
			broken = true;
		}
	Answer answer = cancel(setup, cancelled);

	if (answer.status / 100 != 2 && answer.status != 410)
		return 2;
	sleep_ms(CANCEL_MS + STOP_MS + 300);
	for (const auto &minion : minions)
		if (minion->has(cancelled + ".")) {
			record("minion %s still runs a task of the cancelled job",
			       minion->id().c_str());
			broken = true;
		}
	return broken ? 1 : 0;
}
