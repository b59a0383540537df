#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// SQL queries on copies of a node's tables, by SQLite in memory.
namespace limeramp::query {

/// A value of a table.
using Cell = std::variant<std::int64_t, double, std::string>;

/// A copy of a table.
struct Table {
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;
};

/// What one query may cost. It is ended when it goes beyond.
struct Bounds {
  std::size_t maxQueryBytes = 4096;
  std::size_t maxRows = 1000;
  std::size_t maxAnswerBytes = 1 << 20;
  std::size_t maxMemoryBytes = 64 << 20;
  std::chrono::milliseconds waitMs{200};
};

/// Runs one statement that only reads and returns its rows as JSON. InvalidArgument with SQLite's words;
/// ResourceExhausted beyond the bounds. Blocks the caller.
absl::StatusOr<std::string> ask(std::vector<Table> const& tables, std::string const& query, Bounds const& bounds = {});

/// Runs queries on a thread of its own, one after another. `done` is called on that thread. Safe to call from any
/// thread.
class QueryWorker {
 public:
  using Done = std::function<void(absl::StatusOr<std::string>)>;
  QueryWorker();
  ~QueryWorker();
  QueryWorker(QueryWorker const&) = delete;
  QueryWorker& operator=(QueryWorker const&) = delete;

  /// False if too many queries wait; then `done` is not called.
  bool ask(std::vector<Table> tables, std::string query, Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::query
