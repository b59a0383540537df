#include "limeramp/gateway/dialect.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using retry::Verdict;

TEST(OwnDialect, TheListIsAskedForTheFollowingPage) {
  gateway::Dialect const own = gateway::ownDialect();
  EXPECT_NE(own.listRequest("p-50").target, own.listRequest("").target);
}

TEST(OwnDialect, AServerInAnotherLifeDidNotRunTheRequest) {
  gateway::Asked asked;
  asked.request = "a";
  asked.incarnation = "i-1";
  gateway::Heard const heard = gateway::ownDialect().readAnswer({421, {{"limeramp-verdict", "not_run"}}, ""}, asked);
  EXPECT_TRUE(heard.returned.staleIncarnation);
  EXPECT_FALSE(heard.returned.good);
  EXPECT_EQ(heard.returned.verdict, Verdict::notRun);
}

TEST(OwnDialect, AnAnswerMayNameItsRequestAndTheNameIsNotPassedOn) {
  gateway::Dialect const own = gateway::ownDialect();
  gateway::Asked asked;
  asked.request = "m01-1";
  net::Request request;
  own.writeAsk(request, asked);
  EXPECT_EQ(net::findHeader(request.headers, std::string(request.identity.requestHeader)), "m01-1");
  EXPECT_EQ(request.identity.answerHeader, "limeramp-answers");
  EXPECT_FALSE(request.identity.required);
  net::Answer answer{200, {{"limeramp-answers", "m01-1"}}, ""};
  own.writeForwarded(answer, "m01-1", "1.2");
  EXPECT_FALSE(net::findHeader(answer.headers, "limeramp-answers").has_value());
}

TEST(OwnDialect, ARouteOfAHostIsFoundWithThePortAndInAnyCase) {
  gateway::Dialect const own = gateway::ownDialect();
  std::variant<gateway::Caller, gateway::Refusal> const read =
      own.readCaller({"GET", "/", {{"limeramp-tenant", "t"}, {"host", "Logs.example:7000"}}, "", ""});
  EXPECT_EQ(std::get<gateway::Caller>(read).host, "logs.example");
}

}  // namespace
