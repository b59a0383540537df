#pragma once

#include "limeramp/messages/codec.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages that hand the servers of each service from the reader of the platform's list to the nodes of a zone.
namespace limeramp::messages {

/// One server of a service, as the platform's list shows it; times are ages, so that no two clocks are compared.
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

/// The servers of one service, or only the digest that names them where `complete` is false.
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

/// Asks the owner of services in a zone for their tables; `have` names the digests that the sender holds.
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

/// The tables that differ from those that were named, the others by digest only.
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
