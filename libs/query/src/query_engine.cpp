#include "limeramp/query/query_engine.h"

#include "limeramp/net/ring.h"

#include <picojson.h>
#include <sqlite3.h>

#include <thread>

namespace limeramp::query {
namespace {

using Clock = std::chrono::steady_clock;

struct SqliteDeleter {
  void operator()(sqlite3* database) const { sqlite3_close(database); }
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};

using Database = std::unique_ptr<sqlite3, SqliteDeleter>;
using Statement = std::unique_ptr<sqlite3_stmt, SqliteDeleter>;

absl::Status sqliteError(sqlite3* database) { return absl::InvalidArgumentError(sqlite3_errmsg(database)); }

absl::StatusOr<Statement> prepare(sqlite3* database, std::string const& text) {
  sqlite3_stmt* raw = nullptr;
  char const* rest = nullptr;
  if (sqlite3_prepare_v2(database, text.c_str(), static_cast<int>(text.size()), &raw, &rest) != SQLITE_OK) {
    return sqliteError(database);
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

absl::Status copyTable(sqlite3* database, Table const& table) {
  std::string columns;
  std::string placeholders;
  for (std::string const& column : table.columns) {
    columns += (columns.empty() ? "\"" : ",\"") + column + "\"";
    placeholders += placeholders.empty() ? "?" : ",?";
  }
  std::string const create = "CREATE TABLE \"" + table.name + "\"(" + columns + ")";
  if (sqlite3_exec(database, create.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) {
    return sqliteError(database);
  }
  absl::StatusOr<Statement> const insert =
      prepare(database, "INSERT INTO \"" + table.name + "\" VALUES(" + placeholders + ")");
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
      return sqliteError(database);
    }
    sqlite3_reset(insert->get());
  }
  return absl::OkStatus();
}

int authorizeReadOnly(void*, int action, char const*, char const* functionName, char const*, char const*) {
  bool const reads = action == SQLITE_SELECT || action == SQLITE_READ || action == SQLITE_RECURSIVE;
  bool const calls =
      action == SQLITE_FUNCTION && functionName != nullptr && std::string_view(functionName) != "load_extension";
  return reads || calls ? SQLITE_OK : SQLITE_DENY;
}

int deadlinePassed(void* deadline) { return Clock::now() >= *static_cast<Clock::time_point const*>(deadline) ? 1 : 0; }

std::string jsonOf(sqlite3_stmt* statement, int column) {
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

absl::StatusOr<std::string> runQuery(std::vector<Table> const& tables, std::string const& query,
                                     QueryLimits const& limits) {
  if (query.size() > limits.maxQueryBytes) {
    return absl::InvalidArgumentError("longer than " + std::to_string(limits.maxQueryBytes) + " bytes");
  }
  sqlite3* raw = nullptr;
  int const openStatus =
      sqlite3_open_v2(":memory:", &raw, SQLITE_OPEN_READWRITE | SQLITE_OPEN_MEMORY | SQLITE_OPEN_NOMUTEX, nullptr);
  Database const database(raw);
  if (openStatus != SQLITE_OK) {
    return absl::ResourceExhaustedError("no memory");
  }
  sqlite3_limit(database.get(), SQLITE_LIMIT_ATTACHED, 0);
  sqlite3_limit(database.get(), SQLITE_LIMIT_LENGTH, static_cast<int>(limits.maxAnswerBytes));
  sqlite3_limit(database.get(), SQLITE_LIMIT_EXPR_DEPTH, 50);
  sqlite3_limit(database.get(), SQLITE_LIMIT_COMPOUND_SELECT, 20);
  std::string const pragmas =
      "PRAGMA max_page_count=" + std::to_string(limits.maxMemoryBytes / 4096) + ";PRAGMA temp_store=MEMORY";
  sqlite3_exec(database.get(), pragmas.c_str(), nullptr, nullptr, nullptr);
  for (Table const& table : tables) {
    absl::Status const copied = copyTable(database.get(), table);
    if (!copied.ok()) {
      return copied;
    }
  }
  Clock::time_point deadline = Clock::now() + limits.timeoutMs;
  sqlite3_set_authorizer(database.get(), authorizeReadOnly, nullptr);
  sqlite3_progress_handler(database.get(), 1000, deadlinePassed, &deadline);
  absl::StatusOr<Statement> const statement = prepare(database.get(), query);
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
    int const status = sqlite3_step(statement->get());
    if (status == SQLITE_DONE) {
      break;
    }
    if (status == SQLITE_INTERRUPT) {
      return absl::InvalidArgumentError("takes longer than " + std::to_string(limits.timeoutMs.count()) + " ms");
    }
    if (status != SQLITE_ROW) {
      return sqliteError(database.get());
    }
    if (rows == limits.maxRows || out.size() > limits.maxAnswerBytes) {
      more = true;
      break;
    }
    out += rows == 0 ? "[" : ",[";
    for (int column = 0; column < columns; ++column) {
      out += (column == 0 ? "" : ",") + jsonOf(statement->get(), column);
    }
    out += "]";
    ++rows;
  }
  return out + "],\"more\":" + (more ? "true" : "false") + "}";
}

struct QueryWorker::Impl {
  struct Job {
    std::vector<Table> tables;
    std::string query;
    Done done;
  };
  net::Ring<Job> queue{8};
  std::thread thread;
};

QueryWorker::QueryWorker() : impl_(std::make_unique<Impl>()) {
  impl_->thread = std::thread([this] {
    while (std::optional<Impl::Job> job = impl_->queue.pop()) {
      job->done(query::runQuery(job->tables, job->query));
    }
  });
}

QueryWorker::~QueryWorker() {
  impl_->queue.close();
  impl_->thread.join();
}

bool QueryWorker::ask(std::vector<Table> tables, std::string query, Done done) {
  return impl_->queue.tryPush({std::move(tables), std::move(query), std::move(done)});
}

}  // namespace limeramp::query
