#pragma once

#include "limeramp/config/configuration.h"

#include <functional>

namespace limeramp::config {

class Reader {
 public:
  Reader(picojson::value const& value, std::string path, std::vector<Problem>& problems);

  bool isObject() const;
  std::string text(std::string const& key, std::optional<std::string> const& fallback, std::size_t maxBytes = 256);
  double number(std::string const& key, std::optional<double> fallback, double minimum, double maximum);
  std::size_t integer(std::string const& key, std::optional<std::size_t> fallback, std::size_t minimum,
                      std::size_t maximum);
  std::chrono::milliseconds durationMs(std::string const& key, std::optional<std::chrono::milliseconds> fallback,
                                       std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);
  bool flag(std::string const& key, bool fallback);
  std::set<std::string> names(std::string const& key, std::size_t maximum);
  std::vector<std::string> texts(std::string const& key, std::size_t maximum);
  void eachField(std::string const& key, std::size_t maximum,
                 std::function<void(std::string const& name, Reader& inner)> const& visit);
  void eachItem(std::string const& key, std::size_t minimum, std::size_t maximum,
                std::function<void(Reader& inner)> const& visit);
  void inside(std::string const& key, std::function<void(Reader& inner)> const& visit);
  std::vector<double> numbers(std::string const& key, std::size_t maximum);
  std::size_t entries(std::string const& key);
  void allowUnknown() { lenient_ = true; }
  void rejectUnknown();
  void complain(std::string const& key, std::string const& reason);
  std::string const& path() const { return path_; }

 private:
  picojson::value const* find(std::string const& key, bool required);

  picojson::value const& value_;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string> seen_;
  bool lenient_ = false;
};

}  // namespace limeramp::config
