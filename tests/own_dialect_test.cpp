#include "limeramp/quayside/dialect.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using tally::Verdict;

TEST(OwnDialect, TheListIsAskedForTheFollowingPage) {
  quayside::Dialect const own = quayside::ownDialect();
  EXPECT_NE(own.listRequest("p-50").target, own.listRequest("").target);
}

TEST(OwnDialect, AServerInAnotherLifeDidNotRunTheRequest) {
  quayside::Asked asked;
  asked.request = "a";
  asked.life = "i-1";
  quayside::Heard const heard = quayside::ownDialect().readAnswer({421, {{"limeramp-verdict", "not_run"}}, ""}, asked);
  EXPECT_TRUE(heard.returned.otherLife);
  EXPECT_FALSE(heard.returned.good);
  EXPECT_EQ(heard.returned.verdict, Verdict::notRun);
}

TEST(OwnDialect, ARouteOfAHostIsFoundWithThePortAndInAnyCase) {
  quayside::Dialect const own = quayside::ownDialect();
  std::variant<quayside::Caller, quayside::Refusal> const read =
      own.readCaller({"GET", "/", {{"limeramp-tenant", "t"}, {"host", "Logs.example:7000"}}, "", ""});
  EXPECT_EQ(std::get<quayside::Caller>(read).host, "logs.example");
}

}
