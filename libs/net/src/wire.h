#pragma once

#include "limeramp/net/http.h"

#include <string>
#include <string_view>

namespace limeramp::net {

enum class Head { partial, complete, wrong };

struct HeadScan {
  std::size_t line = 0;
  std::size_t size = 0;
};

struct Framing {
  unsigned version = 11;
  bool keepAlive = true;
  bool bodiless = false;
};

Head scanHead(HeadScan& scan, std::string_view bytes);
void writeAnswer(std::string& out, Answer const& answer, Framing const& framing);
void writeRequest(std::string& out, Request const& request, std::string const& server);
void relax(std::string& buffer, std::size_t maxBytes);

}  // namespace limeramp::net
