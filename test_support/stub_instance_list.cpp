#include "limeramp/config/json.h"
#include "limeramp/net/http.h"
#include "stub_program.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

namespace {

using namespace limeramp;

struct Board {
  std::mutex mutex;
  std::string raw;
  std::uint64_t reads = 0;

  net::Answer serve(net::Request const& request) {
    std::unique_lock<std::mutex> const lock(mutex);
    if (request.method == "GET" && request.target.starts_with("/servers")) {
      ++reads;
      return {200, {{"content-type", "application/json"}}, raw};
    }
    if (request.method == "PUT" && request.target == "/servers") {
      raw = request.body;
      return {200, {}, "{}\n"};
    }
    if (request.method == "PATCH" && request.target == "/server") {
      return edit(request.body);
    }
    return {404, {}, "GET or PUT /servers, PATCH /server\n"};
  }

  net::Answer edit(std::string const& body) {
    absl::StatusOr<picojson::value> const patch = config::parseJson(body);
    absl::StatusOr<picojson::value> list = config::parseJson(raw);
    if (!patch.ok() || !patch->is<picojson::object>() || !list.ok() || !patch->contains("address")) {
      return {400, {}, "a row with an address is needed\n"};
    }
    picojson::array& rows = list->get<picojson::object>()["servers"].get<picojson::array>();
    std::size_t touched = 0;
    for (picojson::array::iterator row = rows.begin(); row != rows.end();) {
      if (row->get("address") != patch->get("address")) {
        ++row;
        continue;
      }
      ++touched;
      if (patch->contains("gone")) {
        row = rows.erase(row);
      } else {
        *row = config::mergePatch(*row, *patch);
        ++row;
      }
    }
    if (touched == 0 && !patch->contains("gone")) {
      rows.push_back(*patch);
      touched = 1;
    }
    raw = list->serialize();
    return {200, {}, "{\"rows\":" + std::to_string(touched) + "}\n"};
  }
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("stub_instance_list", "a stand-in for the platform's list of servers");
  options.add_options()("listen", "address", cxxopts::value<std::string>())(
      "list", "file with the first list", cxxopts::value<std::string>())("help", "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    Board board;
    std::ifstream file(flags["list"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    board.raw = text.str();
    return test_support::standUntilEnded(
        "stub_instance_list", flags["listen"].as<std::string>(),
        [&board](net::Request request, net::Responder respond) { respond(board.serve(request)); });
  } catch (cxxopts::exceptions::exception const& wrong) {
    std::cerr << "stub_instance_list: " << wrong.what() << '\n';
    return 2;
  }
}
