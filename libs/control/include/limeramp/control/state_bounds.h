#pragma once

#include "limeramp/control/config_service.h"

#include <cstddef>

/// How long the replicated state can become, and what a controller's disk must hold for it. Every change that the
/// configuration service accepts fits on the disk by construction: a change that could not be stored would end the work
/// of the primary and of all backups at once.
namespace limeramp::control {

/// Bytes of a node's name, zone or address on the roster. A node with a longer one stays off the roster.
constexpr std::size_t maxRosterTextBytes = 256;

/// Bytes of the longest encoded messages::State that the service replicates under these options.
std::size_t maxStateBytes(ConfigServiceOptions const& options);

/// Bytes of one file of the record store in which the longest state fits beside all other records of a controller.
std::size_t minStoreFileBytes(ConfigServiceOptions const& options);

}  // namespace limeramp::control
