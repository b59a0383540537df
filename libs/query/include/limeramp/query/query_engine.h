#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Read-only SQL queries on copies of a node's tables, which SQLite holds in memory.
namespace limeramp::query {

/// A value in a table row.
using Cell = std::variant<std::int64_t, double, std::string>;

/// A table to query. Each row has one cell per column.
struct Table {
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;
};

/// Limits of one query. A query that exceeds a limit fails, except that rows beyond `maxRows` or `maxAnswerBytes` are
/// left out and the answer is marked with `"more":true`.
struct QueryLimits {
  std::size_t maxQueryBytes = 4096;
  std::size_t maxRows = 1000;
  std::size_t maxAnswerBytes = 1 << 20;
  std::size_t maxMemoryBytes = 64 << 20;
  /// Run time of the query, without the time to copy the tables.
  std::chrono::milliseconds timeoutMs{200};
};

/// Runs one read-only statement and returns its columns and rows as JSON. InvalidArgument with SQLite's message if it
/// is rejected, fails or exceeds a limit; ResourceExhausted if no database could be opened. Blocks the caller.
absl::StatusOr<std::string> runQuery(std::vector<Table> const& tables, std::string const& query,
                                     QueryLimits const& limits = {});

/// Runs queries on a dedicated thread, one at a time. `done` is called on that thread. Safe to call from any
/// thread.
class QueryWorker {
 public:
  using Done = std::function<void(absl::StatusOr<std::string>)>;
  QueryWorker();
  ~QueryWorker();
  QueryWorker(QueryWorker const&) = delete;
  QueryWorker& operator=(QueryWorker const&) = delete;

  /// Queues a query. False if the queue is full; `done` is then not called.
  bool ask(std::vector<Table> tables, std::string query, Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::query
