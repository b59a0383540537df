#include "limeramp/logging/logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <memory>

namespace limeramp::logging {
namespace {

constexpr std::array<EventInfo, 45> events{{
    {Event::processStarted, Level::info, "process_started", "the process read its settings and begins its duties"},
    {Event::processStopping, Level::info, "process_stopping", "the process was told to end and drains"},
    {Event::settingsRefused, Level::error, "settings_refused",
     "the settings file is not usable; a process that runs keeps its former settings"},
    {Event::listening, Level::info, "listening", "the address on which the process takes connections"},
    {Event::settingsChanged, Level::info, "settings_changed",
     "the settings file changed while the process runs; the named settings hold from now on"},
    {Event::settingsNeedRestart, Level::warning, "settings_need_restart",
     "the named settings differ in the file but hold only from the next start"},
    {Event::configurationInForce, Level::info, "configuration_in_force",
     "this node now answers under the named version"},
    {Event::configurationTaken, Level::info, "configuration_taken", "a change was made safe and acknowledged"},
    {Event::configurationRefused, Level::info, "configuration_refused", "a change was refused and left no trace"},
    {Event::configurationUnknown, Level::warning, "configuration_unknown",
     "what became of a change could not be learnt in time"},
    {Event::configurationUnreadable, Level::error, "configuration_unreadable",
     "a delivered configuration did not pass this node's check"},
    {Event::orderAbandoned, Level::info, "order_abandoned",
     "an order was not begun since its caller had left; whoever wants it sends it again"},
    {Event::readinessChanged, Level::info, "readiness_changed",
     "the node became ready or stopped being ready, with the reason"},
    {Event::drainBegan, Level::info, "drain_began", "the node takes no new connections and finishes what it holds"},
    {Event::listRead, Level::info, "list_read",
     "retired, no longer raised: a platform list that differs from the last one was read"},
    {Event::listUnreachable, Level::warning, "list_unreachable",
     "the platform list could not be read; the last good one stays"},
    {Event::listRowDropped, Level::warning, "list_row_dropped",
     "a row of the platform list was malformed and left out"},
    {Event::emptyListIgnored, Level::warning, "list_empty_held",
     "the list became empty at once; the last one is held for a while"},
    {Event::ownerChanged, Level::debug, "home_changed",
     "retired, no longer raised: another node became the home of a service for this node"},
    {Event::serverEjected, Level::warning, "server_down",
     "a server's answers failed or stopped arriving; it gets no work for a while"},
    {Event::serverReadmitted, Level::info, "server_back", "a server that was marked down answered again"},
    {Event::shardResultRejected, Level::warning, "part_refused",
     "a part was malformed or not the one asked for, and counts as a failure"},
    {Event::retryBudgetExhausted, Level::debug, "budget_spent",
     "an extra attempt was not sent because the service's budget is spent"},
    {Event::overloadRejected, Level::debug, "overload_refused",
     "a request was refused before any byte went to a server"},
    {Event::founded, Level::info, "founded", "the control group was founded; this happens once in a fleet's life"},
    {Event::epochGranted, Level::info, "epoch_granted", "the witnesses granted an epoch"},
    {Event::primaryBegan, Level::info, "primary_began", "this replica is primary and takes changes"},
    {Event::primaryStopped, Level::warning, "primary_stopped", "this replica stopped being primary"},
    {Event::backupLost, Level::warning, "backup_lost", "the primary does not hear its backup and looks for another"},
    {Event::replicaRebuilt, Level::info, "replica_rebuilt", "this replica took a snapshot from its peer"},
    {Event::ballotLost, Level::debug, "ballot_lost", "a ballot did not gather its votes and will be repeated"},
    {Event::newGroupForced, Level::warning, "newGroupForced",
     "an operator began a new control group from what a node still held"},
    {Event::epochChangeStalled, Level::warning, "epoch_change_stalled",
     "ballots for the next epoch find no majority; the named voters do not answer"},
    {Event::votesMissing, Level::warning, "votes_missing",
     "the named witnesses are unhealthy or unresponsive; until they are back or replaced a further loss may stop "
     "changes"},
    {Event::diskFailed, Level::error, "disk_failed", "a write or sync failed or took too long; the replica steps down"},
    {Event::diskDamaged, Level::error, "disk_damaged", "stored records are damaged and will not be served"},
    {Event::diskTailTruncated, Level::warning, "disk_tail_cut", "an unfinished last record was cut at start"},
    {Event::diskRecovered, Level::info, "disk_recovered",
     "after a failed write all records were written anew and synced; the replica takes part again"},
    {Event::redundancyLow, Level::warning, "redundancy_low",
     "too few controllers with a disk are heard for the losses that the settings name"},
    {Event::votesComplete, Level::info, "votes_complete", "all witnesses of the epoch can vote again"},
    {Event::messageDropped, Level::debug, "message_dropped",
     "retired, no longer raised: a message to a peer was dropped because its queue was full or the peer is gone"},
    {Event::peerUnexpected, Level::warning, "peer_strange",
     "a message of another fleet, of an unknown kind or version was left out"},
    {Event::rosterChanged, Level::info, "roster_changed", "the set of nodes that share the fleet's duties changed"},
    {Event::nodesNotAwaited, Level::warning, "nodes_not_awaited",
     "an order was acknowledged without most nodes of the roster, which do not report"},
    {Event::rosterNotAwaited, Level::warning, "roster_not_awaited",
     "a changed roster came into force without most nodes of it or of the one before, which do not report"},
}};

EventInfo const& infoOf(Event event) {
  return *std::find_if(events.begin(), events.end(), [event](EventInfo const& info) { return info.event == event; });
}

spdlog::level::level_enum levelOf(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warning:
      return spdlog::level::warn;
    case Level::error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

std::span<EventInfo const> catalogue() { return events; }

void open(std::string const& program, std::string const& node, Level minimum) {
  std::shared_ptr<spdlog::logger> const logger = spdlog::stderr_logger_mt(program + "@" + node);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  logger->set_level(levelOf(minimum));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void raise(Event event, std::initializer_list<Field> fields) {
  EventInfo const& info = infoOf(event);
  spdlog::level::level_enum const level = levelOf(info.level);
  if (!spdlog::default_logger_raw()->should_log(level)) {
    return;
  }
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " + std::string(info.name);
  for (Field const& field : fields) {
    line += " ";
    line += field.name;
    line += "=";
    for (char const inbound : field.value.substr(0, 512)) {
      line += (static_cast<unsigned char>(inbound) < 0x20 || inbound == 0x7f) ? '?' : inbound;
    }
  }
  spdlog::log(level, "{}", line);
}

}  // namespace limeramp::logging
