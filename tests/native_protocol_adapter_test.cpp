#include "limeramp/gateway/protocol_adapter.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using retry::Verdict;

TEST(NativeProtocolAdapter, ListRequestNamesTheRequestedPage) {
  gateway::ProtocolAdapter const adapter = gateway::nativeProtocolAdapter();
  EXPECT_NE(adapter.listRequest("p-50").target, adapter.listRequest("").target);
}

TEST(NativeProtocolAdapter, AnswerOfAnotherIncarnationMeansNotRun) {
  gateway::SubrequestContext context;
  context.request = "a";
  context.incarnation = "i-1";
  gateway::ParsedAnswer const parsed =
      gateway::nativeProtocolAdapter().readAnswer({421, {{"limeramp-verdict", "not_run"}}, ""}, context);
  EXPECT_TRUE(parsed.finished.staleIncarnation);
  EXPECT_FALSE(parsed.finished.good);
  EXPECT_EQ(parsed.finished.verdict, Verdict::notRun);
}

TEST(NativeProtocolAdapter, RequestIdInAnAnswerIsOptionalAndNotForwarded) {
  gateway::ProtocolAdapter const adapter = gateway::nativeProtocolAdapter();
  gateway::SubrequestContext context;
  context.request = "m01-1";
  net::Request request;
  adapter.writeAsk(request, context);
  EXPECT_EQ(net::findHeader(request.headers, std::string(request.identity.requestHeader)), "m01-1");
  EXPECT_EQ(request.identity.answerHeader, "limeramp-answers");
  EXPECT_FALSE(request.identity.required);
  net::Answer answer{200, {{"limeramp-answers", "m01-1"}}, ""};
  adapter.writeForwarded(answer, "m01-1", "1.2");
  EXPECT_FALSE(net::findHeader(answer.headers, "limeramp-answers").has_value());
}

TEST(NativeProtocolAdapter, CallerHostHasNoPortAndIsLowerCase) {
  gateway::ProtocolAdapter const adapter = gateway::nativeProtocolAdapter();
  std::variant<gateway::Caller, gateway::Refusal> const callerOrRefusal =
      adapter.readCaller({"GET", "/", {{"limeramp-tenant", "t"}, {"host", "Logs.example:7000"}}, "", ""});
  EXPECT_EQ(std::get<gateway::Caller>(callerOrRefusal).host, "logs.example");
}

}  // namespace
