#include "limeramp/query/query_engine.h"

#include "limeramp/net/ring.h"

#include <picojson.h>
#include <sqlite3.h>

#include <thread>

namespace limeramp::query {
namespace {

using Clock = std::chrono::steady_clock;

struct Close {
  void operator()(sqlite3* base) const { sqlite3_close(base); }
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};

using Base = std::unique_ptr<sqlite3, Close>;
using Statement = std::unique_ptr<sqlite3_stmt, Close>;

absl::Status failure(sqlite3* base) { return absl::InvalidArgumentError(sqlite3_errmsg(base)); }

absl::StatusOr<Statement> prepare(sqlite3* base, std::string const& text) {
  sqlite3_stmt* raw = nullptr;
  char const* rest = nullptr;
  if (sqlite3_prepare_v2(base, text.c_str(), static_cast<int>(text.size()), &raw, &rest) != SQLITE_OK) {
    return failure(base);
  }
  Statement statement(raw);
  if (statement == nullptr) {
    return absl::InvalidArgumentError("no statement");
  }
  if (std::string(rest).find_first_not_of(" \t\r\n;") != std::string::npos) {
    return absl::InvalidArgumentError("more than one statement");
  }
  return statement;
}

absl::Status fill(sqlite3* base, Table const& table) {
  std::string columns;
  std::string placeholders;
  for (std::string const& column : table.columns) {
    columns += (columns.empty() ? "\"" : ",\"") + column + "\"";
    placeholders += placeholders.empty() ? "?" : ",?";
  }
  std::string const create = "CREATE TABLE \"" + table.name + "\"(" + columns + ")";
  if (sqlite3_exec(base, create.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) {
    return failure(base);
  }
  absl::StatusOr<Statement> const insert =
      prepare(base, "INSERT INTO \"" + table.name + "\" VALUES(" + placeholders + ")");
  if (!insert.ok()) {
    return insert.status();
  }
  for (std::vector<Cell> const& row : table.rows) {
    int columnIndex = 0;
    for (Cell const& cell : row) {
      ++columnIndex;
      if (std::int64_t const* const integer = std::get_if<std::int64_t>(&cell)) {
        sqlite3_bind_int64(insert->get(), columnIndex, *integer);
      } else if (double const* const number = std::get_if<double>(&cell)) {
        sqlite3_bind_double(insert->get(), columnIndex, *number);
      } else {
        std::string const& text = std::get<std::string>(cell);
        sqlite3_bind_text(insert->get(), columnIndex, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
      }
    }
    if (sqlite3_step(insert->get()) != SQLITE_DONE) {
      return failure(base);
    }
    sqlite3_reset(insert->get());
  }
  return absl::OkStatus();
}

int admitRead(void*, int action, char const*, char const* second, char const*, char const*) {
  bool const reads = action == SQLITE_SELECT || action == SQLITE_READ || action == SQLITE_RECURSIVE;
  bool const calls = action == SQLITE_FUNCTION && second != nullptr && std::string_view(second) != "load_extension";
  return reads || calls ? SQLITE_OK : SQLITE_DENY;
}

int tooLate(void* end) { return Clock::now() >= *static_cast<Clock::time_point const*>(end) ? 1 : 0; }

std::string cellText(sqlite3_stmt* statement, int column) {
  switch (sqlite3_column_type(statement, column)) {
    case SQLITE_INTEGER:
      return std::to_string(sqlite3_column_int64(statement, column));
    case SQLITE_FLOAT:
      return picojson::value(sqlite3_column_double(statement, column)).serialize();
    case SQLITE_NULL:
      return "null";
    default: {
      char const* const bytes = reinterpret_cast<char const*>(sqlite3_column_text(statement, column));
      std::size_t const size = static_cast<std::size_t>(sqlite3_column_bytes(statement, column));
      return picojson::value(std::string(bytes == nullptr ? "" : bytes, bytes == nullptr ? 0 : size)).serialize();
    }
  }
}

}  // namespace

absl::StatusOr<std::string> ask(std::vector<Table> const& tables, std::string const& query, Bounds const& bounds) {
  if (query.size() > bounds.maxQueryBytes) {
    return absl::InvalidArgumentError("longer than " + std::to_string(bounds.maxQueryBytes) + " bytes");
  }
  sqlite3* raw = nullptr;
  int const opened =
      sqlite3_open_v2(":memory:", &raw, SQLITE_OPEN_READWRITE | SQLITE_OPEN_MEMORY | SQLITE_OPEN_NOMUTEX, nullptr);
  Base const base(raw);
  if (opened != SQLITE_OK) {
    return absl::ResourceExhaustedError("no memory");
  }
  sqlite3_limit(base.get(), SQLITE_LIMIT_ATTACHED, 0);
  sqlite3_limit(base.get(), SQLITE_LIMIT_LENGTH, static_cast<int>(bounds.maxAnswerBytes));
  sqlite3_limit(base.get(), SQLITE_LIMIT_EXPR_DEPTH, 50);
  sqlite3_limit(base.get(), SQLITE_LIMIT_COMPOUND_SELECT, 20);
  std::string const pages =
      "PRAGMA max_page_count=" + std::to_string(bounds.maxMemoryBytes / 4096) + ";PRAGMA temp_store=MEMORY";
  sqlite3_exec(base.get(), pages.c_str(), nullptr, nullptr, nullptr);
  for (Table const& table : tables) {
    absl::Status const filled = fill(base.get(), table);
    if (!filled.ok()) {
      return filled;
    }
  }
  Clock::time_point end = Clock::now() + bounds.waitMs;
  sqlite3_set_authorizer(base.get(), admitRead, nullptr);
  sqlite3_progress_handler(base.get(), 1000, tooLate, &end);
  absl::StatusOr<Statement> const statement = prepare(base.get(), query);
  if (!statement.ok()) {
    return statement.status();
  }
  int const columns = sqlite3_column_count(statement->get());
  std::string out = "{\"columns\":[";
  for (int column = 0; column < columns; ++column) {
    out += (column == 0 ? "" : ",") +
           picojson::value(std::string(sqlite3_column_name(statement->get(), column))).serialize();
  }
  out += "],\"rows\":[";
  std::size_t rows = 0;
  bool more = false;
  for (;;) {
    int const stepped = sqlite3_step(statement->get());
    if (stepped == SQLITE_DONE) {
      break;
    }
    if (stepped == SQLITE_INTERRUPT) {
      return absl::InvalidArgumentError("takes longer than " + std::to_string(bounds.waitMs.count()) + " ms");
    }
    if (stepped != SQLITE_ROW) {
      return failure(base.get());
    }
    if (rows == bounds.maxRows || out.size() > bounds.maxAnswerBytes) {
      more = true;
      break;
    }
    out += rows == 0 ? "[" : ",[";
    for (int column = 0; column < columns; ++column) {
      out += (column == 0 ? "" : ",") + cellText(statement->get(), column);
    }
    out += "]";
    ++rows;
  }
  return out + "],\"more\":" + (more ? "true" : "false") + "}";
}

struct QueryWorker::Impl {
  struct OperatorCall {
    std::vector<Table> tables;
    std::string query;
    Done done;
  };
  net::Ring<OperatorCall> ring{8};
  std::thread thread;
};

QueryWorker::QueryWorker() : impl_(std::make_unique<Impl>()) {
  impl_->thread = std::thread([this] {
    while (std::optional<Impl::OperatorCall> call = impl_->ring.pop()) {
      call->done(query::ask(call->tables, call->query));
    }
  });
}

QueryWorker::~QueryWorker() {
  impl_->ring.close();
  impl_->thread.join();
}

bool QueryWorker::ask(std::vector<Table> tables, std::string query, Done done) {
  return impl_->ring.tryPush({std::move(tables), std::move(query), std::move(done)});
}

}  // namespace limeramp::query
