#include "script.h"

#include <algorithm>
#include <cstdarg>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

static const uint64_t NS_PER_MS = 1000000;

void Script::on(const std::string &word, Command command)
{
	commands[word] = std::move(command);
}

void Script::print(const char *format, ...)
{
	char line[4096];
	va_list args;

	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	output += line;
	output += '\n';
}

void Script::run_line(const std::string &line, size_t number)
{
	std::istringstream in(line);
	Words words;
	std::string word;

	while (in >> word)
		words.push_back(word);
	if (words.empty() || words[0][0] == '#')
		return;

	if (words[0] == "at" && words.size() > 1) {
		now_ns = strtoull(words[1].c_str(), nullptr, 10) * NS_PER_MS;
		words.erase(words.begin(), words.begin() + 2);
	}
	if (words.empty())
		return;

	output += "> " + line + "\n";
	auto found = commands.find(words[0]);
	if (found == commands.end()) {
		ADD_FAILURE() << "line " << number << ": unknown command " << words[0];
		return;
	}
	found->second(words);
}

static std::string read_file(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

static void compare(const std::string &path, const std::string &expected, const std::string &got)
{
	std::istringstream a(expected);
	std::istringstream b(got);
	std::string x;
	std::string y;
	size_t number = 0;

	for (;;) {
		bool more_x = static_cast<bool>(std::getline(a, x));
		bool more_y = static_cast<bool>(std::getline(b, y));
		number++;
		if (!more_x && !more_y)
			return;
		if (more_x == more_y && x == y)
			continue;
		ADD_FAILURE() << path << ":" << number << "\n  expected: " << (more_x ? x : "(end)")
			      << "\n  got:      " << (more_y ? y : "(end)") << "\nwhole output:\n"
			      << got;
		return;
	}
}

void Script::run(const std::string &path)
{
	std::ifstream in(path);
	std::string line;
	size_t number = 0;

	ASSERT_TRUE(in.good()) << path;
	while (std::getline(in, line))
		run_line(line, ++number);

	std::string out = std::filesystem::path(path).replace_extension(".out").string();
	compare(out, read_file(out), output);
}

std::vector<std::string> script_paths(const std::string &part)
{
	std::vector<std::string> paths;

	for (const auto &entry :
	     std::filesystem::directory_iterator(std::string(TEST_SOURCE_DIR) + "/scripts/" + part))
		if (entry.path().extension() == ".txt")
			paths.push_back(entry.path().string());
	std::sort(paths.begin(), paths.end());
	return paths;
}

std::string script_value(const Script::Words &words, const std::string &key,
			 const std::string &default_value)
{
	for (const auto &word : words)
		if (word.compare(0, key.size() + 1, key + "=") == 0)
			return word.substr(key.size() + 1);
	return default_value;
}

uint64_t script_number(const Script::Words &words, const std::string &key, uint64_t default_value)
{
	std::string value = script_value(words, key);

	return value.empty() ? default_value : strtoull(value.c_str(), nullptr, 10);
}
