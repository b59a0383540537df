#pragma once

#include "drydock/sea.h"
#include "limeramp/fairway/courier.h"
#include "limeramp/harbour/plane.h"
#include "limeramp/pledge/council.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limeramp::drydock {

struct Quay {
  std::string node;
  std::string address;
  std::string zone;
  std::optional<fairway::Courier> courier;
  manifest::Version version;
};

struct Master {
  std::string id;
  std::string address;
  std::string zone;
  std::optional<pledge::Council> council;
  std::optional<harbour::Plane> plane;
  std::map<std::string, std::string> disk;
  std::vector<std::pair<std::uint64_t, pledge::Puts>> unsynced;
  bool diskFails = false;
  bool mayFound = true;
};

struct Machine {
  std::optional<Quay> quay;
  std::optional<Master> master;
  std::uint64_t life = 0;
  bool up = false;
  bool frozen = false;
  bool hostLost = false;
  std::vector<std::function<void()>> thawWork;
  std::string const& zone() const { return quay ? quay->zone : master->zone; }
  std::string address() const { return quay ? quay->address : master->address; }
  bool isActive() const { return master->plane->active() && master->council->active(); }
};

struct Answered {
  harbour::Decided decided;
  TimePoint at;
};

class Roads {
 public:
  Roads(std::uint64_t seed, std::size_t masters, std::size_t quays, std::size_t zones);

  Sea sea;
  std::vector<Machine> machines;
  std::vector<std::string> complaints;
  std::map<std::uint64_t, Answered> answers;
  std::map<std::uint64_t, harbour::ReadBack> readBacks;
  manifest::Language language = manifest::ownLanguage();
  std::size_t served = 0;
  std::size_t withheld = 0;
  std::size_t upheld = 0;
  std::size_t messages = 0;
  bool weighs = false;
  std::map<std::size_t, std::size_t> bytesAcrossZones;
  std::chrono::milliseconds slowestMs{0};

  void startAll();
  void start(std::size_t index);
  void kill(std::size_t index);
  void loseHost(std::size_t index);
  void replace(std::size_t index);
  void wipe(std::size_t index);
  void leave(std::size_t index) { machines[index].quay->courier->leave(); }
  void freeze(std::size_t index) { machines[index].frozen = true; }
  void thaw(std::size_t index);
  void cut(std::size_t from, std::size_t to) { cuts_.emplace(from, to); }
  void split(std::set<std::size_t> const& side);
  void mendAll() { cuts_.clear(); }
  void run(Ms time) { sea.runUntil(sea.now() + time); }
  std::optional<std::uint64_t> change(std::string const& id, std::string const& body, std::optional<manifest::Version> base = {},
                                      bool patch = false);
  std::optional<std::uint64_t> change(harbour::Change change);
  std::optional<std::uint64_t> order(std::string const& zone, bool emptied);
  std::uint64_t read(std::size_t index, Ms wait);
  std::optional<std::uint64_t> forget(std::vector<std::string> const& nodes);
  std::optional<std::size_t> primary() const;
  bool serves(std::size_t index) const;
  std::size_t serving() const;
  std::string picture() const;
  bool awaitServing(std::size_t wanted, Ms within);
  manifest::Version newestAcknowledged() const { return acknowledged_.empty() ? manifest::Version{} : acknowledged_.rbegin()->first; }

 private:
  void step(std::size_t index, pledge::Event const& event);
  void drivePlane(std::size_t index, harbour::Event const& event);
  void send(std::size_t from, std::string const& address, cargo::Message const& message);
  void probe(std::size_t from, harbour::Probe const& probe);
  void deliver(std::size_t to, std::size_t from, cargo::Message const& message);
  void follow(std::size_t index, fairway::CourierStep const& step);
  void tick(std::size_t index, std::uint64_t life);
  void complain(std::string const& text);
  void judge(std::size_t index);
  std::vector<cargo::Peer> peers() const;

  std::vector<std::string> founders_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<manifest::Version, TimePoint> acknowledged_;
  std::map<std::uint64_t, harbour::ZoneOrder> orders_;
  std::map<std::string, std::pair<harbour::ZoneOrder, TimePoint>> orderedZones_;
  std::uint64_t lastTicket_ = 0;
  std::size_t replaced_ = 0;
};

}
