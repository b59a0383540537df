#include "limeramp/node/settings_follower.h"

#include "limeramp/logging/logging.h"

#include <absl/strings/str_join.h>

namespace limeramp::node {

struct SettingsFollower::Impl {
  config::Settings inForce;
  std::optional<config::SettingsFile> file;
  TimePoint nextCheckAt{};
  std::vector<std::string> waitingForRestart;
  config::Problem lastProblem;

  std::optional<config::SettingsUpdate> apply(config::CheckedSettings const& checked) {
    if (!checked.settings) {
      config::Problem const problem = checked.problems.empty() ? config::Problem{} : checked.problems.front();
      if (problem.path != lastProblem.path || problem.reason != lastProblem.reason) {
        logging::raise(logging::Event::settingsRefused, {{"path", problem.path}, {"reason", problem.reason}});
      }
      lastProblem = problem;
      return std::nullopt;
    }
    lastProblem = {};
    config::SettingsUpdate update = config::updateSettings(inForce, *checked.settings);
    if (!update.waitingForRestart.empty() && update.waitingForRestart != waitingForRestart) {
      logging::raise(logging::Event::settingsNeedRestart, {{"settings", absl::StrJoin(update.waitingForRestart, ",")}});
    }
    waitingForRestart = update.waitingForRestart;
    if (update.applied.empty()) {
      return std::nullopt;
    }
    logging::raise(logging::Event::settingsChanged, {{"settings", absl::StrJoin(update.applied, ",")}});
    inForce = update.settings;
    return update;
  }
};

SettingsFollower::SettingsFollower(config::Settings const& inForce) : impl_(std::make_unique<Impl>()) {
  impl_->inForce = inForce;
}

SettingsFollower::~SettingsFollower() = default;

void SettingsFollower::follow(config::SettingsFile file) { impl_->file = std::move(file); }

std::optional<config::SettingsUpdate> SettingsFollower::tick(TimePoint now) {
  if (!impl_->file || now < impl_->nextCheckAt) {
    return std::nullopt;
  }
  impl_->nextCheckAt = now + settingsLookMs;
  std::optional<config::CheckedSettings> const checked = impl_->file->readIfChanged();
  return checked ? impl_->apply(*checked) : std::nullopt;
}

std::optional<config::SettingsUpdate> SettingsFollower::reload(TimePoint now) {
  if (!impl_->file) {
    return std::nullopt;
  }
  impl_->nextCheckAt = now + settingsLookMs;
  impl_->lastProblem = {};
  return impl_->apply(impl_->file->read());
}

config::Settings const& SettingsFollower::inForce() const { return impl_->inForce; }

}  // namespace limeramp::node
