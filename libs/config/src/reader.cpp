#include "limeramp/config/reader.h"

#include <cmath>

namespace limeramp::config {

Reader::Reader(picojson::value const& value, std::string path, std::vector<Problem>& problems)
    : value_(value), path_(std::move(path)), problems_(problems) {
  if (!isObject()) {
    problems_.push_back({path_.empty() ? "/" : path_, "must be an object"});
  }
}

bool Reader::isObject() const { return value_.is<picojson::object>(); }

picojson::value const* Reader::find(std::string const& key, bool required) {
  readKeys_.insert(key);
  if (!isObject()) {
    return nullptr;
  }
  picojson::object const& fields = value_.get<picojson::object>();
  picojson::object::const_iterator const found = fields.find(key);
  if (found != fields.end() && !(allowsUnknown_ && found->second.is<picojson::null>())) {
    return &found->second;
  }
  if (required) {
    complain(key, "is missing");
  }
  return nullptr;
}

void Reader::complain(std::string const& key, std::string const& reason) {
  problems_.push_back({path_ + (key.empty() ? "" : "/" + key), reason});
}

std::string Reader::text(std::string const& key, std::optional<std::string> const& fallback, std::size_t maxBytes) {
  picojson::value const* const found = find(key, !fallback.has_value());
  if (found == nullptr) {
    return fallback.value_or("");
  }
  if (!found->is<std::string>()) {
    complain(key, "must be a string");
    return fallback.value_or("");
  }
  std::string const& value = found->get<std::string>();
  if (value.empty() || value.size() > maxBytes) {
    complain(key, "must have 1 to " + std::to_string(maxBytes) + " bytes");
  }
  for (char const character : value) {
    if (static_cast<unsigned char>(character) < 0x21 || character == 0x7f) {
      complain(key, "must have no spaces or control characters");
      break;
    }
  }
  return value;
}

double Reader::number(std::string const& key, std::optional<double> fallback, double minimum, double maximum) {
  picojson::value const* const found = find(key, !fallback.has_value());
  if (found == nullptr) {
    return fallback.value_or(minimum);
  }
  if (!found->is<double>()) {
    complain(key, "must be a number");
    return minimum;
  }
  double const value = found->get<double>();
  if (!(value >= minimum && value <= maximum)) {
    complain(key,
             "must be from " + picojson::value(minimum).serialize() + " to " + picojson::value(maximum).serialize());
    return minimum;
  }
  return value;
}

std::size_t Reader::integer(std::string const& key, std::optional<std::size_t> fallback, std::size_t minimum,
                            std::size_t maximum) {
  std::optional<double> const fallbackNumber =
      fallback ? std::optional<double>(static_cast<double>(*fallback)) : std::nullopt;
  double const value = number(key, fallbackNumber, static_cast<double>(minimum), static_cast<double>(maximum));
  if (value != std::floor(value)) {
    complain(key, "must be a whole number");
    return minimum;
  }
  return static_cast<std::size_t>(value);
}

std::chrono::milliseconds Reader::durationMs(std::string const& key, std::optional<std::chrono::milliseconds> fallback,
                                             std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) {
  std::optional<std::size_t> const fallbackCount =
      fallback ? std::optional<std::size_t>(static_cast<std::size_t>(fallback->count())) : std::nullopt;
  return std::chrono::milliseconds(integer(key, fallbackCount, static_cast<std::size_t>(minimum.count()),
                                           static_cast<std::size_t>(maximum.count())));
}

bool Reader::flag(std::string const& key, bool fallback) {
  picojson::value const* const found = find(key, false);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is<bool>()) {
    complain(key, "must be true or false");
    return fallback;
  }
  return found->get<bool>();
}

std::vector<std::string> Reader::texts(std::string const& key, std::size_t maximum) {
  std::vector<std::string> out;
  picojson::value const* const found = find(key, false);
  if (found == nullptr) {
    return out;
  }
  if (!found->is<picojson::array>() || found->get<picojson::array>().size() > maximum) {
    complain(key, "must be an array of at most " + std::to_string(maximum) + " strings");
    return out;
  }
  std::size_t index = 0;
  for (picojson::value const& item : found->get<picojson::array>()) {
    if (!item.is<std::string>() || item.get<std::string>().empty() || item.get<std::string>().size() > 256) {
      complain(key + "/" + std::to_string(index), "must be a string of 1 to 256 bytes");
    } else {
      out.push_back(item.get<std::string>());
    }
    ++index;
  }
  return out;
}

