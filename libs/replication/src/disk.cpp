// The member's disk: what it writes, what it reads at its start, and what follows a write that failed.
#include "replication_group_impl.h"

#include <algorithm>

namespace limeramp::replication {

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
  storage = read.ok() ? storage : StorageState::unreadable;
  if (read.ok()) {
    value = *std::move(read);
  }
}

void ReplicationGroup::Impl::restoreRecords(std::map<std::string, std::string> const& stored) {
  restore("vote", stored, acceptor);
  restore("state", stored, state);
}

std::uint64_t ReplicationGroup::Impl::persist(bool withVote, bool withState, std::vector<GroupEffect> then,
                                              bool rewrite) {
  std::uint64_t const token = ++lastPersist;
  Persist effect{token, {}, rewrite};
  if (withVote) {
    store("vote", acceptor, effect.puts);
  }
  if (withState) {
    store("state", state, effect.puts);
  }
  if (withVote && acceptor.isFenced()) {
    fencePersist = token;
  }
  persisting.emplace(token, now);
  persistedEpochs.emplace(token, withVote ? acceptor.decided.epoch : 0);
  afterPersist.emplace(token, std::move(then));
  effects.emplace_back(std::move(effect));
  return token;
}

void ReplicationGroup::Impl::on(PersistFinished const& event) {
  std::map<std::uint64_t, std::vector<GroupEffect>>::iterator const found = afterPersist.find(event.token);
  bool const own = found != afterPersist.end();
  std::vector<GroupEffect> const then = own ? std::move(found->second) : std::vector<GroupEffect>{};
  std::uint64_t const epochOnDisk = own ? persistedEpochs[event.token] : 0;
  if (own) {
    afterPersist.erase(found);
    persisting.erase(event.token);
    persistedEpochs.erase(event.token);
  }
  if (!event.good) {
    onWriteFailed(event.token);
    return;
  }
  if (event.token == rewriteToken) {
    onRewritten(epochOnDisk);
    return;
  }
  if (!own || storageUnusable()) {
    return;
  }
  if (epochOnDisk > storedEpoch) {
    storedEpoch = epochOnDisk;
    tellLeavingMembers();
  }
  for (GroupEffect const& effect : then) {
    if (Send const* const later = std::get_if<Send>(&effect)) {
      send(later->to, later->message);
    } else {
      effects.push_back(effect);
    }
  }
  if (leadership != Leadership::none && replicator.localWriteEnded(event.token)) {
    checkCommit();
  }
}

// What the failed write held is in memory; it is not known whether it is on the disk. Nothing that depends on it has
// been said to anybody.
void ReplicationGroup::Impl::onWriteFailed(std::uint64_t token) {
  if (storage == StorageState::usable) {
    storage = StorageState::failed;
    effects.emplace_back(LogEntry{logging::Event::diskFailed, "a write or sync failed"});
    endLeadership();
    proposal = {};
    membershipChangeDue = false;
    rewriteAt = now + options.diskRetryMs;
  } else if (token == rewriteToken) {
    rewriteToken.reset();
    rewriteAt = now + options.diskRetryMs;
  }
}

// Everything is written anew, not only what failed: the store takes single values again only once it holds all that
// this member has promised, given up and confirmed.
void ReplicationGroup::Impl::rewriteWhenDue() {
  if (storage != StorageState::failed || rewriteToken || !persisting.empty() || now < rewriteAt) {
    return;
  }
  schemasStored.clear();
  rewriteToken = persist(true, true, {}, true);
}

// From here on the member is what a restart with this disk would make of it. An epoch that was learnt during the write
// is stored on its own.
void ReplicationGroup::Impl::onRewritten(std::uint64_t epochOnDisk) {
  rewriteToken.reset();
  storage = StorageState::usable;
  storedEpoch = std::max(storedEpoch, epochOnDisk);
  highestRound = std::max(highestRound, acceptor.highestRound());
  effects.emplace_back(LogEntry{logging::Event::diskRecovered, "vote and state are written anew"});
  if (acceptor.decided.epoch > epochOnDisk) {
    persist(true, false, {});
  }
  beginLeadership();
  heartbeatAll();
}

void ReplicationGroup::Impl::digestPersisting(messages::StateDigest& digest) const {
  digest.add(persisting.size());
  for (std::pair<std::uint64_t const, TimePoint> const& entry : persisting) {
    digest.add(lastPersist - entry.first);
    digest.add(entry.second);
    digest.add(entry.first == replicator.persistToken());
    digest.add(entry.first == fencePersist);
    digest.add(persistedEpochs.at(entry.first));
    for (GroupEffect const& effect : afterPersist.at(entry.first)) {
      if (Send const* const send = std::get_if<Send>(&effect)) {
        digest.add(send->to);
        digest.add(send->message);
      }
    }
  }
}

}  // namespace limeramp::replication
