#include "limeramp/config/configuration.h"
#include "limeramp/config/settings.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp::config;

std::string const validDocument = R"({
  "services": {"p0": {"capacity": 20}, "p1": {}, "logs": {}},
  "searches": {"packages": {"tenant": "kelaniya", "prefix": "/packages", "result_size": 5, "minimum_shards": 1,
    "shards": [{"service": "p0", "cut": "c1"}, {"service": "p1", "cut": "c1"}]}},
  "routes": {"logs": {"tenant": "kelaniya", "prefix": "/packages/logs", "service": "logs"}},
  "cells": {"north": {"tenants": ["kelaniya"], "nodes": ["m01"]}}})";

std::vector<Problem> problemsOf(std::string const& patch) {
  picojson::value const document = mergePatch(*parseJson(validDocument), *parseJson(patch));
  CheckedConfiguration const checked = checkConfiguration(document);
  EXPECT_EQ(checked.configuration.has_value(), checked.problems.empty());
  return checked.problems;
}

TEST(Json, RefusesDuplicateKeysTrailingTextInfiniteNumbersAndExcessiveSize) {
  EXPECT_FALSE(parseJson(R"({"a":{"b":1,"b":2}})").ok());
  EXPECT_EQ(parseJson(R"({"a":{"b":1,"b":2}})").status().message(), "/a/b: key given twice");
  EXPECT_FALSE(parseJson("{} x").ok());
  EXPECT_FALSE(parseJson("[1e999]").ok());
  EXPECT_FALSE(parseJson(std::string(30, '[') + std::string(30, ']')).ok());
  EXPECT_FALSE(parseJson("[1,2,3]", {100, 5, 3}).ok());
  EXPECT_FALSE(parseJson("[1,2,3]", {6, 5, 30}).ok());
  EXPECT_TRUE(parseJson(" [1,2,3] \n").ok());
}

TEST(MergePatch, GivesTheResultsOfTheExamplesInRfc7386) {
  std::vector<std::array<std::string, 3>> const cases{{R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
                                                      {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
                                                      {R"({"a":[1]})", R"({"a":{"b":null,"c":1}})", R"({"a":{"c":1}})"},
                                                      {R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})"},
                                                      {R"({"e":null})", R"({"a":1})", R"({"a":1,"e":null})"},
                                                      {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"}};
  for (std::array<std::string, 3> const& example : cases) {
    EXPECT_EQ(mergePatch(*parseJson(example[0]), *parseJson(example[1])).serialize(), example[2]);
  }
}

TEST(Configuration, AcceptsAValidDocumentAndFindsTheLongestPrefix) {
  CheckedConfiguration const checked = checkConfiguration(*parseJson(validDocument));
  ASSERT_TRUE(checked.configuration.has_value());
  Configuration const& configuration = *checked.configuration;
  EXPECT_TRUE(std::holds_alternative<Search const*>(findTarget(configuration, "", "kelaniya", "/packages/zlib")));
  EXPECT_TRUE(std::holds_alternative<Route const*>(findTarget(configuration, "", "kelaniya", "/packages/logs/7")));
  EXPECT_TRUE(std::holds_alternative<Search const*>(findTarget(configuration, "", "kelaniya", "/packages/logsx")));
  EXPECT_TRUE(std::holds_alternative<std::monostate>(findTarget(configuration, "", "kelaniya", "/packagesx")));
  EXPECT_TRUE(std::holds_alternative<std::monostate>(findTarget(configuration, "", "kiln", "/packages")));
}

TEST(Configuration, ReportsThePathOfEachProblem) {
  EXPECT_EQ(problemsOf(R"({"searches":{"packages":{"minimum_shards":3}}})").at(0).path,
            "/searches/packages/minimum_shards");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"service":"gone"}}})").at(0).path, "/routes/logs/service");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"max_attempts":1.5}}})").at(0).path, "/routes/logs/max_attempts");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"deadline_ms":0}}})").at(0).path, "/routes/logs/deadline_ms");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"colour":"red"}}})").at(0).path, "/routes/logs/colour");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"prefix":"/packages"}}})").at(0).path, "/routes/logs/prefix");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"repeatable":"yes"}}})").at(0).path, "/routes/logs/repeatable");
  EXPECT_EQ(problemsOf(R"({"services":{"p0":{"capacity":-1}}})").at(0).path, "/services/p0/capacity");
  EXPECT_EQ(
      problemsOf(R"({"searches":{"packages":{"shards":[{"service":"p0","cut":"a"},{"service":"p0","cut":"b"}]}}})")
          .at(0)
          .path,
      "/searches/packages/shards/1/service");
  EXPECT_EQ(problemsOf(R"({"cells":{"south":{"tenants":["kelaniya"],"nodes":["m02"]}}})").at(0).path,
            "/cells/south/tenants");
  EXPECT_EQ(problemsOf(R"({"routes":{"logs":{"deadline_ms":0,"colour":1}},"extra":1})").size(), 3u);
  EXPECT_TRUE(problemsOf("{}").empty());
}

TEST(Version, ParsesOnlyTheFormThatTextGives) {
  EXPECT_EQ(Version::parse("3.14"), (Version{3, 14}));
  EXPECT_EQ((Version{3, 14}).text(), "3.14");
  for (char const* const malformed : {"", "3", "3.", ".4", "3.4x", "-1.2", "3.4.5", "99999999999999999999.1"}) {
    EXPECT_FALSE(Version::parse(malformed).has_value()) << malformed;
  }
}

TEST(Settings, ReportsEachProblem) {
  std::string const text = R"({"node":"m01","listen":"127.0.0.1:7000","zone":"z1","seeds":["127.0.0.1:7000"]})";
  EXPECT_TRUE(checkSettings(*parseJson(text), {}).settings.has_value());
  CheckedSettings const withoutRequired = checkSettings(*parseJson(text), {true, true});
  ASSERT_EQ(withoutRequired.problems.size(), 2u);
  EXPECT_EQ(withoutRequired.problems[0].path, "/platform");
  EXPECT_EQ(withoutRequired.problems[1].path, "/data");
  for (char const* const patch :
       {R"({"listen":"localhost:70"})", R"({"listen":"1.2.3.4:70000"})", R"({"seeds":[]})", R"({"seeds":["1.2.3:4"]})",
        R"({"log_level":"loud"})", R"({"hands":0})", R"({"nod":1})"}) {
    EXPECT_EQ(checkSettings(mergePatch(*parseJson(text), *parseJson(patch)), {}).problems.size(), 1u) << patch;
  }
}

}  // namespace
