#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

/// Numbered log events. docs/events.md is their catalogue; a number is never given to another event.
namespace limeramp::logging {

/// How urgent an event is: an error needs somebody, a warning should be looked at, the others tell what happens.
enum class Level { debug, info, warning, error };

/// The number is part of the interface: operators search for it.
enum class Event : int {
  processStarted = 100,
  processStopping = 101,
  settingsRefused = 102,
  listening = 103,
  settingsChanged = 104,
  settingsNeedRestart = 105,
  configurationInForce = 200,
  configurationTaken = 201,
  configurationRefused = 202,
  configurationUnknown = 203,
  configurationUnreadable = 204,
  orderAbandoned = 205,
  readinessChanged = 210,
  drainBegan = 211,
  listRead = 300,
  listUnreachable = 301,
  listRowDropped = 302,
  emptyListIgnored = 303,
  ownerChanged = 310,
  serverEjected = 400,
  serverReadmitted = 401,
  shardResultRejected = 402,
  retryBudgetExhausted = 403,
  overloadRejected = 404,
  founded = 500,
  epochGranted = 501,
  primaryBegan = 502,
  primaryStopped = 503,
  backupLost = 504,
  replicaRebuilt = 505,
  ballotLost = 506,
  newGroupForced = 507,
  epochChangeStalled = 508,
  votesMissing = 509,
  diskFailed = 510,
  diskDamaged = 511,
  diskTailTruncated = 512,
  diskRecovered = 513,
  votesComplete = 520,
  messageDropped = 600,
  peerUnexpected = 601,
  rosterChanged = 602,
};

/// One row of the catalogue.
struct EventInfo {
  Event event;
  Level level;
  std::string_view name;
  std::string_view meaning;
};

/// All events, by number.
std::span<EventInfo const> catalogue();

/// One `name=value` of a line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Writes lines of `minimum` and above to standard error, as `program@node`. Call it once, before any thread is
/// started.
void open(std::string const& program, std::string const& node, Level minimum);
/// Logs one event. Safe to call from any thread; does nothing before open().
void raise(Event event, std::initializer_list<Field> fields = {});

}  // namespace limeramp::logging
