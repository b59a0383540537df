#include "limeramp/config/flags.h"

#include <cxxopts.hpp>

#include <algorithm>

#include <fstream>
#include <sstream>

namespace limeramp::config {

FlagOutcome settingsFromFlags(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                              int argc, char const* const* argv) {
  cxxopts::Options options(program, purpose);
  options.add_options()("settings", "settings file in JSON; flags go before it", cxxopts::value<std::string>())(
      "node", "name of this process, unique in the fleet", cxxopts::value<std::string>())(
      "listen", "IP:PORT for callers, operators and peers", cxxopts::value<std::string>())(
      "advertise", "IP:PORT that peers use, if it is another one", cxxopts::value<std::string>())(
      "zone", "zone of this machine", cxxopts::value<std::string>())(
      "seeds", "IP:PORT of up to three processes, comma between", cxxopts::value<std::vector<std::string>>())(
      "platform", "IP:PORT of the platform's list", cxxopts::value<std::string>())(
      "data", "folder on the machine's disk", cxxopts::value<std::string>())(
      "log-level", "debug, info, warning or error", cxxopts::value<std::string>())("version", "print the version")(
      "help", "print this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      return FlagText{options.help()};
    }
    if (flags.count("version") > 0) {
      return FlagText{program + " 0.1.0\n"};
    }
    if (!flags.unmatched().empty()) {
      return FlagProblem{"'" + flags.unmatched().front() + "' is not understood"};
    }
    picojson::value document{picojson::object()};
    std::string path;
    if (flags.count("settings") > 0) {
      path = flags["settings"].as<std::string>();
      std::ifstream file(path);
      std::stringstream text;
      text << file.rdbuf();
      if (!file) {
        return FlagProblem{path + ": cannot be read"};
      }
      absl::StatusOr<picojson::value> const parsed = parseJson(text.str());
      if (!parsed.ok()) {
        return FlagProblem{path + ": " + std::string(parsed.status().message())};
      }
      if (!parsed->is<picojson::object>()) {
        return FlagProblem{path + ": must be an object"};
      }
      document = *parsed;
    }
    picojson::object& fields = document.get<picojson::object>();
    for (char const* const name : {"node", "listen", "advertise", "zone", "platform", "data", "log-level"}) {
      if (flags.count(name) > 0) {
        std::string key(name);
        std::replace(key.begin(), key.end(), '-', '_');
        fields[key] = picojson::value(flags[name].as<std::string>());
      }
    }
    if (flags.count("seeds") > 0) {
      picojson::array seeds;
      for (std::string const& seed : flags["seeds"].as<std::vector<std::string>>()) {
        seeds.emplace_back(seed);
      }
      fields["seeds"] = picojson::value(seeds);
    }
    CheckedSettings checked = checkSettings(document, needs);
    if (!checked.settings) {
      std::string text;
      for (Problem const& problem : checked.problems) {
        text += (text.empty() ? "" : "\n") + problem.path + ": " + problem.reason;
      }
      return FlagProblem{text};
    }
    return FlagSettings{*std::move(checked.settings), path};
  } catch (cxxopts::exceptions::exception const& error) {
    return FlagProblem{error.what()};
  }
}

CheckedSettings readAgain(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                          std::vector<std::string> const& commandLine) {
  std::vector<char const*> arguments;
  arguments.reserve(commandLine.size());
  for (std::string const& argument : commandLine) {
    arguments.push_back(argument.c_str());
  }
  FlagOutcome const outcome =
      settingsFromFlags(program, purpose, needs, static_cast<int>(arguments.size()), arguments.data());
  if (FlagSettings const* const flagSettings = std::get_if<FlagSettings>(&outcome)) {
    return {flagSettings->settings, {}};
  }
  FlagProblem const* const problem = std::get_if<FlagProblem>(&outcome);
  return {std::nullopt, {{"/", problem == nullptr ? "gives no settings" : problem->text}}};
}

}  // namespace limeramp::config
