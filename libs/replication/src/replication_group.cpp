#include "limeramp/replication/replication_group.h"

#include "limeramp/messages/state_digest.h"

#include <algorithm>
#include <compare>
#include <deque>
#include <functional>
#include <random>
#include <set>

namespace limeramp::replication {
namespace {

using Ms = std::chrono::milliseconds;

struct Vote {
  static constexpr char const* name = "Vote";
  messages::EpochRecord decided;
  std::uint64_t fenced = 0;
  messages::Ballot promised;
  messages::Ballot acceptedBallot;
  std::optional<messages::EpochRecord> accepted;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("sealed", self.fenced);
    visit("promised", self.promised);
    visit("acceptedBallot", self.acceptedBallot);
    visit("accepted", self.accepted);
  }
};

struct MemberStatus {
  Member member;
  TimePoint at{};
  messages::Heartbeat heartbeat;
  std::uint64_t lastToken = 0;
  bool ever = false;
  bool reached = false;
  TimePoint nextHeartbeatAt{};
};

std::uint64_t epochOf(messages::Heartbeat const& heartbeat) {
  return std::max(heartbeat.epoch, heartbeat.decided.epoch);
}

enum class ProposalStage { none, choosing, syncing, preparing, accepting };

constexpr std::uint64_t forcedEpochStride = 1'000'000;

struct Proposal {
  ProposalStage stage = ProposalStage::none;
  std::string primary;
  std::vector<std::string> backups;
  std::set<std::string> toSync;
  std::uint64_t syncToken = 0;
  TimePoint sentAt{};
  messages::Ballot ballot;
  messages::EpochRecord record;
  messages::Ballot bestBallot;
  std::optional<messages::EpochRecord> best;
  std::vector<std::string> voters;
  std::set<std::string> yes;
  TimePoint retryAt{};
};

enum class Leadership { none, joining, active };

std::string joined(std::vector<std::string> const& ids) {
  std::string out;
  for (std::string const& id : ids) {
    out += (out.empty() ? "" : " ") + id;
  }
  return out;
}

bool isOf(std::vector<std::string> const& ids, std::string const& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

struct ReplicationGroup::Impl {
  explicit Impl(Policy const& policyIn) : policy(policyIn) {}

  Policy policy;
  TimePoint now{};
  std::vector<Effect> effects;
  bool started = false;
  bool broken = false;
  bool diskless = false;
  std::optional<TimePoint> retireAskedAt;
  std::uint64_t storedEpoch = 0;
  Member self;
  std::mt19937_64 random;
  Vote vote;
  messages::State state;
  std::map<std::string, MemberStatus> members;
  bool mayFound = false;
  std::vector<std::string> founders;
  std::uint64_t lastToken = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> heartbeatsSent;
  TimePoint quietSince{};
  TimePoint startedAt{};
  std::uint64_t lastPersist = 0;
  std::map<std::uint64_t, std::vector<Effect>> afterPersist;
  std::map<std::uint64_t, TimePoint> persisting;
  std::map<std::uint64_t, std::uint64_t> persistedEpochs;
  std::set<std::string> schemasStored;
  Leadership leadership = Leadership::none;
  std::uint64_t leadershipToken = 0;
  std::uint64_t leadershipPersist = 0;
  bool localDone = false;
  bool membershipChangeDue = false;
  std::set<std::string> backupsToSync;
  std::map<std::string, TimePoint> echoedAt;
  TimePoint syncSentAt{};
  std::optional<std::uint64_t> ticket;
  std::optional<TimePoint> confirmedAt;
  std::uint64_t highestRound = 0;
  std::uint64_t fencePersist = 0;
  TimePoint yieldUntil{};
  Proposal proposal;

  void on(Start const& event);
  void on(KnownMembers const& event);
  void on(Received const& event);
  void on(Persisted const& event);
  void on(Offer const& event);
  void on(Tick const& event);
  void on(Retire const&) {
    retireAskedAt = retireAskedAt.value_or(now);
    heartbeatAll();
  }
  void on(ForceNewGroup const& event);

  void hear(std::string const& from, messages::Heartbeat const& message);
  void hear(std::string const& from, messages::Prepare const& message);
  void hear(std::string const& from, messages::Promise const& message);
  void hear(std::string const& from, messages::Accept const& message);
  void hear(std::string const& from, messages::Accepted const& message);
  void hear(std::string const& from, messages::Sync const& message);
  void hear(std::string const& from, messages::Synced const& message);
  template <typename Other>
  void hear(std::string const&, Other const&) {}

  bool ailing() const {
    return broken || (!persisting.empty() && now - persisting.begin()->second >= policy.diskSlowMs);
  }
  bool retiring() const { return retireAskedAt.has_value(); }
  bool isPrimary() const { return vote.decided.epoch > 0 && vote.decided.primary == self.id; }
  bool isBackup() const { return vote.decided.epoch > 0 && isOf(vote.decided.backups, self.id); }
  bool isReplica(std::string const& id) const {
    return vote.decided.epoch > 0 && (id == vote.decided.primary || isOf(vote.decided.backups, id));
  }
  bool isFenced() const { return vote.fenced >= vote.decided.epoch && vote.decided.epoch > 0; }
  std::uint64_t nextEpoch() const { return vote.decided.epoch + 1; }
  bool fresh(std::string const& id, Ms within) const;
  std::size_t quorum() const;
  bool mayVote() const;
  bool epochSpread() const;
  bool successorHeard(std::vector<std::string> const& seats) const;
  LeaveProgress leaveProgress() const;

  void send(std::string const& to, messages::Message message);
  template <typename T>
  void store(std::string const& key, T const& value, Puts& puts);
  template <typename T>
  void restore(std::string const& key, std::map<std::string, std::string> const& stored, T& value);
  std::uint64_t persist(bool withVote, bool withState, std::vector<Effect> then);
  void learn(messages::EpochRecord const& record, bool withState = false);
  void beginLeadership();
  void endLeadership();
  void beginLeadershipSync();
  void checkCommit();
  void confirmLeadership();
  void fenceSelf();
  void beginMembershipChange();
  std::string zoneOf(std::string const& id) const;
  bool apart(std::string const& left, std::string const& right) const;
  std::vector<std::string> chooseBackups(std::string const& primary) const;
  std::vector<std::string> chooseWitnesses(std::string const& primary, std::vector<std::string> const& backups) const;
  std::vector<std::string> listing(std::string const& primary, std::vector<std::string> const& backups) const;
  bool backupsFresh(std::chrono::milliseconds within) const;
  bool couldGoOn() const { return 1 + chooseBackups(self.id).size() >= policy.leastReplicas; }
  void sendLeadershipSyncs();
  std::size_t zonesOf(std::vector<std::string> const& ids) const;
  bool superseded(std::string const& id) const;
  bool witnessesNeedChange() const;
  bool partnersFresh() const;
  void sendFencedSyncs();
  void pushProposal();
  void beginBallot();
  void sendBallot();
  void beginAccept();
  void tryFounding();
  void heartbeat();
  void heartbeatAll();
  void tellLeavingMembers();

  void digestMembers(messages::StateDigest& digest) const;
  void digestPersisting(messages::StateDigest& digest) const;
  void digestLeadership(messages::StateDigest& digest) const;
  void digestProposal(messages::StateDigest& digest) const;
};

bool ReplicationGroup::Impl::fresh(std::string const& id, Ms within) const {
  if (id == self.id) {
    return true;
  }
  std::map<std::string, MemberStatus>::const_iterator const found = members.find(id);
  return found != members.end() && found->second.ever && !found->second.heartbeat.ailing &&
         now - found->second.at <= within;
}

std::size_t ReplicationGroup::Impl::quorum() const {
  return (vote.decided.epoch == 0 ? founders.size() : vote.decided.witnesses.size()) / 2 + 1;
}

bool ReplicationGroup::Impl::mayVote() const {
  if (vote.decided.epoch == 0) {
    return mayFound && std::binary_search(founders.begin(), founders.end(), self.address);
  }
  return std::count(vote.decided.witnesses.begin(), vote.decided.witnesses.end(), self.id) > 0;
}

// The primary and a majority of the witnesses have the decided record on their disks, so it outlives this member.
bool ReplicationGroup::Impl::epochSpread() const {
  std::function<bool(std::string const&)> const stored = [this](std::string const& id) {
    std::map<std::string, MemberStatus>::const_iterator const found = members.find(id);
    return found != members.end() && found->second.heartbeat.storedEpoch >= vote.decided.epoch;
  };
  std::size_t const votes =
      static_cast<std::size_t>(std::count_if(vote.decided.witnesses.begin(), vote.decided.witnesses.end(), stored));
  return stored(vote.decided.primary) && votes >= quorum();
}

// Somebody is heard who has none of these seats and could take one.
bool ReplicationGroup::Impl::successorHeard(std::vector<std::string> const& seats) const {
  return std::any_of(members.begin(), members.end(), [&](std::pair<std::string const, MemberStatus> const& entry) {
    return !isOf(seats, entry.first) && fresh(entry.first, policy.lostMs) && !superseded(entry.first);
  });
}

LeaveProgress ReplicationGroup::Impl::leaveProgress() const {
  if (!retiring()) {
    return LeaveProgress::staying;
  }
  if (broken || vote.decided.epoch == 0) {
    return LeaveProgress::done;
  }
  if (now - *retireAskedAt >= policy.leaveMs) {
    return LeaveProgress::graceTimeOver;
  }
  bool const othersHoldTheState = isBackup() && fresh(vote.decided.primary, policy.lostMs);
  bool const successor = successorHeard(listing(vote.decided.primary, vote.decided.backups));
  if (isReplica(self.id) && (successor || !othersHoldTheState)) {
    return LeaveProgress::replicaNotReplaced;
  }
  if (isOf(vote.decided.witnesses, self.id) && successorHeard(vote.decided.witnesses)) {
    return LeaveProgress::voteNotReplaced;
  }
  return epochSpread() ? LeaveProgress::done : LeaveProgress::epochNotSpread;
}

void ReplicationGroup::Impl::send(std::string const& to, messages::Message message) {
  if (to == self.id) {
    std::visit([&](auto const& concrete) { hear(self.id, concrete); }, message);
    return;
  }
  std::map<std::string, MemberStatus>::const_iterator const found = members.find(to);
  if (found != members.end()) {
    effects.emplace_back(Send{to, found->second.member.address, std::move(message)});
  }
}

template <typename T>
void ReplicationGroup::Impl::store(std::string const& key, T const& value, Puts& puts) {
  puts.emplace_back(key, messages::pack(value));
  if (schemasStored.insert(key).second) {
    puts.emplace_back(key + "-schema", messages::schemaOf<T>());
  }
}

template <typename T>
void ReplicationGroup::Impl::restore(std::string const& key, std::map<std::string, std::string> const& stored,
                                     T& value) {
  std::map<std::string, std::string>::const_iterator const found = stored.find(key);
  if (found == stored.end()) {
    return;
  }
  std::map<std::string, std::string>::const_iterator const schema = stored.find(key + "-schema");
  absl::StatusOr<T> read =
      schema == stored.end() ? messages::unpack<T>(found->second) : messages::unpack<T>(found->second, schema->second);
  broken = broken || !read.ok();
  if (read.ok()) {
    value = *std::move(read);
  }
}

std::uint64_t ReplicationGroup::Impl::persist(bool withVote, bool withState, std::vector<Effect> then) {
  std::uint64_t const token = ++lastPersist;
  Persist effect{token, {}};
  if (withVote) {
    store("vote", vote, effect.puts);
  }
  if (withState) {
    store("state", state, effect.puts);
  }
  if (withVote && isFenced()) {
    fencePersist = token;
  }
  persisting.emplace(token, now);
  persistedEpochs.emplace(token, withVote ? vote.decided.epoch : 0);
  afterPersist.emplace(token, std::move(then));
  effects.emplace_back(std::move(effect));
  return token;
}

void ReplicationGroup::Impl::on(Start const& event) {
  self = event.self;
  random.seed(event.seed);
  lastToken = random() >> 20;
  started = true;
  quietSince = now;
  startedAt = now;
  founders = event.founders;
  std::sort(founders.begin(), founders.end());
  founders.erase(std::unique(founders.begin(), founders.end()), founders.end());
  diskless = event.diskless;
  if (diskless) {
    broken = true;
    return;
  }
  restore("vote", event.stored, vote);
  restore("state", event.stored, state);
  if (broken) {
    effects.emplace_back(LogEntry{logging::Event::diskDamaged, "stored records do not read"});
    return;
  }
  storedEpoch = vote.decided.epoch;
  highestRound = std::max(vote.promised.round, vote.acceptedBallot.round);
  beginLeadership();
}

void ReplicationGroup::Impl::on(KnownMembers const& event) {
  mayFound = event.mayFound;
  for (Member const& member : event.members) {
    if (member.id != self.id) {
      members[member.id].member = member;
    }
  }
  std::erase_if(members, [&](std::pair<std::string const, MemberStatus> const& entry) {
    bool const listed = std::any_of(event.members.begin(), event.members.end(),
                                    [&](Member const& member) { return member.id == entry.first; });
    return !listed && now - entry.second.at > std::chrono::seconds(60) && !isReplica(entry.first);
  });
}

void ReplicationGroup::Impl::on(Received const& event) {
  if (event.from == self.id) {
    return;
  }
  MemberStatus& entry = members[event.from];
  entry.member.id = event.from;
  entry.member.address = event.address;
  if (!broken) {
    std::visit([&](auto const& concrete) { hear(event.from, concrete); }, event.message);
  } else if (messages::Heartbeat const* const heartbeat = std::get_if<messages::Heartbeat>(&event.message)) {
    entry.at = now;
    entry.ever = true;
    entry.heartbeat = *heartbeat;
    bool const known = vote.decided.epoch == 0 || heartbeat->decided.fleet == vote.decided.fleet;
    bool const later = heartbeat->decided.epoch > vote.decided.epoch && known;
    vote.decided = later ? heartbeat->decided : vote.decided;
  }
}

void ReplicationGroup::Impl::on(Persisted const& event) {
  std::map<std::uint64_t, std::vector<Effect>>::iterator const found = afterPersist.find(event.token);
  if (found == afterPersist.end()) {
    return;
  }
  std::vector<Effect> const then = std::move(found->second);
  afterPersist.erase(found);
  persisting.erase(event.token);
  std::uint64_t const epochOnDisk = persistedEpochs[event.token];
  persistedEpochs.erase(event.token);
  if (!event.good) {
    if (!broken) {
      broken = true;
      effects.emplace_back(LogEntry{logging::Event::diskFailed, "a write or sync failed"});
      endLeadership();
      proposal = {};
    }
    return;
  }
  if (broken) {
    return;
  }
  if (epochOnDisk > storedEpoch) {
    storedEpoch = epochOnDisk;
    tellLeavingMembers();
  }
  for (Effect const& effect : then) {
    if (Send const* const later = std::get_if<Send>(&effect)) {
      send(later->to, later->message);
    } else {
      effects.push_back(effect);
    }
  }
  if (leadership != Leadership::none && event.token == leadershipPersist) {
    localDone = true;
    checkCommit();
  }
}

void ReplicationGroup::Impl::on(ForceNewGroup const& event) {
  std::string refusal;
  std::vector<std::string> const backups = chooseBackups(self.id);
  if (broken || retiring()) {
    refusal = "this controller's disk failed, or it is ending";
  } else if (vote.decided.epoch > 0 && event.fleet != vote.decided.fleet) {
    refusal = "this controller is of another fleet";
  } else if (vote.decided.epoch > 0 && fresh(vote.decided.primary, policy.lostMs) && backupsFresh(policy.lostMs)) {
    refusal = "primary and backup are alive";
  } else if (!couldGoOn()) {
    refusal = "no other controller is members that could be backup";
  }
  if (!refusal.empty()) {
    effects.emplace_back(NewGroupForced{refusal});
    return;
  }
  if (event.state.version() > state.version()) {
    state = event.state;
  }
  std::uint64_t const generation = std::max(vote.decided.epoch, state.epoch) / forcedEpochStride + 1;
  messages::EpochRecord record{generation * forcedEpochStride + random() % (forcedEpochStride / 2), event.fleet,
                               self.id, backups, chooseWitnesses(self.id, backups)};
  learn(record, true);
  effects.emplace_back(NewGroupForced{});
  heartbeatAll();
}

void ReplicationGroup::Impl::learn(messages::EpochRecord const& record, bool withState) {
  if (record.epoch <= vote.decided.epoch) {
    return;
  }
  if (vote.decided.epoch > 0 && record.fleet != vote.decided.fleet) {
    effects.emplace_back(LogEntry{logging::Event::peerStrange, "a record of fleet " + record.fleet});
    return;
  }
  effects.emplace_back(
      LogEntry{record.epoch == 1 ? logging::Event::founded : logging::Event::epochGranted,
               std::to_string(record.epoch) + " primary " + record.primary + " backups " + joined(record.backups)});
  bool const keepsTicket = record.primary == self.id;
  std::optional<std::uint64_t> const held = ticket;
  if (keepsTicket) {
    ticket.reset();
  }
  endLeadership();
  ticket = keepsTicket ? held : std::nullopt;
  proposal = {};
  vote.decided = record;
  vote.promised = {};
  vote.acceptedBallot = {};
  vote.accepted.reset();
  quietSince = now;
  persist(true, withState, {});
  beginLeadership();
}

void ReplicationGroup::Impl::endLeadership() {
  if (leadership == Leadership::active) {
    effects.emplace_back(Inactive{});
    effects.emplace_back(LogEntry{logging::Event::primaryStopped, std::to_string(vote.decided.epoch)});
  }
  leadership = Leadership::none;
  confirmedAt.reset();
  if (ticket) {
    effects.emplace_back(Doubtful{*ticket});
    ticket.reset();
  }
}

void ReplicationGroup::Impl::beginLeadership() {
  if (!isPrimary() || isFenced()) {
    return;
  }
  leadership = Leadership::joining;
  membershipChangeDue = false;
  echoedAt.clear();
  leadershipPersist = persist(false, true, {});
  localDone = false;
  beginLeadershipSync();
}

void ReplicationGroup::Impl::beginLeadershipSync() {
  leadershipToken = ++lastToken;
  backupsToSync = {vote.decided.backups.begin(), vote.decided.backups.end()};
  sendLeadershipSyncs();
}

void ReplicationGroup::Impl::sendLeadershipSyncs() {
  syncSentAt = now;
  for (std::string const& backup : backupsToSync) {
    send(backup, messages::Sync{vote.decided, leadershipToken, false, state});
  }
}

void ReplicationGroup::Impl::checkCommit() {
  if (!localDone || !backupsToSync.empty() || isFenced()) {
    return;
  }
  if (leadership == Leadership::joining) {
    leadership = Leadership::active;
    effects.emplace_back(Active{vote.decided.epoch, state});
    effects.emplace_back(LogEntry{logging::Event::primaryBegan, std::to_string(vote.decided.epoch)});
  }
  if (ticket) {
    effects.emplace_back(Committed{*ticket, state});
    ticket.reset();
    if (membershipChangeDue) {
      beginMembershipChange();
    }
  }
}

void ReplicationGroup::Impl::on(Offer const& event) {
  if (leadership != Leadership::active || ticket || retiring() || isFenced() || !localDone || !backupsToSync.empty()) {
    effects.emplace_back(Doubtful{event.ticket});
    return;
  }
  ticket = event.ticket;
  std::uint64_t const next = state.sequence + 1;
  state = event.state;
  state.epoch = vote.decided.epoch;
  state.sequence = next;
  localDone = false;
  leadershipPersist = persist(false, true, {});
  beginLeadershipSync();
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Sync const& message) {
  learn(message.decided);
  if (message.decided.epoch != vote.decided.epoch || message.decided.epoch == 0) {
    return;
  }
  bool withVote = false;
  if (message.fenced) {
    if (!isReplica(from)) {
      return;
    }
    if ((isPrimary() || isBackup()) && !isFenced()) {
      fenceSelf();
      withVote = true;
    }
    yieldUntil = now + policy.lostMs;
  } else {
    std::strong_ordering const order = message.state.version() <=> state.version();
    if (isPrimary() && leadership == Leadership::joining && isOf(vote.decided.backups, from) && order > 0 &&
        message.state.epoch == vote.decided.epoch) {
      state = message.state;
      leadershipPersist = persist(false, true, {});
      localDone = false;
      beginLeadershipSync();
      return;
    }
    if (from != vote.decided.primary || !isBackup() || isFenced()) {
      return;
    }
    if (state.epoch == vote.decided.epoch && order < 0) {
      send(from, messages::Sync{vote.decided, message.token, false, state});
      return;
    }
  }
  bool const changed = !(state == message.state);
  std::vector<Effect> then{Send{from, "", messages::Synced{vote.decided.epoch, message.token}}};
  if (changed && state.epoch < message.state.epoch) {
    effects.emplace_back(LogEntry{logging::Event::replicaRebuilt,
                                  std::to_string(message.state.epoch) + "." + std::to_string(message.state.sequence)});
  }
  if (changed && ticket) {
    effects.emplace_back(Doubtful{*ticket});
    ticket.reset();
  }
  state = message.state;
  persist(withVote, true, std::move(then));
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Synced const& message) {
  if (message.epoch != vote.decided.epoch) {
    return;
  }
  if (leadership != Leadership::none && message.token == leadershipToken && backupsToSync.erase(from) > 0) {
    checkCommit();
  }
  if (proposal.stage == ProposalStage::syncing && message.token == proposal.syncToken &&
      proposal.toSync.erase(from) > 0 && proposal.toSync.empty()) {
    beginBallot();
  }
}

// The primary leaves its own epoch, so that the next one may name other members. Between two changes, as a rule: the
// end of a change begins it too, or a stream of changes would hold it up for as long as it lasts.
void ReplicationGroup::Impl::beginMembershipChange() {
  fenceSelf();
  persist(true, false, {});
  proposal.stage = ProposalStage::choosing;
}

void ReplicationGroup::Impl::fenceSelf() {
  membershipChangeDue = false;
  vote.fenced = std::max(vote.fenced, vote.decided.epoch);
  if (leadership == Leadership::active) {
    effects.emplace_back(Inactive{});
    effects.emplace_back(LogEntry{logging::Event::primaryStopped, std::to_string(vote.decided.epoch)});
  }
  leadership = Leadership::none;
  confirmedAt.reset();
}

void ReplicationGroup::Impl::confirmLeadership() {
  if (leadership != Leadership::active) {
    return;
  }
  TimePoint earliest = now;
  for (std::string const& backup : vote.decided.backups) {
    if (!echoedAt.contains(backup)) {
      return;
    }
    earliest = std::min(earliest, echoedAt[backup]);
  }
  confirmedAt = std::max(confirmedAt.value_or(TimePoint{}), earliest);
}

std::string ReplicationGroup::Impl::zoneOf(std::string const& id) const {
  std::map<std::string, MemberStatus>::const_iterator const found = members.find(id);
  return id == self.id ? self.zone : found == members.end() ? "" : found->second.member.zone;
}

bool ReplicationGroup::Impl::apart(std::string const& left, std::string const& right) const {
  return !zoneOf(left).empty() && !zoneOf(right).empty() && zoneOf(left) != zoneOf(right);
}

std::vector<std::string> ReplicationGroup::Impl::chooseBackups(std::string const& primary) const {
  std::vector<std::string> out;
  while (1 + out.size() < policy.mostReplicas) {
    std::string best;
    int bestScore = -1;
    std::vector<std::string> const replicas = listing(primary, out);
    for (std::pair<std::string const, MemberStatus> const& entry : members) {
      if (entry.first == self.id || isOf(replicas, entry.first) || !fresh(entry.first, policy.lostMs)) {
        continue;
      }
      bool const newZone =
          std::all_of(replicas.begin(), replicas.end(), [&](std::string const& id) { return apart(id, entry.first); });
      int const score = (newZone ? 4 : 0) + (isOf(vote.decided.backups, entry.first) ? 2 : 0) +
                        (isOf(vote.decided.witnesses, entry.first) ? 1 : 0);
      if (score > bestScore) {
        best = entry.first;
        bestScore = score;
      }
    }
    if (best.empty()) {
      break;
    }
    out.push_back(best);
  }
  return out;
}

std::size_t ReplicationGroup::Impl::zonesOf(std::vector<std::string> const& ids) const {
  std::set<std::string> zones;
  for (std::string const& id : ids) {
    zones.insert(zoneOf(id));
  }
  return zones.size() - zones.count("");
}

std::vector<std::string> ReplicationGroup::Impl::listing(std::string const& primary,
                                                         std::vector<std::string> const& backups) const {
  std::vector<std::string> out{primary};
  out.insert(out.end(), backups.begin(), backups.end());
  return out;
}

std::vector<std::string> ReplicationGroup::Impl::chooseWitnesses(std::string const& primary,
                                                                 std::vector<std::string> const& backups) const {
  std::vector<std::string> out = listing(primary, backups);
  std::vector<std::string> const& listed = vote.decided.witnesses;
  out.resize(std::min(out.size(), policy.mostWitnesses));
  while (out.size() < policy.mostWitnesses) {
    std::string best;
    int bestScore = -1;
    for (std::pair<std::string const, MemberStatus> const& entry : members) {
      bool const witness = std::count(listed.begin(), listed.end(), entry.first) > 0;
      if (!fresh(entry.first, policy.lostMs) || superseded(entry.first) ||
          std::count(out.begin(), out.end(), entry.first) > 0) {
        continue;
      }
      bool const newZone =
          std::all_of(out.begin(), out.end(), [&](std::string const& id) { return apart(id, entry.first); });
      int const score = (newZone ? 2 : 0) + (witness ? 1 : 0);
      if (score > bestScore) {
        best = entry.first;
        bestScore = score;
      }
    }
    if (best.empty()) {
      break;
    }
    out.push_back(best);
  }
  for (std::string const& id : listed) {
    if (out.size() < policy.mostWitnesses && std::count(out.begin(), out.end(), id) == 0) {
      out.push_back(id);
    }
  }
  if (out.size() > 2 && out.size() % 2 == 0) {
    out.pop_back();
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool ReplicationGroup::Impl::superseded(std::string const& id) const {
  std::map<std::string, MemberStatus>::const_iterator const old = members.find(id);
  return old != members.end() &&
         std::any_of(members.begin(), members.end(), [&](std::pair<std::string const, MemberStatus> const& entry) {
           return entry.first != id && entry.second.member.address == old->second.member.address &&
                  entry.second.at > old->second.at && fresh(entry.first, policy.lostMs);
         });
}

bool ReplicationGroup::Impl::witnessesNeedChange() const {
  if (now - startedAt < policy.lostMs || now - quietSince < policy.repairMs) {
    return false;
  }
  std::vector<std::string> const backups = chooseBackups(self.id);
  std::vector<std::string> const wanted = chooseWitnesses(self.id, backups);
  std::vector<std::string> const& listed = vote.decided.witnesses;
  bool const replaceable = std::any_of(wanted.begin(), wanted.end(), [&](std::string const& id) {
    return std::count(listed.begin(), listed.end(), id) == 0;
  });
  bool const wiped = std::any_of(listed.begin(), listed.end(), [&](std::string const& id) { return superseded(id); });
  bool const lost = std::any_of(listed.begin(), listed.end(),
                                [&](std::string const& id) { return !fresh(id, policy.witnessGoneMs); });
  if ((replaceable && (wiped || lost)) || backups.size() > vote.decided.backups.size()) {
    return true;
  }
  if (now - quietSince < policy.spreadMs) {
    return false;
  }
  return wanted.size() > listed.size() || zonesOf(wanted) > zonesOf(listed) ||
         zonesOf(listing(self.id, backups)) > zonesOf(listing(self.id, vote.decided.backups));
}

bool ReplicationGroup::Impl::partnersFresh() const {
  return fresh(proposal.primary, policy.lostMs) &&
         std::all_of(proposal.backups.begin(), proposal.backups.end(),
                     [&](std::string const& id) { return fresh(id, policy.lostMs); });
}

void ReplicationGroup::Impl::sendFencedSyncs() {
  proposal.sentAt = now;
  for (std::string const& id : proposal.toSync) {
    send(id, messages::Sync{vote.decided, proposal.syncToken, true, state});
  }
}

bool ReplicationGroup::Impl::backupsFresh(Ms within) const {
  return std::all_of(vote.decided.backups.begin(), vote.decided.backups.end(),
                     [&](std::string const& id) { return fresh(id, within); });
}

void ReplicationGroup::Impl::pushProposal() {
  if (persisting.contains(fencePersist) && proposal.stage == ProposalStage::choosing) {
    return;
  }
  switch (proposal.stage) {
    case ProposalStage::none:
      return;
    case ProposalStage::choosing: {
      bool const handsOver = retiring();
      std::vector<std::string> backups = chooseBackups(self.id);
      if (1 + backups.size() < policy.leastReplicas) {
        return;
      }
      proposal.primary = self.id;
      if (handsOver && !backups.empty()) {
        std::vector<std::string>::const_iterator const successor =
            std::find_if(vote.decided.backups.begin(), vote.decided.backups.end(),
                         [&](std::string const& id) { return fresh(id, policy.lostMs); });
        proposal.primary = successor == vote.decided.backups.end() ? backups.front() : *successor;
        backups = chooseBackups(proposal.primary);
        if (1 + backups.size() < policy.leastReplicas) {
          backups.push_back(self.id);
        }
      }
      proposal.backups = std::move(backups);
      proposal.toSync = {proposal.backups.begin(), proposal.backups.end()};
      proposal.toSync.insert(proposal.primary);
      proposal.toSync.erase(self.id);
      proposal.stage = ProposalStage::syncing;
      proposal.syncToken = ++lastToken;
      if (proposal.toSync.empty()) {
        beginBallot();
      } else {
        sendFencedSyncs();
      }
      return;
    }
    case ProposalStage::syncing:
      if (!partnersFresh()) {
        proposal.stage = ProposalStage::choosing;
        pushProposal();
      } else if (now - proposal.sentAt >= policy.resendMs) {
        sendFencedSyncs();
      }
      return;
    case ProposalStage::preparing:
    case ProposalStage::accepting:
      if (now < proposal.retryAt && now - proposal.sentAt >= policy.resendMs) {
        sendBallot();
      } else if (now >= proposal.retryAt) {
        effects.emplace_back(LogEntry{logging::Event::ballotLost, std::to_string(proposal.ballot.round)});
        if (vote.decided.epoch > 0 && !partnersFresh()) {
          proposal.stage = ProposalStage::choosing;
          pushProposal();
        } else {
          beginBallot();
        }
      }
      return;
  }
}

void ReplicationGroup::Impl::beginBallot() {
  proposal.stage = ProposalStage::preparing;
  proposal.ballot = {++highestRound, self.id};
  proposal.best.reset();
  proposal.bestBallot = {};
  proposal.yes.clear();
  proposal.retryAt =
      now + policy.ballotMs + Ms(static_cast<long>(random() % static_cast<std::uint64_t>(policy.ballotMs.count())));
  if (vote.decided.epoch > 0) {
    proposal.voters = vote.decided.witnesses;
    proposal.record = {vote.decided.epoch + 1, vote.decided.fleet, proposal.primary, proposal.backups,
                       chooseWitnesses(proposal.primary, proposal.backups)};
  }
  sendBallot();
}

void ReplicationGroup::Impl::sendBallot() {
  std::uint64_t const epoch = vote.decided.epoch;
  ProposalStage const stage = proposal.stage;
  messages::Message const message =
      stage == ProposalStage::preparing
          ? messages::Message(messages::Prepare{vote.decided, proposal.ballot})
          : messages::Message(messages::Accept{vote.decided, proposal.ballot, proposal.record});
  std::vector<std::string> const voters = proposal.voters;
  proposal.sentAt = now;
  for (std::string const& voter : voters) {
    if (proposal.yes.contains(voter)) {
      continue;
    }
    send(voter, message);
    if (vote.decided.epoch != epoch || proposal.stage != stage) {
      return;
    }
  }
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Prepare const& message) {
  learn(message.decided);
  if (message.decided.epoch < vote.decided.epoch) {
    messages::Heartbeat hint;
    hint.decided = vote.decided;
    hint.epoch = vote.decided.epoch;
    hint.ailing = ailing() || retiring();
    send(from, hint);
    return;
  }
  if (!mayVote()) {
    return;
  }
  highestRound = std::max(highestRound, message.ballot.round);
  messages::Promise answer{nextEpoch(),   message.ballot,      message.ballot >= vote.promised,
                           vote.promised, vote.acceptedBallot, vote.accepted};
  if (!answer.granted) {
    send(from, answer);
    return;
  }
  vote.promised = message.ballot;
  persist(true, false, {Send{from, "", answer}});
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Promise const& message) {
  if (message.nextEpoch != nextEpoch() || proposal.stage != ProposalStage::preparing ||
      message.ballot != proposal.ballot) {
    return;
  }
  highestRound = std::max(highestRound, message.promised.round);
  if (!message.granted) {
    return;
  }
  if (message.accepted && (!proposal.best || message.acceptedBallot > proposal.bestBallot)) {
    proposal.best = message.accepted;
    proposal.bestBallot = message.acceptedBallot;
  }
  proposal.yes.insert(from);
  if (proposal.yes.size() >= quorum()) {
    beginAccept();
  }
}

void ReplicationGroup::Impl::beginAccept() {
  proposal.stage = ProposalStage::accepting;
  proposal.yes.clear();
  if (proposal.best) {
    proposal.record = *proposal.best;
  }
  sendBallot();
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Accept const& message) {
  learn(message.decided);
  if (message.decided.epoch != vote.decided.epoch || !mayVote()) {
    return;
  }
  highestRound = std::max(highestRound, message.ballot.round);
  messages::Accepted answer{nextEpoch(), message.ballot, message.ballot >= vote.promised, vote.promised};
  if (!answer.granted) {
    send(from, answer);
    return;
  }
  vote.promised = message.ballot;
  vote.acceptedBallot = message.ballot;
  vote.accepted = message.record;
  persist(true, false, {Send{from, "", answer}});
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Accepted const& message) {
  if (message.nextEpoch != nextEpoch() || proposal.stage != ProposalStage::accepting ||
      message.ballot != proposal.ballot) {
    return;
  }
  highestRound = std::max(highestRound, message.promised.round);
  if (!message.granted) {
    return;
  }
  proposal.yes.insert(from);
  if (proposal.yes.size() >= quorum()) {
    messages::EpochRecord const record = proposal.record;
    learn(record);
    heartbeatAll();
  }
}

void ReplicationGroup::Impl::hear(std::string const& from, messages::Heartbeat const& message) {
  MemberStatus& entry = members[from];
  entry.at = now;
  entry.ever = true;
  entry.heartbeat = message;
  entry.lastToken = message.token != 0 ? message.token : entry.lastToken;
  learn(message.decided);
  bool const reached = std::exchange(entry.reached, true);
  if (leadership == Leadership::joining && !reached && isOf(vote.decided.backups, from)) {
    sendLeadershipSyncs();
  }
  if (leadership == Leadership::active && isOf(vote.decided.backups, from) && epochOf(message) == vote.decided.epoch) {
    for (std::pair<std::uint64_t, TimePoint> const& sent : heartbeatsSent) {
      if (sent.first == message.echoed) {
        echoedAt[from] = std::max(echoedAt[from], sent.second);
      }
    }
    confirmLeadership();
  }
  if (isBackup() && from == vote.decided.primary && message.token != 0 &&
      now + policy.heartbeatMs > entry.nextHeartbeatAt) {
    entry.nextHeartbeatAt = now;
    heartbeat();
  }
}

void ReplicationGroup::Impl::heartbeatAll() {
  for (std::pair<std::string const, MemberStatus>& entry : members) {
    entry.second.nextHeartbeatAt = now;
  }
  heartbeat();
}

// Whoever leaves waits until the epoch without it is stored; it need not wait for the next heartbeat besides.
void ReplicationGroup::Impl::tellLeavingMembers() {
  for (std::pair<std::string const, MemberStatus>& entry : members) {
    if (entry.second.heartbeat.ailing) {
      entry.second.nextHeartbeatAt = now;
    }
  }
  heartbeat();
}

void ReplicationGroup::Impl::heartbeat() {
  std::uint64_t token = 0;
  for (std::pair<std::string const, MemberStatus>& entry : members) {
    if (now < entry.second.nextHeartbeatAt) {
      continue;
    }
    bool const quick = vote.decided.epoch == 0 || (isPrimary() && isOf(vote.decided.backups, entry.first));
    entry.second.nextHeartbeatAt = now + (quick ? policy.heartbeatMs : policy.idleHeartbeatMs);
    if (token == 0) {
      token = ++lastToken;
      heartbeatsSent.emplace_back(token, now);
    }
    messages::Heartbeat const& last = entry.second.heartbeat;
    messages::Heartbeat message;
    if (last.epoch == 0 || epochOf(last) != vote.decided.epoch) {
      message.decided = vote.decided;
    }
    message.epoch = vote.decided.epoch;
    message.storedEpoch = storedEpoch;
    message.token = token;
    message.echoed = entry.second.lastToken;
    message.ailing = ailing() || retiring();
    effects.emplace_back(Send{entry.first, entry.second.member.address, message});
  }
  while (heartbeatsSent.size() > 64) {
    heartbeatsSent.pop_front();
  }
}

void ReplicationGroup::Impl::tryFounding() {
  std::vector<std::string>::const_iterator const turn =
      std::lower_bound(founders.begin(), founders.end(), self.address);
  if (!mayVote() || retiring() || now - quietSince < policy.lostMs + policy.founderTurnMs * (turn - founders.begin())) {
    return;
  }
  std::map<std::string, std::pair<TimePoint, std::string>> voters{{self.address, {now, self.id}}};
  std::size_t inSight = 1;
  for (std::pair<std::string const, MemberStatus> const& entry : members) {
    std::string const& address = entry.second.member.address;
    inSight += fresh(entry.first, policy.lostMs) ? 1 : 0;
    if (entry.second.ever && std::binary_search(founders.begin(), founders.end(), address)) {
      voters[address] = std::max(voters[address], {entry.second.at, entry.first});
    }
  }
  if (inSight < std::max(policy.leastReplicas, std::min(policy.mostWitnesses, founders.size()))) {
    return;
  }
  proposal.record = {1, "", self.id, chooseBackups(self.id), {}};
  char fleet[20];
  std::snprintf(fleet, sizeof fleet, "%016llx", static_cast<unsigned long long>(random()));
  proposal.record.fleet = fleet;
  proposal.record.witnesses = chooseWitnesses(self.id, proposal.record.backups);
  proposal.voters.clear();
  for (std::pair<std::string const, std::pair<TimePoint, std::string>> const& entry : voters) {
    proposal.voters.push_back(entry.second.second);
  }
  beginBallot();
}

void ReplicationGroup::Impl::on(Tick const&) {
  heartbeat();
  if (broken) {
    return;
  }
  if (vote.decided.epoch == 0) {
    if (proposal.stage == ProposalStage::none) {
      tryFounding();
    } else if (now >= proposal.retryAt) {
      proposal = {};
      quietSince = now - policy.lostMs;
    }
    return;
  }
  if (proposal.stage != ProposalStage::none) {
    pushProposal();
    return;
  }
  if (isPrimary()) {
    if (leadership != Leadership::none && !backupsToSync.empty() && now - syncSentAt >= policy.resendMs) {
      sendLeadershipSyncs();
    }
    confirmLeadership();
    bool const settled = now - quietSince >= policy.lostMs;
    bool const backupGone = settled && !backupsFresh(policy.lostMs);
    bool const handsOver = retiring() && !chooseBackups(self.id).empty();
    membershipChangeDue = !isFenced() && !ailing() && couldGoOn() && (backupGone || handsOver || witnessesNeedChange());
    if (membershipChangeDue && (backupGone || !ticket)) {
      if (backupGone) {
        effects.emplace_back(LogEntry{logging::Event::backupLost, joined(vote.decided.backups)});
      }
      beginMembershipChange();
    } else if (isFenced() && !ailing()) {
      proposal.stage = ProposalStage::choosing;
    }
  } else if (isBackup()) {
    std::vector<std::string> const& successors = vote.decided.backups;
    Ms const patience =
        policy.takeoverMs +
        policy.successorTurnMs * (std::find(successors.begin(), successors.end(), self.id) - successors.begin());
    bool const gone = now - quietSince >= patience && !fresh(vote.decided.primary, patience);
    if (!isFenced() && !ailing() && gone && couldGoOn()) {
      fenceSelf();
      persist(true, false, {});
      proposal.stage = ProposalStage::choosing;
    } else if (isFenced() && !ailing() && now >= yieldUntil) {
      proposal.stage = ProposalStage::choosing;
    }
  }
  pushProposal();
}

void ReplicationGroup::Impl::digestMembers(messages::StateDigest& digest) const {
  digest.add(members.size());
  for (std::pair<std::string const, MemberStatus> const& entry : members) {
    digest.add(entry.first);
    digest.add(entry.second.member.address);
    digest.add(entry.second.member.zone);
    digest.add(entry.second.ever);
    digest.add(entry.second.reached);
    digest.add(entry.second.lastToken);
    digest.add(entry.second.heartbeat);
    digest.add(entry.second.at);
    digest.addDeadline(entry.second.nextHeartbeatAt);
  }
}

void ReplicationGroup::Impl::digestPersisting(messages::StateDigest& digest) const {
  digest.add(persisting.size());
  for (std::pair<std::uint64_t const, TimePoint> const& entry : persisting) {
    digest.add(lastPersist - entry.first);
    digest.add(entry.second);
    digest.add(entry.first == leadershipPersist);
    digest.add(entry.first == fencePersist);
    digest.add(persistedEpochs.at(entry.first));
    for (Effect const& effect : afterPersist.at(entry.first)) {
      if (Send const* const send = std::get_if<Send>(&effect)) {
        digest.add(send->to);
        digest.add(send->message);
      }
    }
  }
}

void ReplicationGroup::Impl::digestLeadership(messages::StateDigest& digest) const {
  digest.add(leadership);
  digest.add(leadershipToken);
  digest.add(localDone);
  digest.add(membershipChangeDue);
  digest.add(backupsToSync);
  digest.add(ticket);
  digest.add(syncSentAt);
  digest.add(confirmedAt.value_or(TimePoint{}));
  for (std::pair<std::string const, TimePoint> const& entry : echoedAt) {
    digest.add(entry.first);
    digest.add(entry.second);
  }
  digest.add(lastToken);
  for (std::pair<std::uint64_t, TimePoint> const& sent : heartbeatsSent) {
    digest.add(sent.first);
    digest.add(sent.second);
  }
}

void ReplicationGroup::Impl::digestProposal(messages::StateDigest& digest) const {
  digest.add(proposal.stage);
  if (proposal.stage == ProposalStage::none) {
    return;
  }
  digest.add(proposal.primary);
  digest.add(proposal.backups);
  digest.add(proposal.toSync);
  digest.add(proposal.syncToken);
  digest.add(proposal.sentAt);
  digest.add(proposal.ballot);
  digest.add(proposal.record);
  digest.add(proposal.bestBallot);
  digest.add(proposal.best);
  digest.add(proposal.voters);
  digest.add(proposal.yes);
  digest.add(proposal.retryAt);
}

std::string_view nameOf(LeaveProgress progress) {
  switch (progress) {
    case LeaveProgress::staying:
      return "staying";
    case LeaveProgress::replicaNotReplaced:
      return "replica not replaced";
    case LeaveProgress::voteNotReplaced:
      return "vote not replaced";
    case LeaveProgress::epochNotSpread:
      return "epoch not spread";
    case LeaveProgress::done:
      return "done";
    case LeaveProgress::graceTimeOver:
      return "grace time over";
  }
  return "";
}

Policy policyFor(std::size_t machineLosses) {
  std::size_t const losses = std::clamp<std::size_t>(machineLosses, 1, 4);
  Policy policy;
  policy.leastReplicas = machineLosses == 0 ? 1 : 2;
  policy.mostReplicas = losses + 1;
  policy.mostWitnesses = 2 * losses + 1;
  return policy;
}

ReplicationGroup::ReplicationGroup(Policy const& policy) : impl_(std::make_unique<Impl>(policy)) {}
ReplicationGroup::~ReplicationGroup() = default;
ReplicationGroup::ReplicationGroup(ReplicationGroup const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
ReplicationGroup::ReplicationGroup(ReplicationGroup&&) noexcept = default;
ReplicationGroup& ReplicationGroup::operator=(ReplicationGroup const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
ReplicationGroup& ReplicationGroup::operator=(ReplicationGroup&&) noexcept = default;

std::vector<Effect> ReplicationGroup::step(TimePoint now, Event const& event) {
  impl_->now = now;
  impl_->effects.clear();
  if (impl_->started || std::holds_alternative<Start>(event)) {
    std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  }
  return std::move(impl_->effects);
}

bool ReplicationGroup::active() const { return impl_->leadership == Leadership::active && !impl_->isFenced(); }
bool ReplicationGroup::busy() const { return impl_->ticket.has_value(); }
bool ReplicationGroup::ailing() const { return impl_->ailing() && !impl_->diskless; }
LeaveProgress ReplicationGroup::leaveProgress() const { return impl_->leaveProgress(); }
bool ReplicationGroup::retired() const {
  LeaveProgress const progress = leaveProgress();
  return progress == LeaveProgress::done || progress == LeaveProgress::graceTimeOver;
}
std::string const& ReplicationGroup::id() const { return impl_->self.id; }
messages::EpochRecord const& ReplicationGroup::decided() const { return impl_->vote.decided; }
messages::State const& ReplicationGroup::state() const { return impl_->state; }
std::uint64_t ReplicationGroup::fenced() const { return impl_->vote.fenced; }
std::optional<TimePoint> ReplicationGroup::leadershipConfirmedAt() const { return impl_->confirmedAt; }

std::string ReplicationGroup::primaryAddress() const {
  std::string const& primary = impl_->vote.decided.primary;
  if (primary == impl_->self.id) {
    return impl_->ailing() ? "" : impl_->self.address;
  }
  std::map<std::string, MemberStatus>::const_iterator const found = impl_->members.find(primary);
  return found == impl_->members.end() ? "" : found->second.member.address;
}

std::optional<std::chrono::milliseconds> ReplicationGroup::heardMs(TimePoint now, std::string const& member) const {
  std::map<std::string, MemberStatus>::const_iterator const found = impl_->members.find(member);
  if (found == impl_->members.end() || !found->second.ever) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Ms>(now - found->second.at);
}

std::uint64_t ReplicationGroup::digest(TimePoint now) const {
  Impl const& impl = *impl_;
  messages::StateDigest digest(now, impl.policy.spreadMs);
  digest.add(impl.started);
  digest.add(impl.broken);
  digest.add(impl.diskless);
  digest.add(impl.retiring());
  digest.add(impl.retireAskedAt.value_or(TimePoint{}));
  digest.add(impl.storedEpoch);
  digest.add(impl.mayFound);
  digest.add(impl.self.id);
  digest.add(impl.self.address);
  digest.add(impl.self.zone);
  digest.add(impl.founders);
  digest.add(impl.vote);
  digest.add(impl.state);
  digest.add(impl.schemasStored);
  digest.add(impl.highestRound);
  digest.add(impl.quietSince);
  digest.add(impl.startedAt);
  digest.addDeadline(impl.yieldUntil);
  impl.digestMembers(digest);
  impl.digestPersisting(digest);
  impl.digestLeadership(digest);
  impl.digestProposal(digest);
  return digest.finish();
}

}  // namespace limeramp::replication
