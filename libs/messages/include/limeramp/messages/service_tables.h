#pragma once

#include "limeramp/messages/codec.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages that distribute the servers of each service from the node that reads the platform's list to its zone.
namespace limeramp::messages {

/// One server of a service, as in the platform's list. Times are relative, so that clocks of two machines are never
/// compared.
struct TableRow {
  static constexpr char const* name = "TableRow";
  std::string address;
  std::string zone;
  double capacity = 0;
  bool draining = false;
  std::uint64_t slowStartMs = 0;
  std::uint64_t ageMs = 0;
  std::string incarnation{};
  std::uint64_t warmupMs = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("address", self.address);
    visit("zone", self.zone);
    visit("capacity", self.capacity);
    visit("leaving", self.draining);
    visit("slowStartMs", self.slowStartMs);
    visit("ageMs", self.ageMs);
    visit("life", self.incarnation);
    visit("coldMs", self.warmupMs);
  }
};

/// The servers of one service; only their digest if `complete` is false.
struct Table {
  static constexpr char const* name = "Table";
  std::string service;
  std::uint64_t digest = 0;
  bool complete = false;
  std::vector<TableRow> rows;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("service", self.service);
    visit("digest", self.digest);
    visit("whole", self.complete);
    visit("rows", self.rows);
  }
};

/// Asks the owner of services in a zone for their tables; `have` lists the digests of the sender's tables.
struct TableRequest {
  static constexpr char const* name = "TablePoll";
  std::string node;
  std::string address;
  std::vector<Table> have;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("have", self.have);
  }
};

/// Answers a TableRequest: complete tables where the digests differ, otherwise digests only. Also pushed to
/// followers when a table changes.
struct TableResponse {
  static constexpr char const* name = "TableNews";
  std::string node;
  std::vector<Table> tables;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("tables", self.tables);
  }
};

}  // namespace limeramp::messages
