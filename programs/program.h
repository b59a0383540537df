#pragma once

#include "limeramp/manifest/flags.h"
#include "limeramp/signal/signal.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace limeramp::programs {

template <typename Service>
using Start = std::function<std::unique_ptr<Service>(manifest::Settings const& settings, std::string& error)>;

template <typename Service>
int serve(std::string const& program, manifest::Settings const& settings, Start<Service> const& start,
          std::function<void(Service&)> const& reload = {}) {
  std::map<std::string, signal::Level> const levels{{"debug", signal::Level::debug},
                                                    {"info", signal::Level::info},
                                                    {"warning", signal::Level::warning},
                                                    {"error", signal::Level::error}};
  signal::open(program, settings.node, levels.at(settings.logLevel));
  sigset_t awaited;
  sigemptyset(&awaited);
  for (int const number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&awaited, number);
  }
  pthread_sigmask(SIG_BLOCK, &awaited, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::string error;
  std::unique_ptr<Service> const service = start(settings, error);
  if (service == nullptr) {
    std::cerr << program << ": " << error << '\n';
    return 1;
  }
  signal::raise(signal::Event::processStarted, {{"zone", settings.zone}});
  int number = 0;
  for (;;) {
    sigwait(&awaited, &number);
    if (number != SIGHUP) {
      break;
    }
    if (reload) {
      reload(*service);
    }
  }
  signal::raise(signal::Event::processStopping, {{"signal", std::to_string(number)}});
  service->drain();
  return 0;
}

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
  Start<Service> const start = [](manifest::Settings const& settings, std::string& error) { return Service::start(settings, error); };
  return serve<Service>(program, std::get<manifest::Settings>(outcome), start);
}

}
