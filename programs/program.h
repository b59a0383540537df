#pragma once

#include "limeramp/manifest/flags.h"
#include "limeramp/signal/signal.h"

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace limeramp::programs {

template <typename Service>
int run(std::string const& program, std::string const& purpose, manifest::SettingsNeeds const& needs, int argc,
        char const* const* argv) {
  manifest::FlagOutcome const outcome = manifest::settingsFromFlags(program, purpose, needs, argc, argv);
  if (manifest::FlagText const* const text = std::get_if<manifest::FlagText>(&outcome)) {
    std::cout << text->text;
    return 0;
  }
  if (manifest::FlagProblem const* const problem = std::get_if<manifest::FlagProblem>(&outcome)) {
    std::cerr << program << ": " << problem->text << '\n';
    return 2;
  }
  manifest::Settings const& settings = std::get<manifest::Settings>(outcome);
  std::map<std::string, signal::Level> const levels{{"debug", signal::Level::debug},
                                                    {"info", signal::Level::info},
                                                    {"warning", signal::Level::warning},
                                                    {"error", signal::Level::error}};
  signal::open(program, settings.node, levels.at(settings.logLevel));
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::string error;
  std::unique_ptr<Service> const service = Service::start(settings, error);
  if (service == nullptr) {
    std::cerr << program << ": " << error << '\n';
    return 1;
  }
  signal::raise(signal::Event::processStarted, {{"zone", settings.zone}});
  int number = 0;
  sigwait(&ends, &number);
  signal::raise(signal::Event::processStopping, {{"signal", std::to_string(number)}});
  service->drain();
  return 0;
}

}
