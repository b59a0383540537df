// Persistence of a member: its records, their restoration at the start, and recovery from a failed write.
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

std::uint64_t ReplicationGroup::Impl::persist(bool withVote, bool withState, std::vector<GroupEffect> effectsOnceStored,
                                              bool rewrite) {
  std::uint64_t const token = ++lastPersistToken;
  Persist effect{token, {}, rewrite};
  if (withVote) {
    store("vote", acceptor, effect.puts);
  }
  if (withState) {
    store("state", state, effect.puts);
  }
  if (withVote && acceptor.isFenced()) {
    fencePersistToken = token;
  }
  pendingWrites.emplace(token, now);
  pendingWriteEpochs.emplace(token, withVote ? acceptor.decided.epoch : 0);
  deferredEffects.emplace(token, std::move(effectsOnceStored));
  effects.emplace_back(std::move(effect));
  return token;
}

void ReplicationGroup::Impl::on(PersistFinished const& event) {
  std::map<std::uint64_t, std::vector<GroupEffect>>::iterator const found = deferredEffects.find(event.token);
  bool const knownToken = found != deferredEffects.end();
  std::vector<GroupEffect> const effectsOnceStored = knownToken ? std::move(found->second) : std::vector<GroupEffect>{};
  std::uint64_t const epochOnDisk = knownToken ? pendingWriteEpochs[event.token] : 0;
  if (knownToken) {
    deferredEffects.erase(found);
    pendingWrites.erase(event.token);
    pendingWriteEpochs.erase(event.token);
  }
  if (!event.good) {
    onWriteFailed(event.token);
    return;
  }
  if (event.token == rewriteToken) {
    onRewritten(epochOnDisk);
    return;
  }
  if (!knownToken || storageUnusable()) {
    return;
  }
  if (epochOnDisk > storedEpoch) {
    storedEpoch = epochOnDisk;
    heartbeatLeavingMembers();
  }
  for (GroupEffect const& effect : effectsOnceStored) {
    if (Send const* const deferredSend = std::get_if<Send>(&effect)) {
      send(deferredSend->to, deferredSend->message);
    } else {
      effects.push_back(effect);
    }
  }
  if (leadership != Leadership::none && replicator.localWriteEnded(event.token)) {
    checkCommit();
  }
}

// The values of the failed write are in memory; whether they are on the disk is unknown. No message that depends on
// them was sent.
void ReplicationGroup::Impl::onWriteFailed(std::uint64_t token) {
  if (storage == StorageState::usable) {
    storage = StorageState::failed;
    effects.emplace_back(LogEntry{logging::Event::diskFailed, "a write or sync failed"});
    endLeadership();
    proposal = {};
    membershipChangeDue = false;
    rewriteDueAt = now + options.diskRetryMs;
  } else if (token == rewriteToken) {
    rewriteToken.reset();
    rewriteDueAt = now + options.diskRetryMs;
  }
}

// Writes all records again, not only the failed ones: the store accepts single values again only once it holds all that
// this member has promised, fenced and confirmed.
void ReplicationGroup::Impl::rewriteWhenDue() {
  if (storage != StorageState::failed || rewriteToken || !pendingWrites.empty() || now < rewriteDueAt) {
    return;
  }
  schemasStored.clear();
  rewriteToken = persist(true, true, {}, true);
}

// After the rewrite the member is in the state that a restart from this disk would give it. An epoch that was learnt
// during the rewrite is stored by a separate write.
void ReplicationGroup::Impl::onRewritten(std::uint64_t epochOnDisk) {
  rewriteToken.reset();
  storage = StorageState::usable;
  storedEpoch = std::max(storedEpoch, epochOnDisk);
  highestRound = std::max(highestRound, acceptor.highestRound());
  effects.emplace_back(LogEntry{logging::Event::diskRecovered, "all records were written again"});
  if (acceptor.decided.epoch > epochOnDisk) {
    persist(true, false, {});
  }
  beginLeadership();
  heartbeatAll();
}

void ReplicationGroup::Impl::digestPendingWrites(messages::StateDigest& digest) const {
  digest.add(pendingWrites.size());
  for (std::pair<std::uint64_t const, TimePoint> const& entry : pendingWrites) {
    digest.add(lastPersistToken - entry.first);
    digest.add(entry.second);
    digest.add(entry.first == replicator.persistToken());
    digest.add(entry.first == fencePersistToken);
    digest.add(pendingWriteEpochs.at(entry.first));
    for (GroupEffect const& effect : deferredEffects.at(entry.first)) {
      if (Send const* const send = std::get_if<Send>(&effect)) {
        digest.add(send->to);
        digest.add(send->message);
      }
    }
  }
}

}  // namespace limeramp::replication
