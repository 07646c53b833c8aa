#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include <functional>
#include <map>
#include <string>
#include <vector>

/*
 * A scripted test: a text file with one command per line and "#" for comments. The test registers a
 * function for each command word. The output of the functions is compared with the file of the same
 * name that ends in ".out". A line that begins with "at 1200ms" sets the time before its command
 * runs.
 */
class Script
{
      public:
	using Words = std::vector<std::string>;
	using Command = std::function<void(const Words &)>;

	void on(const std::string &word, Command command);
	void print(const char *format, ...) __attribute__((format(printf, 2, 3)));
	void run(const std::string &path);

	uint64_t now_ns = 0;

      private:
	void run_line(const std::string &line, size_t number);

	std::map<std::string, Command> commands;
	std::string output;
};

/* Paths of the scripts in tests/scripts/PART, sorted. */
std::vector<std::string> script_paths(const std::string &part);

/* The value of the word "key=value", or default_value if there is none. */
std::string script_value(const Script::Words &words, const std::string &key,
			 const std::string &default_value = "");
uint64_t script_number(const Script::Words &words, const std::string &key,
		       uint64_t default_value = 0);

#endif
