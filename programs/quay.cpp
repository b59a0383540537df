#include "limeramp/manifest/flags.h"
#include "limeramp/quayside/front.h"
#include "limeramp/signal/signal.h"

#include <csignal>
#include <iostream>
#include <map>

using namespace limeramp;

int main(int argc, char** argv) {
  manifest::FlagOutcome const outcome =
      manifest::settingsFromFlags("quay", "the front of limeramp: searches, forwards, operators", {true, false}, argc, argv);
  if (manifest::FlagText const* const text = std::get_if<manifest::FlagText>(&outcome)) {
    std::cout << text->text;
    return 0;
  }
  if (manifest::FlagProblem const* const problem = std::get_if<manifest::FlagProblem>(&outcome)) {
    std::cerr << "quay: " << problem->text << '\n';
    return 2;
  }
  manifest::Settings const& settings = std::get<manifest::Settings>(outcome);
  static std::map<std::string, signal::Level> const levels{{"debug", signal::Level::debug},
                                                           {"info", signal::Level::info},
                                                           {"warning", signal::Level::warning},
                                                           {"error", signal::Level::error}};
  signal::open("quay", settings.node, levels.at(settings.logLevel));
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::string error;
  std::unique_ptr<quayside::Front> const front = quayside::Front::start(settings, error);
  if (front == nullptr) {
    std::cerr << "quay: " << error << '\n';
    return 1;
  }
  signal::raise(signal::Event::processStarted, {{"zone", settings.zone}});
  int number = 0;
  sigwait(&ends, &number);
  signal::raise(signal::Event::processStopping, {{"signal", std::to_string(number)}});
  front->drain();
  timespec const pause{0, 20'000'000};
  for (int left = 250; left > 0 && !front->idle(); --left) {
    sigtimedwait(&ends, nullptr, &pause);
  }
  return 0;
}
