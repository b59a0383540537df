#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// Avro records in binary form. A record describes its fields once, in `describe`; schema, writing and reading follow
/// from it. A reader resolves the writer's schema field by field, by name: fields that the writer does not know keep
/// their default, fields that the reader does not know are passed over. Malformed bytes end in a status, never in
/// undefined behaviour; sizes and depths are bounded.
namespace limeramp::messages {

/// Puts a checksum before the bytes.
std::string withChecksum(std::string const& bytes);
/// The bytes behind a checksum that matches; nothing otherwise. Points into `bytes`.
std::optional<std::string_view> verifyChecksum(std::string_view bytes);

/// Writes one record of a schema, field by field, through Avro C.
class Writer {
 public:
  explicit Writer(std::string const& schema);
  ~Writer();
  Writer(Writer const&) = delete;
  Writer& operator=(Writer const&) = delete;

  /// Steps into a field, the next item of an array, or a branch of a union; leave() steps out again.
  void enter(char const* name);
  void append();
  void branch(int which);
  void leave();
  /// Writes the value where the writer stands.
  void put(std::int64_t value);
  void put(bool value);
  void put(double value);
  void put(std::string const& value);
  /// The bytes of the record.
  std::string finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads one record that was written under `schema`. After the first fault good() is false and all reads give defaults.
class Source {
 public:
  Source(std::string const& schema, std::string_view bytes);
  ~Source();
  Source(Source const&) = delete;
  Source& operator=(Source const&) = delete;

  /// False once anything was malformed.
  bool good() const;
  /// Whether the writer knew the field; enter() steps into it.
  bool has(char const* name);
  bool enter(char const* name);
  /// Items of the array here; item() steps into one, branch() into the chosen branch of a union, leave() out again.
  std::size_t count();
  bool item(std::size_t index);
  int branch();
  void leave();
  /// Reads the value here.
  void get(std::int64_t& value);
  void get(bool& value);
  void get(double& value);
  void get(std::string& value);
  /// Makes the source bad.
  void invalidate();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Kinds of fields that are written as arrays.
template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

/// Kinds of fields that are written as unions with null.
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

/// Makes the Avro schema of a described record.
class SchemaText {
 public:
  /// The schema of T, with all records that it holds.
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

/// Visits a described record and writes it.
class Packer {
 public:
  explicit Packer(Writer& writer) : writer_(writer) {}

  template <typename T>
  void operator()(char const* name, T const& value) {
    writer_.enter(name);
    write(value);
    writer_.leave();
  }

  /// Writes a value of any kind of field.
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

/// Visits a described record and reads it.
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

  /// Reads a value of any kind of field.
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

/// The schema of T, made once. Safe to call from any thread.
template <typename T>
std::string const& schemaOf() {
  static std::string const text = SchemaText::of<T>();
  return text;
}

/// The bytes of a record, without its schema.
template <typename T>
std::string pack(T const& value) {
  Writer writer(schemaOf<T>());
  Packer packer(writer);
  packer.write(value);
  return writer.finish();
}

/// Reads a record that was written under `writtenBy`. InvalidArgument if it is malformed.
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
