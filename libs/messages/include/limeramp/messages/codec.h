#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace limeramp::messages {

std::string withChecksum(std::string const& bytes);
std::optional<std::string_view> verifyChecksum(std::string_view bytes);

class Writer {
 public:
  explicit Writer(std::string const& schema);
  ~Writer();
  Writer(Writer const&) = delete;
  Writer& operator=(Writer const&) = delete;

  void enter(char const* name);
  void append();
  void branch(int which);
  void leave();
  void put(std::int64_t value);
  void put(bool value);
  void put(double value);
  void put(std::string const& value);
  std::string finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class Source {
 public:
  Source(std::string const& schema, std::string_view bytes);
  ~Source();
  Source(Source const&) = delete;
  Source& operator=(Source const&) = delete;

  bool good() const;
  bool has(char const* name);
  bool enter(char const* name);
  std::size_t count();
  bool item(std::size_t index);
  int branch();
  void leave();
  void get(std::int64_t& value);
  void get(bool& value);
  void get(double& value);
  void get(std::string& value);
  void invalidate();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

class SchemaText {
 public:
  template <typename T>
  static std::string of() {
    SchemaText maker;
    return maker.type<T>();
  }

  template <typename T>
  void operator()(char const* name, T&) {
    text_ += (text_.empty() ? "" : ",") + std::string("{\"name\":\"") + name + "\",\"type\":" + type<T>() + "}";
  }

 private:
  template <typename T>
  std::string type() {
    if constexpr (std::is_same_v<T, bool>) {
      return "\"boolean\"";
    } else if constexpr (std::is_integral_v<T>) {
      return "\"long\"";
    } else if constexpr (std::is_floating_point_v<T>) {
      return "\"double\"";
    } else if constexpr (std::is_same_v<T, std::string>) {
      return "\"bytes\"";
    } else if constexpr (IsVector<T>::value) {
      return "{\"type\":\"array\",\"items\":" + type<typename T::value_type>() + "}";
    } else if constexpr (IsOptional<T>::value) {
      return "[\"null\"," + type<typename T::value_type>() + "]";
    } else {
      for (std::string const& name : named_) {
        if (name == T::name) {
          return "\"" + name + "\"";
        }
      }
      named_.push_back(T::name);
      std::string outer;
      outer.swap(text_);
      T sample{};
      T::describe(*this, sample);
      std::string out = std::string("{\"type\":\"record\",\"name\":\"") + T::name + "\",\"fields\":[" + text_ + "]}";
      text_.swap(outer);
      return out;
    }
  }

  std::string text_;
  std::vector<std::string> named_;
};

class Packer {
 public:
  explicit Packer(Writer& writer) : writer_(writer) {}

  template <typename T>
  void operator()(char const* name, T const& value) {
    writer_.enter(name);
    write(value);
    writer_.leave();
  }

  template <typename T>
  void write(T const& value) {
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string>) {
      writer_.put(value);
    } else if constexpr (std::is_integral_v<T>) {
      writer_.put(static_cast<std::int64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      writer_.put(static_cast<double>(value));
    } else if constexpr (IsVector<T>::value) {
      for (typename T::value_type const& entry : value) {
        writer_.append();
        write(entry);
        writer_.leave();
      }
    } else if constexpr (IsOptional<T>::value) {
      writer_.branch(value ? 1 : 0);
      if (value) {
        write(*value);
      }
      writer_.leave();
    } else {
      T::describe(*this, value);
    }
  }

 private:
  Writer& writer_;
};

class Unpacker {
 public:
  static constexpr bool reads = true;
  explicit Unpacker(Source& source) : source_(source) {}

  template <typename T>
  void operator()(char const* name, T& value) {
    if (source_.has(name) && source_.enter(name)) {
      read(value);
      source_.leave();
    }
  }

  template <typename T>
  void read(T& value) {
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string> || std::is_same_v<T, double>) {
      source_.get(value);
    } else if constexpr (std::is_integral_v<T>) {
      std::int64_t number = 0;
      source_.get(number);
      value = static_cast<T>(number);
    } else if constexpr (IsVector<T>::value) {
      std::size_t const count = source_.count();
      value.clear();
      for (std::size_t index = 0; index < count && source_.item(index); ++index) {
        value.emplace_back();
        read(value.back());
        source_.leave();
      }
    } else if constexpr (IsOptional<T>::value) {
      value.reset();
      if (source_.branch() == 1) {
        read(value.emplace());
      }
      source_.leave();
    } else {
      T::describe(*this, value);
    }
  }

 private:
  Source& source_;
};

template <typename T>
std::string const& schemaOf() {
  static std::string const text = SchemaText::of<T>();
  return text;
}

template <typename T>
std::string pack(T const& value) {
  Writer writer(schemaOf<T>());
  Packer packer(writer);
  packer.write(value);
  return writer.finish();
}

template <typename T>
absl::StatusOr<T> unpack(std::string_view bytes, std::string const& writtenBy = schemaOf<T>()) {
  Source source(writtenBy, bytes);
  T value{};
  if (source.good()) {
    Unpacker unpacker(source);
    unpacker.read(value);
  }
  if (!source.good()) {
    return absl::InvalidArgumentError(std::string("not a ") + T::name);
  }
  return value;
}

}  // namespace limeramp::messages
