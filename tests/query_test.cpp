#include "limeramp/query/query_engine.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp::query;

std::vector<Table> const tables{
    {"servers",
     {"address", "load", "down"},
     {{std::string("a"), 0.5, std::int64_t(0)}, {std::string("b'\"x"), 1.5, std::int64_t(1)}}}};

TEST(Query, ReturnsColumnsAndRowsAsJson) {
  EXPECT_EQ(*runQuery(tables, "SELECT address, load FROM servers WHERE down = 1"),
            R"({"columns":["address","load"],"rows":[["b'\"x",1.5]],"more":false})");
  EXPECT_EQ(*runQuery(tables, "select count(*) as n, max(load) from servers;"),
            R"x({"columns":["n","max(load)"],"rows":[[2,1.5]],"more":false})x");
}

TEST(Query, RefusesWritesAttachesExtensionsAndMalformedStatements) {
  for (char const* const query :
       {"DELETE FROM servers", "INSERT INTO servers VALUES(1,2,3)", "UPDATE servers SET load=0", "DROP TABLE servers",
        "CREATE TABLE x(y)", "ATTACH '/tmp/x' AS y", "PRAGMA journal_mode=WAL", "SELECT load_extension('x')",
        "VACUUM INTO '/tmp/x'", "BEGIN", "SELECT 1; DELETE FROM servers", "SELECT * FROM nowhere", "SELEC 1", "",
        ";"}) {
    EXPECT_FALSE(runQuery(tables, query).ok()) << query;
  }
}

TEST(Query, LimitsRunTimeRowsAndSize) {
  EXPECT_FALSE(
      runQuery(tables, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n) SELECT sum(i) FROM n").ok());
  QueryLimits limits;
  limits.maxRows = 5;
  absl::StatusOr<std::string> const firstRows =
      runQuery(tables, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n) SELECT i FROM n", limits);
  ASSERT_TRUE(firstRows.ok());
  EXPECT_EQ(*firstRows, R"({"columns":["i"],"rows":[[1],[2],[3],[4],[5]],"more":true})");
  EXPECT_FALSE(runQuery(tables, "SELECT zeroblob(100000000)").ok());
  EXPECT_FALSE(runQuery(tables, "SELECT '" + std::string(5000, 'x') + "'").ok());
}

}  // namespace
