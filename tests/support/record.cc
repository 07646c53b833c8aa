#include "record.h"

#include <algorithm>
#include <set>
#include <sstream>

Record::Record(const std::string &text)
{
	std::istringstream all(text);

	for (std::string one; std::getline(all, one);) {
		std::istringstream words(one);
		Line line;

		for (std::string word; words >> word;) {
			size_t at = word.find('=');

			if (at != std::string::npos)
				line[word.substr(0, at)] = word.substr(at + 1);
		}
		lines.push_back(line);
	}
	/* A frozen target records an expired lease after it resumes, with the time of expiry. */
	std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) {
		return std::stoull(a.at("ns")) < std::stoull(b.at("ns"));
	});
}

std::map<std::string, int> Record::begun(const std::string &event, const std::string &key) const
{
	std::map<std::string, int> counts;

	for (const Line &line : lines)
		if (line.at("event") == event && line.count(key))
			counts[line.at(key)]++;
	return counts;
}

std::vector<std::string> Record::overlaps() const
{
	std::map<std::string, std::set<std::string>> running;
	std::vector<std::string> found;

	for (const Line &line : lines) {
		if (line.at("event") == "crash") {
			for (auto &task : running)
				task.second.erase(line.at("target"));
			continue;
		}
		if (line.at("event") == "task_begin") {
			auto &places = running[line.at("task")];

			if (!places.empty())
				found.push_back(line.at("task") + " attempt " + line.at("attempt") +
						" began on " + line.at("target") + " while on " +
						*places.begin());
			places.insert(line.at("target"));
		} else if (line.at("event") == "task_end") {
			running[line.at("task")].erase(line.at("target"));
		}
	}
	return found;
}

std::vector<std::string> Record::over_capacity(uint64_t slots, uint64_t cpu_millis,
					       uint64_t memory_mib) const
{
	std::vector<std::string> found;

	for (const Line &line : lines) {
		if (!line.count("slots"))
			continue;
		if (std::stoull(line.at("slots")) > slots ||
		    std::stoull(line.at("cpu_millis")) > cpu_millis ||
		    std::stoull(line.at("memory_mib")) > memory_mib)
			found.push_back(line.at("target") + " at " + line.at("ns") + ": slots " +
					line.at("slots") + " cpu " + line.at("cpu_millis") +
					" memory " + line.at("memory_mib"));
	}
	return found;
}

std::map<std::string, int> Record::ended(const std::string &state) const
{
	std::map<std::string, int> counts;

	for (const Line &line : lines)
		if (line.at("event") == "task_end" && line.count("state") &&
		    line.at("state") == state)
			counts[line.at("task")]++;
	return counts;
}

/* Results that a target lost in a crash before the task was started again are not counted. */
std::map<std::string, int> Record::finished() const
{
	std::map<std::string, std::set<std::string>> held; /* task: targets that hold its result */
	std::map<std::string, std::set<std::string>> lost; /* task: targets that lost its result */
	std::map<std::string, int> counts;

	for (const Line &line : lines) {
		const std::string &event = line.at("event");

		if (event == "crash") {
			for (auto &task : held)
				if (task.second.erase(line.at("target")))
					lost[task.first].insert(line.at("target"));
		} else if (event == "task_begin") {
			counts[line.at("task")] -= static_cast<int>(lost[line.at("task")].size());
			lost.erase(line.at("task"));
		} else if (event == "task_end" && line.count("state") &&
			   line.at("state") == "finished") {
			held[line.at("task")].insert(line.at("target"));
			counts[line.at("task")]++;
		}
	}
	return counts;
}
