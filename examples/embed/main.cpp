#include <limeramp/distribution/peer_views.h>
#include <limeramp/distribution/rendezvous_hash.h>
#include <limeramp/replication/replication_group.h>

#include <deque>
#include <iostream>
#include <map>

using namespace limeramp;
using std::chrono::milliseconds;

namespace {

struct Post {
  std::string to;
  replication::GroupEvent event;
};

struct Group {
  replication::TimePoint now{std::chrono::hours(1)};
  std::map<std::string, replication::ReplicationGroup> groups;
  std::vector<replication::Member> members;
  std::deque<Post> posts;

  void step(std::string const& id, replication::GroupEvent const& event) {
    for (replication::GroupEffect const& effect : groups.at(id).step(now, event)) {
      if (replication::Send const* const send = std::get_if<replication::Send>(&effect)) {
        posts.push_back({send->to, replication::MessageReceived{id, id, send->message}});
      } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
        posts.push_back({id, replication::PersistFinished{persist->token, true}});
      } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
        std::cout << id << " committed: " << committed->state.document << '\n';
      }
    }
  }

  void run(milliseconds time) {
    for (replication::TimePoint const end = now + time; now < end; now += milliseconds(20)) {
      for (std::pair<std::string const, replication::ReplicationGroup>& entry : groups) {
        step(entry.first, replication::KnownMembers{members, true});
        step(entry.first, replication::Tick{});
      }
      while (!posts.empty()) {
        Post const post = std::move(posts.front());
        posts.pop_front();
        if (groups.contains(post.to)) {
          step(post.to, post.event);
        }
      }
    }
  }

  std::string primary() const {
    for (std::pair<std::string const, replication::ReplicationGroup> const& entry : groups) {
      if (entry.second.active()) {
        return entry.first;
      }
    }
    return "";
  }
};

}  // namespace

int main() {
  Group group;
  for (std::string const id : {"ada", "bea", "cleo"}) {
    group.members.push_back({id, id, "zone"});
    group.groups.emplace(id, replication::ReplicationGroup(replication::ReplicationOptions{}));
  }
  for (replication::Member const& member : group.members) {
    group.step(member.id,
               replication::Start{member, {}, std::hash<std::string>{}(member.id), false, {"ada", "bea", "cleo"}});
  }
  group.run(milliseconds(5000));
  std::string const first = group.primary();
  std::cout << "primary " << first << '\n';
  messages::State state;
  state.document = "kept";
  group.step(first, replication::Proposal{1, state});
  group.run(milliseconds(500));
  group.groups.erase(first);
  group.run(milliseconds(5000));
  std::string const second = group.primary();
  std::cout << "primary " << second << " has " << group.groups.at(second).state().document << '\n';
  std::cout << "home " << distribution::rankByRendezvousHash("service/logs", {"m01", "m02", "m03"}).front() << '\n';
  return !first.empty() && second != first && group.groups.at(second).state().document == "kept" ? 0 : 1;
}
