#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// Avro records in binary form. A record lists its fields once, in `describe`; its schema, encoding and decoding are
/// derived from it. A reader resolves the writer's schema by field name: fields unknown to the writer keep their
/// default, fields unknown to the reader are skipped. Malformed bytes give a status, never undefined behaviour; sizes
/// and depths are bounded.
namespace limeramp::messages {

/// Returns the bytes with their checksum in front.
std::string withChecksum(std::string const& bytes);
/// Returns the bytes after the checksum if it matches, nothing otherwise. The result points into `bytes`.
std::optional<std::string_view> verifyChecksum(std::string_view bytes);

/// Encodes one record of a schema, field by field, through Avro C.
class RecordWriter {
 public:
  explicit RecordWriter(std::string const& schema);
  ~RecordWriter();
  RecordWriter(RecordWriter const&) = delete;
  RecordWriter& operator=(RecordWriter const&) = delete;

  /// enter() steps into a field, append() into a new array item, branch() into a union branch; leave() steps out.
  void enter(char const* name);
  void append();
  void branch(int which);
  void leave();
  /// Writes the value at the current position.
  void put(std::int64_t value);
  void put(bool value);
  void put(double value);
  void put(std::string const& value);
  /// Returns the bytes of the record; empty if the schema or the record is invalid.
  std::string finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Decodes one record that was written under `schema`. After the first error good() stays false and reads have no
/// effect.
class RecordReader {
 public:
  RecordReader(std::string const& schema, std::string_view bytes);
  ~RecordReader();
  RecordReader(RecordReader const&) = delete;
  RecordReader& operator=(RecordReader const&) = delete;

  /// False after the first error.
  bool good() const;
  /// Whether the writer's schema has the field; enter() steps into it.
  bool has(char const* name);
  bool enter(char const* name);
  /// Number of items of the current array; item() steps into one, branch() into the chosen union branch, leave() out.
  std::size_t count();
  bool item(std::size_t index);
  int branch();
  void leave();
  /// Reads the value at the current position.
  void get(std::int64_t& value);
  void get(bool& value);
  void get(double& value);
  void get(std::string& value);
  /// Makes good() false.
  void invalidate();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Field types that are encoded as arrays.
template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

/// Field types that are encoded as unions with null.
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

/// Visitor of `describe` that builds the Avro schema of a record.
class SchemaBuilder {
 public:
  /// Returns the schema of T, including those of its nested records.
  template <typename T>
  static std::string of() {
    SchemaBuilder builder;
    return builder.type<T>();
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
      for (std::string const& name : definedRecords_) {
        if (name == T::name) {
          return "\"" + name + "\"";
        }
      }
      definedRecords_.push_back(T::name);
      std::string outer;
      outer.swap(text_);
      T record{};
      T::describe(*this, record);
      std::string out = std::string("{\"type\":\"record\",\"name\":\"") + T::name + "\",\"fields\":[" + text_ + "]}";
      text_.swap(outer);
      return out;
    }
  }

  std::string text_;
  std::vector<std::string> definedRecords_;
};

/// Visitor of `describe` that encodes a record.
class Packer {
 public:
  explicit Packer(RecordWriter& writer) : writer_(writer) {}

  template <typename T>
  void operator()(char const* name, T const& value) {
    writer_.enter(name);
    write(value);
    writer_.leave();
  }

  /// Encodes a value of any field type.
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
  RecordWriter& writer_;
};

/// Visitor of `describe` that decodes a record.
class Unpacker {
 public:
  static constexpr bool reads = true;
  explicit Unpacker(RecordReader& reader) : reader_(reader) {}

  template <typename T>
  void operator()(char const* name, T& value) {
    if (reader_.has(name) && reader_.enter(name)) {
      read(value);
      reader_.leave();
    }
  }

  /// Decodes a value of any field type.
  template <typename T>
  void read(T& value) {
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string> || std::is_same_v<T, double>) {
      reader_.get(value);
    } else if constexpr (std::is_integral_v<T>) {
      std::int64_t number = 0;
      reader_.get(number);
      value = static_cast<T>(number);
    } else if constexpr (IsVector<T>::value) {
      std::size_t const count = reader_.count();
      value.clear();
      for (std::size_t index = 0; index < count && reader_.item(index); ++index) {
        value.emplace_back();
        read(value.back());
        reader_.leave();
      }
    } else if constexpr (IsOptional<T>::value) {
      value.reset();
      if (reader_.branch() == 1) {
        read(value.emplace());
      }
      reader_.leave();
    } else {
      T::describe(*this, value);
    }
  }

 private:
  RecordReader& reader_;
};

/// Returns the schema of T, which is built once. Thread-safe.
template <typename T>
std::string const& schemaOf() {
  static std::string const text = SchemaBuilder::of<T>();
  return text;
}

/// Encodes a record, without its schema.
template <typename T>
std::string pack(T const& value) {
  RecordWriter writer(schemaOf<T>());
  Packer packer(writer);
  packer.write(value);
  return writer.finish();
}

/// Decodes a record that was written under the schema `writerSchema`. InvalidArgument if it is malformed.
template <typename T>
absl::StatusOr<T> unpack(std::string_view bytes, std::string const& writerSchema = schemaOf<T>()) {
  RecordReader reader(writerSchema, bytes);
  T value{};
  if (reader.good()) {
    Unpacker unpacker(reader);
    unpacker.read(value);
  }
  if (!reader.good()) {
    return absl::InvalidArgumentError(std::string("not a ") + T::name);
  }
  return value;
}

}  // namespace limeramp::messages
