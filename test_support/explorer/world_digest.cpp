#include "explorer/world.h"

#include "limeramp/messages/state_digest.h"

#include <algorithm>

/// The digest by which a search recognizes equal worlds.
namespace limeramp::explorer {
namespace {

std::uint64_t digestOf(Member const& member) {
  messages::StateDigest digest(member.clock, Ms(5000));
  digest.add(member.id);
  digest.add(member.address);
  digest.add(member.up);
  digest.add(member.mayFound);
  digest.add(member.shuttingDown);
  digest.add(member.incarnation);
  digest.add(member.disk);
  for (replication::Persist const& write : member.unsynced) {
    digest.add(write.puts);
    digest.add(write.rewrite);
  }
  digest.add(member.storeFailed);
  digest.add(member.up ? member.group.digest(member.clock) : 0);
  digest.add(member.configService ? member.configService->digest(member.clock) : 0);
  for (AcknowledgedMark const& mark : member.acknowledgedMarks) {
    digest.add(mark.at);
    digest.add(mark.size);
  }
  return digest.finish();
}

}  // namespace

std::uint64_t digestOf(Packet const& packet) {
  messages::StateDigest digest({}, Ms(0));
  digest.add(packet.from);
  digest.add(packet.fromAddress);
  digest.add(packet.toAddress);
  digest.add(packet.message);
  return digest.finish();
}

std::shared_ptr<Member> MemberPool::intern(std::shared_ptr<Member> member) {
  std::weak_ptr<Member>& known = members_[*member->digest];
  if (std::shared_ptr<Member> same = known.lock()) {
    return same;
  }
  known = member;
  prune();
  return member;
}

void MemberPool::prune() {
  if (members_.size() < pruneAt_) {
    return;
  }
  std::erase_if(members_, [](std::pair<std::uint64_t const, std::weak_ptr<Member>> const& entry) {
    return entry.second.expired();
  });
  pruneAt_ = std::max<std::size_t>(1 << 16, members_.size() * 2);
}

std::uint64_t World::digest(MemberPool* pool) {
  messages::StateDigest digest({}, Ms(0));
  for (std::shared_ptr<Member>& member : members_) {
    if (!member->digest) {
      member->digest = digestOf(*member);
      if (pool != nullptr) {
        member = pool->intern(std::move(member));
      }
    }
    digest.add(*member->digest);
  }
  std::uint64_t packets = 0;
  for (std::shared_ptr<Packet const> const& packet : packets_) {
    packets += packet->digest * 0x9e3779b97f4a7c15ULL;
  }
  digest.add(packets);
  digest.add(cuts_);
  for (Operator const& caller : operators_) {
    digest.add(caller.started);
    digest.add(caller.open);
    digest.add(caller.baseRevision);
  }
  digest.add(history_->digest());
  for (std::size_t const left :
       {budget_.offers, budget_.reads, budget_.ticks, budget_.jumps, budget_.crashes, budget_.wipes,
        budget_.replacements, budget_.shutdowns, budget_.duplicates, budget_.drops, budget_.cuts}) {
    digest.add(left);
  }
  return digest.finish();
}

}  // namespace limeramp::explorer
