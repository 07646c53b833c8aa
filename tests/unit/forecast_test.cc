extern "C" {
#include <libwlcore/sched/forecast.h>
}

#include <gtest/gtest.h>

#include "../support/script.h"

/* Runs scripts on the forecast of submitted jobs. */

using Words = Script::Words;

namespace
{
constexpr uint64_t NS_PER_MS = 1000000;
constexpr uint64_t CLOCK_MS = 1000000; /* at the begin of a script */

class ForecastScript
{
      public:
	ForecastScript();
	void run(const std::string &path)
	{
		script.run(path);
	}

      private:
	uint64_t now_ms() const
	{
		return CLOCK_MS + script.now_ns / NS_PER_MS;
	}

	wl_forecast_job_t job(const Words &words) const
	{
		wl_forecast_job_t job = {};

		job.work_ms = script_number(words, "work");
		job.path_ms = script_number(words, "path");
		if (script_value(words, "deadline").empty())
			return job;
		job.on_time_ms = now_ms() + script_number(words, "on-time");
		job.deadline_ms = now_ms() + script_number(words, "deadline");
		return job;
	}

	void ahead(const Words &words);

	Script script;
	wl_forecast_t forecast = {};
	wl_drain_t drain = {};
	wl_returns_t returns = {};
};

void ForecastScript::ahead(const Words &words)
{
	wl_forecast_job_t one = job(words);

	for (uint64_t i = script_number(words, "count", 1); i > 0; i--)
		wl_forecast_add(&forecast, &one);
	script.print("on time %lu late %lu", forecast.on_time_work_ms, forecast.late_work_ms);
}

ForecastScript::ForecastScript()
{
	script.on("forecast", [this](const Words &words) {
		forecast = {};
		forecast.now_ms = now_ms();
		forecast.rate_millis = script_number(words, "rate");
	});
	script.on("ahead", [this](const Words &words) { ahead(words); });
	script.on("job", [this](const Words &words) {
		wl_forecast_job_t one = job(words);
		bool fits = script_value(words, "fits", "yes") == "yes";

		script.print("%s",
			     wl_forecast_verdict_names[wl_forecast_decide(&forecast, &one, fits)]);
	});
	script.on("return", [this](const Words &words) {
		wl_forecast_job_t one = job(words);

		script.print("after %lu ms", wl_returns_take(&returns, &forecast, &one,
							     script_number(words, "hash")));
	});
	script.on("done", [this](const Words &words) {
		wl_drain_done(&drain, now_ms(), script_number(words, "work"));
	});
	script.on("waiting", [this](const Words &words) {
		wl_drain_waiting(&drain, now_ms(), words[1] == "yes");
	});
	script.on("rate", [this](const Words &) {
		script.print("%lu", wl_drain_rate_millis(&drain, now_ms()));
	});
}
} // namespace

TEST(Forecast, Scripts)
{
	for (const auto &path : script_paths("forecast"))
		ForecastScript().run(path);
}
