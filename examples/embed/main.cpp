#include <limeramp/fairway/views.h>
#include <limeramp/pledge/council.h>

#include <deque>
#include <iostream>
#include <map>

using namespace limeramp;
using std::chrono::milliseconds;

namespace {

struct Post {
  std::string to;
  pledge::Event event;
};

struct Group {
  pledge::TimePoint now{std::chrono::hours(1)};
  std::map<std::string, pledge::Council> councils;
  std::vector<pledge::Member> members;
  std::deque<Post> posts;

  void step(std::string const& id, pledge::Event const& event) {
    for (pledge::Effect const& effect : councils.at(id).step(now, event)) {
      if (pledge::Send const* const send = std::get_if<pledge::Send>(&effect)) {
        posts.push_back({send->to, pledge::Received{id, id, send->message}});
      } else if (pledge::Persist const* const persist = std::get_if<pledge::Persist>(&effect)) {
        posts.push_back({id, pledge::Persisted{persist->token, true}});
      } else if (pledge::Committed const* const committed = std::get_if<pledge::Committed>(&effect)) {
        std::cout << id << " committed: " << committed->state.document << '\n';
      }
    }
  }

  void run(milliseconds time) {
    for (pledge::TimePoint const end = now + time; now < end; now += milliseconds(20)) {
      for (std::pair<std::string const, pledge::Council>& entry : councils) {
        step(entry.first, pledge::Known{members, true});
        step(entry.first, pledge::Tick{});
      }
      while (!posts.empty()) {
        Post const post = std::move(posts.front());
        posts.pop_front();
        if (councils.contains(post.to)) {
          step(post.to, post.event);
        }
      }
    }
  }

  std::string primary() const {
    for (std::pair<std::string const, pledge::Council> const& entry : councils) {
      if (entry.second.active()) {
        return entry.first;
      }
    }
    return "";
  }
};

}

int main() {
  Group group;
  for (std::string const id : {"ada", "bea", "cleo"}) {
    group.members.push_back({id, id, "zone"});
    group.councils.emplace(id, pledge::Council(pledge::Policy{}));
  }
  for (pledge::Member const& member : group.members) {
    group.step(member.id, pledge::Start{member, {}, std::hash<std::string>{}(member.id), false, {"ada", "bea", "cleo"}});
  }
  group.run(milliseconds(5000));
  std::string const first = group.primary();
  std::cout << "primary " << first << '\n';
  cargo::State state;
  state.document = "kept";
  group.step(first, pledge::Offer{1, state});
  group.run(milliseconds(500));
  group.councils.erase(first);
  group.run(milliseconds(5000));
  std::string const second = group.primary();
  std::cout << "primary " << second << " has " << group.councils.at(second).state().document << '\n';
  std::cout << "home " << fairway::rankHomes("service/logs", {"m01", "m02", "m03"}).front() << '\n';
  return !first.empty() && second != first && group.councils.at(second).state().document == "kept" ? 0 : 1;
}
