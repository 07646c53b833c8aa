#include "load.h"

#include <chrono>
#include <map>

#include <gtest/gtest.h>

#include "record.h"

namespace
{
constexpr int BALANCE_MS = 100;
constexpr uint64_t TIMEOUT_MS = 10000;
} // namespace

Load::Load(Cluster &loaded_cluster, int callers) : cluster(loaded_cluster)
{
	for (auto &member : cluster.members)
		ready.push_back(member.get());
	threads.emplace_back([this] { balance(); });
	for (int i = 0; i < callers; i++)
		threads.emplace_back([this, i] { call(i); });
}

Load::~Load()
{
	stopping = true;
	for (std::thread &thread : threads)
		thread.join();
}

void Load::balance()
{
	while (!stopping) {
		std::vector<Member *> now;

		for (auto &member : cluster.members)
			if (http(member->caller_address(), "GET", "/readyz", "", {}, 500).status ==
			    200)
				now.push_back(member.get());
		{
			std::lock_guard<std::mutex> guard(lock);
			ready = now;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(BALANCE_MS));
	}
}

Member *Load::pick(size_t turn)
{
	std::lock_guard<std::mutex> guard(lock);

	return ready.empty() ? nullptr : ready[turn % ready.size()];
}

void Load::call(int caller)
{
	for (size_t turn = 0; !stopping; turn++) {
		Member *member = pick(turn * 7 + static_cast<size_t>(caller));
		Sent sent;

		if (!member) {
			std::this_thread::sleep_for(std::chrono::milliseconds(BALANCE_MS));
			continue;
		}
		sent.id = "c" + std::to_string(caller) + "-" + std::to_string(turn);
		sent.entry = member->name;
		sent.post = turn % 2 == 1;
		sent.answer = cluster.request(*member, sent.id, sent.post ? "POST" : "GET", {},
					      TIMEOUT_MS);
		count_200 += sent.answer.complete && sent.answer.status == 200;
		if (!sent.answer.complete || sent.answer.status != 200)
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		std::lock_guard<std::mutex> guard(lock);
		all.push_back(std::move(sent));
	}
}

bool Load::progress(size_t more, int timeout_ms)
{
	size_t from = count_200;

	return eventually([&] { return count_200 >= from + more; }, timeout_ms);
}

void Load::check(const Sent &sent, int runs)
{
	const Answer &answer = sent.answer;
	std::string description = sent.id + (sent.post ? " POST" : " GET") + " at " + sent.entry +
				  ": " + std::to_string(answer.status) + " " + answer.verdict +
				  " " + answer.body.substr(0, 300) + answer.error;

	if (sent.post) {
		EXPECT_LE(runs, 1) << "ran more than once: " << description;
	}
	if (answer.complete && answer.status == 200) {
		EXPECT_GE(runs, 1) << "answered 200, but did not run: " << description;
		EXPECT_EQ(answer.at("id"), sent.id) << "answer to another request: " << description;
		return;
	}
	if (answer.verdict == "not-run" || (!answer.complete && !answer.sent)) {
		EXPECT_EQ(runs, 0) << "answered not-run, but ran: " << description;
		refused += answer.verdict == "not-run";
		return;
	}
	unknown++;
	incomplete += !answer.complete;
	if (answer.complete) {
		EXPECT_EQ(answer.verdict, "unknown") << "wrong verdict: " << description;
	}
}

void Load::finish()
{
	stopping = true;
	for (std::thread &thread : threads)
		thread.join();
	threads.clear();
	/* The targets flush the record only periodically. */
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	Record record(cluster.record_text());
	std::map<std::string, int> runs = record.begun("request_begin", "id");
	for (const Sent &sent : all)
		check(sent, runs.count(sent.id) ? runs[sent.id] : 0);
	for (const std::string &one : record.over_capacity(8, 32000, 125000))
		ADD_FAILURE() << "target capacity exceeded: " << one;
	printf("load: %zu requests, %zu answered 200, %zu not-run, %zu unknown, %zu of them "
	       "without a "
	       "complete answer\n",
	       all.size(), served(), refused, unknown, incomplete);
}
