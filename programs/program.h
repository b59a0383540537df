#pragma once

#include "limeramp/config/flags.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/logging/logging.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limeramp::programs {

/// Starts a service with its settings; on failure returns nullptr and puts the reason into `error`.
template <typename Service>
using Start = std::function<std::unique_ptr<Service>(config::Settings const& settings, std::string& error)>;

/// Runs a service until SIGTERM or SIGINT drains it. SIGHUP reloads its settings.
/// @param file the source of the settings; the service watches it for changes while it runs
/// @return the exit code of the process
template <typename Service>
int serve(std::string const& program, config::Settings const& settings, config::SettingsFile file,
          Start<Service> const& start) {
  std::map<std::string, logging::Level> const levels{{"debug", logging::Level::debug},
                                                     {"info", logging::Level::info},
                                                     {"warning", logging::Level::warning},
                                                     {"error", logging::Level::error}};
  logging::open(program, settings.node, levels.at(settings.logLevel));
  sigset_t handledSignals;
  sigemptyset(&handledSignals);
  for (int const signalNumber : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&handledSignals, signalNumber);
  }
  pthread_sigmask(SIG_BLOCK, &handledSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::string error;
  std::unique_ptr<Service> const service = start(settings, error);
  if (service == nullptr) {
    std::cerr << program << ": " << error << '\n';
    return 1;
  }
  service->follow(std::move(file));
  logging::raise(logging::Event::processStarted, {{"zone", settings.zone}});
  int signalNumber = 0;
  for (;;) {
    sigwait(&handledSignals, &signalNumber);
    if (signalNumber != SIGHUP) {
      break;
    }
    service->reload();
  }
  logging::raise(logging::Event::processStopping, {{"signal", std::to_string(signalNumber)}});
  service->drain();
  return 0;
}

/// Reads the settings from the flags and the file that they name, and runs the service.
/// @return the exit code of the process: 0 after printing what a flag asked for, 2 for wrong flags or settings, else
/// that of serve()
template <typename Service>
int run(std::string const& program, std::string const& purpose, config::SettingsNeeds const& needs, int argc,
        char const* const* argv) {
  config::FlagOutcome const outcome = config::settingsFromFlags(program, purpose, needs, argc, argv);
  if (config::FlagText const* const text = std::get_if<config::FlagText>(&outcome)) {
    std::cout << text->text;
    return 0;
  }
  if (config::FlagProblem const* const problem = std::get_if<config::FlagProblem>(&outcome)) {
    std::cerr << program << ": " << problem->text << '\n';
    return 2;
  }
  Start<Service> const start = [](config::Settings const& settings, std::string& error) {
    return Service::start(settings, error);
  };
  config::FlagSettings const& flagSettings = std::get<config::FlagSettings>(outcome);
  std::vector<std::string> const arguments(argv, argv + argc);
  config::SettingsReader const reader = [program, purpose, needs, arguments] {
    return config::readAgain(program, purpose, needs, arguments);
  };
  return serve<Service>(program, flagSettings.settings, config::SettingsFile(flagSettings.path, reader), start);
}

}  // namespace limeramp::programs
