#pragma once

#include "limeramp/control/config_service.h"

#include <cstddef>

/// Upper bounds of the encoded size of the replicated state, and of the disk space that it needs on a controller. Every
/// change that the configuration service accepts fits on the disk by construction: a change that could not be stored
/// would stop the primary and all backups at once.
namespace limeramp::control {

/// Limit in bytes of a node's name, zone or address on the roster. A node with a longer one stays off the roster.
constexpr std::size_t maxRosterTextBytes = 256;

/// Upper bound in bytes of an encoded messages::State that the service replicates under these options.
std::size_t maxStateBytes(ConfigServiceOptions const& options);

/// Smallest size in bytes of a record store file that holds the longest state and all other records of a controller.
std::size_t minStoreFileBytes(ConfigServiceOptions const& options);

}  // namespace limeramp::control
