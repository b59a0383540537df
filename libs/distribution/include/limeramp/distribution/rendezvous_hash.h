#pragma once

#include <string>
#include <vector>

namespace limeramp::distribution {

/// Rendezvous hashing: returns `nodes` in the order of their claim to own `topic`; the first one that is alive is the
/// owner. Everyone who knows the same nodes gets the same order, and adding or removing a node does not change the
/// relative order of the others.
std::vector<std::string> rankByRendezvousHash(std::string const& topic, std::vector<std::string> nodes);

}  // namespace limeramp::distribution