std::set<std::string> Reader::names(std::string const& key, std::size_t maximum) {
  std::set<std::string> out;
  for (std::string const& name : texts(key, maximum)) {
    if (!out.insert(name).second) {
      complain(key, "names '" + name + "' twice");
    }
  }
  return out;
}

void Reader::eachField(std::string const& key, std::size_t maximum,
                       std::function<void(std::string const& name, Reader& inner)> const& visit) {
  picojson::value const* const found = find(key, false);
  if (found == nullptr) {
    return;
  }
  if (!found->is<picojson::object>() || found->get<picojson::object>().size() > maximum) {
    complain(key, "must be an object of at most " + std::to_string(maximum) + " entries");
    return;
  }
  for (std::pair<std::string const, picojson::value> const& field : found->get<picojson::object>()) {
    if (field.first.empty() || field.first.size() > 128) {
      complain(key, "has a name that is empty or longer than 128 bytes");
      continue;
    }
    Reader inner(field.second, path_ + "/" + key + "/" + field.first, problems_);
    inner.allowsUnknown_ = allowsUnknown_;
    if (inner.isObject()) {
      visit(field.first, inner);
      inner.rejectUnknown();
    }
  }
}

void Reader::eachItem(std::string const& key, std::size_t minimum, std::size_t maximum,
                      std::function<void(Reader& inner)> const& visit) {
  picojson::value const* const found = find(key, minimum > 0);
  if (found == nullptr) {
    return;
  }
  if (!found->is<picojson::array>() || found->get<picojson::array>().size() > maximum ||
      found->get<picojson::array>().size() < minimum) {
    complain(key, "must be an array of " + std::to_string(minimum) + " to " + std::to_string(maximum) + " items");
    return;
  }
  std::size_t index = 0;
  for (picojson::value const& item : found->get<picojson::array>()) {
    Reader inner(item, path_ + "/" + key + "/" + std::to_string(index++), problems_);
    inner.allowsUnknown_ = allowsUnknown_;
    if (inner.isObject()) {
      visit(inner);
      inner.rejectUnknown();
    }
  }
}

void Reader::inside(std::string const& key, std::function<void(Reader& inner)> const& visit) {
  picojson::value const* const found = find(key, false);
  if (found == nullptr) {
    return;
  }
  Reader inner(*found, path_ + "/" + key, problems_);
  inner.allowsUnknown_ = allowsUnknown_;
  if (inner.isObject()) {
    visit(inner);
    inner.rejectUnknown();
  }
}

std::vector<double> Reader::numbers(std::string const& key, std::size_t maximum) {
  std::vector<double> out;
  picojson::value const* const found = find(key, false);
  if (found == nullptr) {
    return out;
  }
  if (!found->is<picojson::array>() || found->get<picojson::array>().size() > maximum) {
    complain(key, "must be an array of at most " + std::to_string(maximum) + " numbers");
    return out;
  }
  for (picojson::value const& item : found->get<picojson::array>()) {
    if (!item.is<double>()) {
      complain(key + "/" + std::to_string(out.size()), "must be a number");
      return out;
    }
    out.push_back(item.get<double>());
  }
  return out;
}

std::size_t Reader::entries(std::string const& key) {
  picojson::value const* const found = find(key, false);
  return found != nullptr && found->is<picojson::object>() ? found->get<picojson::object>().size() : 0;
}

void Reader::rejectUnknown() {
  if (!isObject() || allowsUnknown_) {
    return;
  }
  for (std::pair<std::string const, picojson::value> const& field : value_.get<picojson::object>()) {
    if (!readKeys_.contains(field.first)) {
      complain(field.first, "is not a known key");
    }
  }
}

}  // namespace limeramp::config
