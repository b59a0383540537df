#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::query {

using Cell = std::variant<std::int64_t, double, std::string>;

struct Table {
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;
};

struct Bounds {
  std::size_t maxQueryBytes = 4096;
  std::size_t maxRows = 1000;
  std::size_t maxAnswerBytes = 1 << 20;
  std::size_t maxMemoryBytes = 64 << 20;
  std::chrono::milliseconds waitMs{200};
};

absl::StatusOr<std::string> ask(std::vector<Table> const& tables, std::string const& query, Bounds const& bounds = {});

class QueryWorker {
 public:
  using Done = std::function<void(absl::StatusOr<std::string>)>;
  QueryWorker();
  ~QueryWorker();
  QueryWorker(QueryWorker const&) = delete;
  QueryWorker& operator=(QueryWorker const&) = delete;

  bool ask(std::vector<Table> tables, std::string query, Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::query
