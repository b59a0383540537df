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

struct InstanceList {
  std::mutex mutex;
  std::string document;
  std::uint64_t reads = 0;

  net::Answer serve(net::Request const& request) {
    std::unique_lock<std::mutex> const lock(mutex);
    if (request.method == "GET" && request.target.starts_with("/servers")) {
      ++reads;
      return {200, {{"content-type", "application/json"}}, document};
    }
    if (request.method == "PUT" && request.target == "/servers") {
      document = request.body;
      return {200, {}, "{}\n"};
    }
    if (request.method == "PATCH" && request.target == "/server") {
      return patchServer(request.body);
    }
    return {404, {}, "GET or PUT /servers, PATCH /server\n"};
  }

  net::Answer patchServer(std::string const& body) {
    absl::StatusOr<picojson::value> const patch = config::parseJson(body);
    absl::StatusOr<picojson::value> list = config::parseJson(document);
    if (!patch.ok() || !patch->is<picojson::object>() || !list.ok() || !patch->contains("address")) {
      return {400, {}, "a row with an address is needed\n"};
    }
    picojson::array& rows = list->get<picojson::object>()["servers"].get<picojson::array>();
    std::size_t matchedRows = 0;
    for (picojson::array::iterator row = rows.begin(); row != rows.end();) {
      if (row->get("address") != patch->get("address")) {
        ++row;
        continue;
      }
      ++matchedRows;
      if (patch->contains("gone")) {
        row = rows.erase(row);
      } else {
        *row = config::mergePatch(*row, *patch);
        ++row;
      }
    }
    if (matchedRows == 0 && !patch->contains("gone")) {
      rows.push_back(*patch);
      matchedRows = 1;
    }
    document = list->serialize();
    return {200, {}, "{\"rows\":" + std::to_string(matchedRows) + "}\n"};
  }
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("stub_instance_list", "a stub of the platform's list of servers");
  options.add_options()("listen", "address", cxxopts::value<std::string>())(
      "list", "file with the initial list", cxxopts::value<std::string>())("help", "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    InstanceList instanceList;
    std::ifstream file(flags["list"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    instanceList.document = text.str();
    return test_support::serveUntilSignal(
        "stub_instance_list", flags["listen"].as<std::string>(),
        [&instanceList](net::Request request, net::Responder respond) { respond(instanceList.serve(request)); });
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "stub_instance_list: " << error.what() << '\n';
    return 2;
  }
}
