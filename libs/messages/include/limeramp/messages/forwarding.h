#pragma once

#include "limeramp/messages/codec.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages that forward a caller's request to another node and return its answer.
namespace limeramp::messages {

/// One header of a forwarded request or answer.
struct HeaderLine {
  static constexpr char const* name = "HeaderLine";
  std::string key;
  std::string value;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("key", self.key);
    visit("value", self.value);
  }
};

/// A caller's request, forwarded to a node of the cell that owns the tenant. Sent without a schema, so its fields must
/// never change.
struct ForwardRequest {
  static constexpr char const* name = "Carry";
  std::uint64_t remainingMs = 0;
  std::string method;
  std::string target;
  std::vector<HeaderLine> headers;
  std::string body;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("remainingMs", self.remainingMs);
    visit("method", self.method);
    visit("target", self.target);
    visit("headers", self.headers);
    visit("body", self.body);
  }
};

/// The answer to a ForwardRequest. Sent without a schema, so its fields must never change.
struct ForwardReply {
  static constexpr char const* name = "Carried";
  std::uint64_t status = 0;
  std::vector<HeaderLine> headers;
  std::string body;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("status", self.status);
    visit("headers", self.headers);
    visit("body", self.body);
  }
};

}  // namespace limeramp::messages
