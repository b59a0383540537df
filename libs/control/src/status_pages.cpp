// The status and readiness pages of a controller.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"

#include <algorithm>

namespace limeramp::control {
namespace {

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

std::string json(bool flag) { return flag ? "true" : "false"; }

std::string json(std::optional<Ms> const& elapsedMs) { return elapsedMs ? std::to_string(elapsedMs->count()) : "null"; }

std::string witnessJson(std::string const& witness, std::optional<Ms> const& sinceReportMs, bool canVote) {
  return "{\"id\":" + json(witness) + ",\"heard_ms\":" + json(sinceReportMs) + ",\"can_vote\":" + json(canVote) + "}";
}

std::string nodeJson(NodeView const& node) {
  return "{\"node\":" + json(node.node) + ",\"address\":" + json(node.address) + ",\"zone\":" + json(node.zone) +
         ",\"slot\":" + std::to_string(node.slot) + ",\"confirmed\":" + json(node.confirmed.text()) +
         ",\"gone\":" + json(node.gone) +
         ",\"heard_ms\":" + json(node.everReported ? std::optional<Ms>(node.sinceReportMs) : std::nullopt) + "}";
}

template <typename Element, typename Write>
std::string jsonList(std::vector<Element> const& elements, Write const& write) {
  std::string out;
  for (Element const& element : elements) {
    out += (out.empty() ? "" : ",") + write(element);
  }
  return out;
}

}  // namespace

net::Answer ControlServer::Impl::readinessPage() const {
  bool const ready = !draining && !group.unhealthy() && group.decided().epoch > 0;
  std::string const reason = draining                     ? "draining"
                             : group.unhealthy()          ? "disk"
                             : group.decided().epoch == 0 ? "not founded"
                                                          : "";
  return plain(ready ? 200 : 503, "{\"ready\":" + std::string(ready ? "true" : "false") +
                                      ",\"reason\":" + json(reason) + ",\"node\":" + json(settings.node) + "}");
}

net::Answer ControlServer::Impl::statusPage() const {
  Clock::time_point const now = Clock::now();
  messages::EpochRecord const& decided = group.decided();
  messages::State const& state = group.state();
  bool const replica = decided.primary == id || std::count(decided.backups.begin(), decided.backups.end(), id) > 0;
  std::string body = "{\"node\":" + json(settings.node) + ",\"role\":\"controller\",\"id\":" + json(id) +
                     ",\"zone\":" + json(settings.zone) + ",\"fleet\":" + json(decided.fleet) +
                     ",\"epoch\":" + std::to_string(decided.epoch) + ",\"primary\":" + json(decided.primary) +
                     ",\"primary_address\":" + json(group.primaryAddress()) + ",\"backups\":" + "[" +
                     jsonList(decided.backups, [](std::string const& backup) { return json(backup); }) + "]" +
                     ",\"replica\":" + json(replica) + ",\"active\":" + json(group.active()) +
                     ",\"sealed\":" + std::to_string(group.fenced()) + ",\"ailing\":" + json(group.unhealthy()) +
                     ",\"disk\":" + json(std::string(replication::nameOf(group.diskCondition()))) +
                     ",\"leaving\":" + json(std::string(replication::nameOf(group.shutdownProgress()))) +
                     ",\"state\":" + json(config::Version{state.epoch, state.sequence}.text()) + ",\"version\":" +
                     json(config::Version{state.configurationEpoch, state.configurationSequence}.text()) +
                     ",\"pending\":" + std::to_string(service.pending()) + ",\"witnesses\":[";
  body += jsonList(decided.witnesses, [&](std::string const& witness) {
    return witnessJson(witness, witness == id ? Ms(0) : group.sinceHeartbeatMs(now, witness),
                       group.canVote(now, witness));
  });
  body += "],\"nodes\":[";
  body += jsonList(service.active() ? service.nodes(now) : std::vector<NodeView>{}, nodeJson);
  return plain(200, body + "]}");
}

}  // namespace limeramp::control
