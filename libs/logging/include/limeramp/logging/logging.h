#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

/// Numbered log events, listed in docs/events.md. A number is never reused for another event.
namespace limeramp::logging {

/// Severity of an event: an error needs an operator's action, a warning should be examined, the others are informative.
enum class Level { debug, info, warning, error };

/// Numbers are part of the interface, since operators search the logs for them.
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
  redundancyLow = 514,
  votesComplete = 520,
  messageDropped = 600,
  peerUnexpected = 601,
  rosterChanged = 602,
  nodesNotAwaited = 603,
  rosterNotAwaited = 604,
};

/// An event's entry in the catalogue.
struct EventInfo {
  Event event;
  Level level;
  std::string_view name;
  std::string_view meaning;
};

/// All events, ordered by number.
std::span<EventInfo const> catalogue();

/// One `name=value` field of a log line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Opens the log on standard error for events of level `minimum` and above, under the name `program@node`. Call it
/// once, before any thread is started.
void open(std::string const& program, std::string const& node, Level minimum);
/// Logs one event. Thread-safe. Has no effect before open().
void raise(Event event, std::initializer_list<Field> fields = {});

}  // namespace limeramp::logging
