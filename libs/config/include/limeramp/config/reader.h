#pragma once

#include "limeramp/config/configuration.h"

#include <functional>

/// Reads the fields of JSON objects and collects their problems, each with its path.
namespace limeramp::config {

/// Reads one object of a document. A function that finds a field missing or out of its bounds adds a problem and
/// returns the fallback or a value within the bounds, so that one pass finds all problems. Bounds are inclusive; a
/// field without a fallback is required. Holds references to the value and to the list of problems.
class Reader {
 public:
  Reader(picojson::value const& value, std::string path, std::vector<Problem>& problems);

  /// False if the value is no object; the constructor has then added a problem.
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
  /// An array of at most `maximum` distinct, non-empty strings.
  std::set<std::string> names(std::string const& key, std::size_t maximum);
  std::vector<std::string> texts(std::string const& key, std::size_t maximum);
  /// Calls `visit` for each field of the object under `key`; each must be an object.
  void eachField(std::string const& key, std::size_t maximum,
                 std::function<void(std::string const& name, Reader& inner)> const& visit);
  /// Calls `visit` for each item of the array under `key`; each must be an object.
  void eachItem(std::string const& key, std::size_t minimum, std::size_t maximum,
                std::function<void(Reader& inner)> const& visit);
  /// Calls `visit` for the object under `key`, if the field is present.
  void inside(std::string const& key, std::function<void(Reader& inner)> const& visit);
  std::vector<double> numbers(std::string const& key, std::size_t maximum);
  std::size_t entries(std::string const& key);
  /// Makes rejectUnknown() accept fields that were not read, also in nested objects, and treats null as absent.
  void allowUnknown() { allowsUnknown_ = true; }
  /// Adds a problem for each field that was not read. Call it last.
  void rejectUnknown();
  /// Adds a problem that the caller found.
  void complain(std::string const& key, std::string const& reason);
  std::string const& path() const { return path_; }

 private:
  picojson::value const* find(std::string const& key, bool required);

  picojson::value const& value_;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string> readKeys_;
  bool allowsUnknown_ = false;
};

}  // namespace limeramp::config
