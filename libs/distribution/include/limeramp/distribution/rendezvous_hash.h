#pragma once

#include <string>
#include <vector>

namespace limeramp::distribution {

/// Rendezvous hashing: `nodes` in the order in which they own `topic`. All who know the same nodes get the same order,
/// and a node that comes or goes moves no other two. The first one that is alive is the owner.
std::vector<std::string> rankByRendezvousHash(std::string const& topic, std::vector<std::string> nodes);

}  // namespace limeramp::distribution
