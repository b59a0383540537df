#pragma once

#include "limeramp/config/configuration.h"

#include <functional>

/// Reads the fields of a JSON object and collects what is wrong with them, each by path.
namespace limeramp::config {

/// One object of a document. Every function that finds a field missing or out of its bounds notes a problem and returns
/// the fallback or a value within the bounds, so that one pass names all problems. Bounds are inclusive; a field
/// without a fallback is needed. Holds references to the value and to the list of problems.
class Reader {
 public:
  Reader(picojson::value const& value, std::string path, std::vector<Problem>& problems);

  /// False, with a problem noted, if the value is no object.
  bool isObject() const;
  std::string text(std::string const& key, std::optional<std::string> const& fallback, std::size_t maxBytes = 256);
  double number(std::string const& key, std::optional<double> fallback, double minimum, double maximum);
  /// A whole number.
  std::size_t integer(std::string const& key, std::optional<std::size_t> fallback, std::size_t minimum,
                      std::size_t maximum);
  /// A whole number of milliseconds.
  std::chrono::milliseconds durationMs(std::string const& key, std::optional<std::chrono::milliseconds> fallback,
                                       std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);
  bool flag(std::string const& key, bool fallback);
  /// An array of different strings, none empty.
  std::set<std::string> names(std::string const& key, std::size_t maximum);
  std::vector<std::string> texts(std::string const& key, std::size_t maximum);
  /// Visits the fields of an object.
  void eachField(std::string const& key, std::size_t maximum,
                 std::function<void(std::string const& name, Reader& inner)> const& visit);
  /// Visits the items of an array.
  void eachItem(std::string const& key, std::size_t minimum, std::size_t maximum,
                std::function<void(Reader& inner)> const& visit);
  /// Visits an object, if it is there.
  void inside(std::string const& key, std::function<void(Reader& inner)> const& visit);
  std::vector<double> numbers(std::string const& key, std::size_t maximum);
  std::size_t entries(std::string const& key);
  /// Fields that were not asked for are no problem.
  void allowUnknown() { lenient_ = true; }
  /// Notes a problem for each field that was not asked for. Call it last.
  void rejectUnknown();
  /// Notes a problem of the caller's own.
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
