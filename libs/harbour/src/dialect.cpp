#include "limeramp/harbour/dialect.h"

#include "limeramp/harbour/desk.h"

namespace limeramp::harbour {

void serveOperator(OperatorDialect const& dialect, rigging::Request asked, rigging::Responder respond, Serve const& own) {
  std::optional<rigging::Request> request = dialect.toOwn ? dialect.toOwn(asked) : asked;
  if (!request) {
    respond(plain(404, "{\"reason\":\"no such page\"}"));
    return;
  }
  if (!rigging::findHeader(request->headers, deadlineHeader)) {
    request->headers.emplace_back(deadlineHeader, std::to_string(operatorWaitMs.count()));
  }
  if (dialect.fromOwn) {
    respond = [translate = dialect.fromOwn, asked = std::move(asked), to = std::move(respond)](rigging::Answer answer) {
      to(translate(asked, std::move(answer)));
    };
  }
  own(*std::move(request), std::move(respond));
}

}
