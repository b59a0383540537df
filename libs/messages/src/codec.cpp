#include "limeramp/messages/codec.h"

#include <avro.h>
#include <xxhash.h>

#include <cstring>
#include <map>

namespace limeramp::messages {
namespace {

// A parsed schema and libavro's class for its values.
struct ParsedSchema {
  ParsedSchema() = default;
  ParsedSchema(ParsedSchema const&) = delete;
  ParsedSchema& operator=(ParsedSchema const&) = delete;
  ~ParsedSchema() {
    if (valueClass != nullptr) {
      avro_value_iface_decref(valueClass);
    }
    if (schema != nullptr) {
      avro_schema_decref(schema);
    }
  }
  avro_schema_t schema = nullptr;
  avro_value_iface_t* valueClass = nullptr;
};

constexpr std::size_t maxItems = 100'000;
constexpr std::size_t maxSchemaBytes = 16'384;
constexpr std::size_t maxSchemaParts = 2'000;
constexpr std::size_t maxSchemaDepth = 16;
constexpr std::size_t maxParsedSchemas = 256;

// Whether the schema has only the types used here and stays within the bounds on depth and size.
bool isBounded(avro_schema_t schema, std::size_t depth, std::size_t& parts) {
  if (depth > maxSchemaDepth || ++parts > maxSchemaParts) {
    return false;
  }
  switch (avro_typeof(schema)) {
    case AVRO_BOOLEAN:
    case AVRO_INT64:
    case AVRO_DOUBLE:
    case AVRO_BYTES:
      return true;
    case AVRO_LINK:
      return isBounded(avro_schema_link_target(schema), depth + 1, parts);
    case AVRO_ARRAY:
      return isBounded(avro_schema_array_items(schema), depth + 1, parts);
    case AVRO_UNION:
      return avro_schema_union_size(schema) == 2 && avro_typeof(avro_schema_union_branch(schema, 0)) == AVRO_NULL &&
             isBounded(avro_schema_union_branch(schema, 1), depth + 1, parts);
    case AVRO_RECORD: {
      std::size_t const fields = avro_schema_record_size(schema);
      for (std::size_t index = 0; index < fields; ++index) {
        if (!isBounded(avro_schema_record_field_get_by_index(schema, static_cast<int>(index)), depth + 1, parts)) {
          return false;
        }
      }
      return fields > 0;
    }
    default:
      return false;
  }
}

bool readVarint(std::string_view& remaining, std::int64_t& value) {
  std::uint64_t raw = 0;
  for (std::size_t byteIndex = 0; byteIndex < 10 && byteIndex < remaining.size(); ++byteIndex) {
    std::uint64_t const byte = static_cast<unsigned char>(remaining[byteIndex]);
    raw |= (byte & 0x7f) << (7 * byteIndex);
    if (byte < 0x80) {
      remaining.remove_prefix(byteIndex + 1);
      value = static_cast<std::int64_t>(raw >> 1) ^ -static_cast<std::int64_t>(raw & 1);
      return true;
    }
  }
  return false;
}

bool skipBytes(std::string_view& remaining, std::int64_t count) {
  if (count < 0 || static_cast<std::uint64_t>(count) > remaining.size()) {
    return false;
  }
  remaining.remove_prefix(static_cast<std::size_t>(count));
  return true;
}

bool matchesSchema(avro_schema_t schema, std::string_view& remaining, std::size_t& items);

// An array is a series of blocks, each preceded by its number of items. A block of 0 items ends it.
bool matchesArray(avro_schema_t schema, std::string_view& remaining, std::size_t& items) {
  std::int64_t number = 0;
  while (readVarint(remaining, number) && number >= 0) {
    if (number == 0) {
      return true;
    }
    for (; number > 0; --number) {
      if (++items > maxItems || !matchesSchema(avro_schema_array_items(schema), remaining, items)) {
        return false;
      }
    }
  }
  return false;
}

bool matchesRecord(avro_schema_t schema, std::string_view& remaining, std::size_t& items) {
  for (std::size_t index = 0; index < avro_schema_record_size(schema); ++index) {
    if (!matchesSchema(avro_schema_record_field_get_by_index(schema, static_cast<int>(index)), remaining, items)) {
      return false;
    }
  }
  return true;
}

// Whether the bytes are a value of the schema. Needed since libavro does not check lengths, not even negative ones.
bool matchesSchema(avro_schema_t schema, std::string_view& remaining, std::size_t& items) {
  std::int64_t number = 0;
  switch (avro_typeof(schema)) {
    case AVRO_BOOLEAN:
      return !remaining.empty() && (remaining[0] == 0 || remaining[0] == 1) && skipBytes(remaining, 1);
    case AVRO_INT64:
      return readVarint(remaining, number);
    case AVRO_DOUBLE:
      return skipBytes(remaining, sizeof(double));
    case AVRO_BYTES:
      return readVarint(remaining, number) && skipBytes(remaining, number);
    case AVRO_LINK:
      return matchesSchema(avro_schema_link_target(schema), remaining, items);
    case AVRO_ARRAY:
      return matchesArray(schema, remaining, items);
    case AVRO_UNION:
      return readVarint(remaining, number) &&
             (number == 0 || (number == 1 && matchesSchema(avro_schema_union_branch(schema, 1), remaining, items)));
    case AVRO_RECORD:
      return matchesRecord(schema, remaining, items);
    default:
      return false;
  }
}

// Parses a schema, or returns it from the thread's cache. `valueClass` is null if the schema is refused.
ParsedSchema const& parsedSchemaOf(std::string const& schema) {
  thread_local std::map<std::string, ParsedSchema> parsedSchemas;
  std::map<std::string, ParsedSchema>::iterator const found = parsedSchemas.find(schema);
  if (found != parsedSchemas.end()) {
    return found->second;
  }
  if (parsedSchemas.size() >= maxParsedSchemas) {
    parsedSchemas.clear();
  }
  ParsedSchema& parsed = parsedSchemas[schema];
  std::size_t parts = 0;
  avro_schema_t read = nullptr;
  if (schema.size() > maxSchemaBytes || avro_schema_from_json_length(schema.data(), schema.size(), &read) != 0) {
    return parsed;
  }
  parsed.schema = read;
  if (is_avro_record(parsed.schema) && isBounded(parsed.schema, 0, parts)) {
    parsed.valueClass = avro_generic_class_from_schema(parsed.schema);
  }
  return parsed;
}

}  // namespace

std::string withChecksum(std::string const& bytes) {
  std::uint64_t const checksum = XXH64(bytes.data(), bytes.size(), 0);
  std::string out(sizeof checksum, '\0');
  std::memcpy(out.data(), &checksum, sizeof checksum);
  return out + bytes;
}

std::optional<std::string_view> verifyChecksum(std::string_view bytes) {
  std::uint64_t checksum = 0;
  if (bytes.size() < sizeof checksum) {
    return std::nullopt;
  }
  std::memcpy(&checksum, bytes.data(), sizeof checksum);
  bytes.remove_prefix(sizeof checksum);
  return checksum == XXH64(bytes.data(), bytes.size(), 0) ? std::optional<std::string_view>(bytes) : std::nullopt;
}

struct RecordWriter::Impl {
  avro_value_t root{};
  std::vector<avro_value_t> path;
  bool good = false;
};

RecordWriter::RecordWriter(std::string const& schema) : impl_(std::make_unique<Impl>()) {
  ParsedSchema const& parsed = parsedSchemaOf(schema);
  impl_->good = parsed.valueClass != nullptr && avro_generic_value_new(parsed.valueClass, &impl_->root) == 0;
  impl_->path.push_back(impl_->root);
}

RecordWriter::~RecordWriter() {
  if (impl_->good) {
    avro_value_decref(&impl_->root);
  }
}

void RecordWriter::enter(char const* name) {
  avro_value_t field{};
  avro_value_get_by_name(&impl_->path.back(), name, &field, nullptr);
  impl_->path.push_back(field);
}

void RecordWriter::append() {
  avro_value_t item{};
  avro_value_append(&impl_->path.back(), &item, nullptr);
  impl_->path.push_back(item);
}

void RecordWriter::branch(int which) {
  avro_value_t inner{};
  avro_value_set_branch(&impl_->path.back(), which, &inner);
  if (which == 0) {
    avro_value_set_null(&inner);
  }
  impl_->path.push_back(inner);
}

void RecordWriter::leave() { impl_->path.pop_back(); }
void RecordWriter::put(std::int64_t value) { avro_value_set_long(&impl_->path.back(), value); }
void RecordWriter::put(bool value) { avro_value_set_boolean(&impl_->path.back(), value ? 1 : 0); }
void RecordWriter::put(double value) { avro_value_set_double(&impl_->path.back(), value); }
void RecordWriter::put(std::string const& value) {
  avro_value_set_bytes(&impl_->path.back(), const_cast<char*>(value.data()), value.size());
}

std::string RecordWriter::finish() {
  std::size_t size = 0;
  if (!impl_->good || avro_value_sizeof(&impl_->root, &size) != 0) {
    return {};
  }
  std::string out(size, '\0');
  avro_writer_t const writer = avro_writer_memory(out.data(), static_cast<std::int64_t>(size));
  bool const written = avro_value_write(writer, &impl_->root) == 0;
  avro_writer_free(writer);
  return written ? out : std::string();
}

struct RecordReader::Impl {
  avro_value_t root{};
  std::vector<avro_value_t> path;
  bool allocated = false;
  bool good = false;
};

RecordReader::RecordReader(std::string const& schema, std::string_view bytes) : impl_(std::make_unique<Impl>()) {
  ParsedSchema const& parsed = parsedSchemaOf(schema);
  impl_->allocated = parsed.valueClass != nullptr && avro_generic_value_new(parsed.valueClass, &impl_->root) == 0;
  if (!impl_->allocated) {
    return;
  }
  std::string_view remaining = bytes;
  std::size_t items = 0;
  if (!matchesSchema(parsed.schema, remaining, items)) {
    return;
  }
  avro_reader_t const reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  impl_->good = avro_value_read(reader, &impl_->root) == 0;
  avro_reader_free(reader);
  impl_->path.push_back(impl_->root);
}

RecordReader::~RecordReader() {
  if (impl_->allocated) {
    avro_value_decref(&impl_->root);
  }
}

bool RecordReader::good() const { return impl_->good; }
void RecordReader::invalidate() { impl_->good = false; }

bool RecordReader::has(char const* name) {
  impl_->good = impl_->good && avro_value_get_type(&impl_->path.back()) == AVRO_RECORD;
  if (!impl_->good) {
    return false;
  }
  avro_schema_t const schema = avro_value_get_schema(&impl_->path.back());
  int const fields = static_cast<int>(avro_schema_record_size(schema));
  for (int index = 0; index < fields; ++index) {
    if (std::string_view(avro_schema_record_field_name(schema, index)) == name) {
      return true;
    }
  }
  return false;
}

bool RecordReader::enter(char const* name) {
  avro_value_t field{};
  if (!impl_->good || avro_value_get_by_name(&impl_->path.back(), name, &field, nullptr) != 0) {
    impl_->good = false;
    return false;
  }
  impl_->path.push_back(field);
  return true;
}

std::size_t RecordReader::count() {
  std::size_t size = 0;
  if (!impl_->good || avro_value_get_size(&impl_->path.back(), &size) != 0 || size > maxItems) {
    impl_->good = false;
    return 0;
  }
  return size;
}

bool RecordReader::item(std::size_t index) {
  avro_value_t entry{};
  if (!impl_->good || avro_value_get_by_index(&impl_->path.back(), index, &entry, nullptr) != 0) {
    impl_->good = false;
    return false;
  }
  impl_->path.push_back(entry);
  return true;
}

int RecordReader::branch() {
  int which = 0;
  avro_value_t inner{};
  if (avro_value_get_discriminant(&impl_->path.back(), &which) != 0 ||
      avro_value_get_current_branch(&impl_->path.back(), &inner) != 0) {
    impl_->good = false;
  }
  impl_->path.push_back(inner);
  return impl_->good ? which : 0;
}

void RecordReader::leave() { impl_->path.pop_back(); }

void RecordReader::get(std::int64_t& value) {
  impl_->good = impl_->good && avro_value_get_long(&impl_->path.back(), &value) == 0;
}

void RecordReader::get(bool& value) {
  int number = 0;
  impl_->good = impl_->good && avro_value_get_boolean(&impl_->path.back(), &number) == 0;
  value = number != 0;
}

void RecordReader::get(double& value) {
  impl_->good = impl_->good && avro_value_get_double(&impl_->path.back(), &value) == 0;
}

void RecordReader::get(std::string& value) {
  void const* bytes = nullptr;
  std::size_t size = 0;
  if (!impl_->good || avro_value_get_bytes(&impl_->path.back(), &bytes, &size) != 0) {
    impl_->good = false;
    return;
  }
  value.assign(static_cast<char const*>(bytes), size);
}

}  // namespace limeramp::messages
