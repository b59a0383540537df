#include "limeramp/messages/codec.h"

#include <avro.h>
#include <xxhash.h>

#include <cstring>
#include <map>

namespace limeramp::messages {
namespace {

struct Kind {
  Kind() = default;
  Kind(Kind const&) = delete;
  Kind& operator=(Kind const&) = delete;
  ~Kind() {
    if (face != nullptr) {
      avro_value_iface_decref(face);
    }
    if (schema != nullptr) {
      avro_schema_decref(schema);
    }
  }
  avro_schema_t schema = nullptr;
  avro_value_iface_t* face = nullptr;
};

constexpr std::size_t maxItems = 100'000;
constexpr std::size_t maxSchemaBytes = 16'384;
constexpr std::size_t maxSchemaParts = 2'000;
constexpr std::size_t maxSchemaDepth = 16;
constexpr std::size_t maxKinds = 256;

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

bool skimNumber(std::string_view& left, std::int64_t& value) {
  std::uint64_t raw = 0;
  for (std::size_t place = 0; place < 10 && place < left.size(); ++place) {
    std::uint64_t const byte = static_cast<unsigned char>(left[place]);
    raw |= (byte & 0x7f) << (7 * place);
    if (byte < 0x80) {
      left.remove_prefix(place + 1);
      value = static_cast<std::int64_t>(raw >> 1) ^ -static_cast<std::int64_t>(raw & 1);
      return true;
    }
  }
  return false;
}

bool skimBytes(std::string_view& left, std::int64_t count) {
  if (count < 0 || static_cast<std::uint64_t>(count) > left.size()) {
    return false;
  }
  left.remove_prefix(static_cast<std::size_t>(count));
  return true;
}

bool fits(avro_schema_t schema, std::string_view& left, std::size_t& items);

// An array is a series of blocks, each with its number of items; a block of none ends it.
bool fitsArray(avro_schema_t schema, std::string_view& left, std::size_t& items) {
  std::int64_t number = 0;
  while (skimNumber(left, number) && number >= 0) {
    if (number == 0) {
      return true;
    }
    for (; number > 0; --number) {
      if (++items > maxItems || !fits(avro_schema_array_items(schema), left, items)) {
        return false;
      }
    }
  }
  return false;
}

bool fitsRecord(avro_schema_t schema, std::string_view& left, std::size_t& items) {
  for (std::size_t index = 0; index < avro_schema_record_size(schema); ++index) {
    if (!fits(avro_schema_record_field_get_by_index(schema, static_cast<int>(index)), left, items)) {
      return false;
    }
  }
  return true;
}

// Whether the bytes are a value of the schema. libavro takes lengths as they come, negative ones too.
bool fits(avro_schema_t schema, std::string_view& left, std::size_t& items) {
  std::int64_t number = 0;
  switch (avro_typeof(schema)) {
    case AVRO_BOOLEAN:
      return !left.empty() && (left[0] == 0 || left[0] == 1) && skimBytes(left, 1);
    case AVRO_INT64:
      return skimNumber(left, number);
    case AVRO_DOUBLE:
      return skimBytes(left, sizeof(double));
    case AVRO_BYTES:
      return skimNumber(left, number) && skimBytes(left, number);
    case AVRO_LINK:
      return fits(avro_schema_link_target(schema), left, items);
    case AVRO_ARRAY:
      return fitsArray(schema, left, items);
    case AVRO_UNION:
      return skimNumber(left, number) &&
             (number == 0 || (number == 1 && fits(avro_schema_union_branch(schema, 1), left, items)));
    case AVRO_RECORD:
      return fitsRecord(schema, left, items);
    default:
      return false;
  }
}

Kind const& kindOf(std::string const& schema) {
  thread_local std::map<std::string, Kind> kinds;
  std::map<std::string, Kind>::iterator const found = kinds.find(schema);
  if (found != kinds.end()) {
    return found->second;
  }
  if (kinds.size() >= maxKinds) {
    kinds.clear();
  }
  Kind& kind = kinds[schema];
  std::size_t parts = 0;
  avro_schema_t read = nullptr;
  if (schema.size() > maxSchemaBytes || avro_schema_from_json_length(schema.data(), schema.size(), &read) != 0) {
    return kind;
  }
  kind.schema = read;
  if (is_avro_record(kind.schema) && isBounded(kind.schema, 0, parts)) {
    kind.face = avro_generic_class_from_schema(kind.schema);
  }
  return kind;
}

}  // namespace

std::string withChecksum(std::string const& bytes) {
  std::uint64_t const separator = XXH64(bytes.data(), bytes.size(), 0);
  std::string out(sizeof separator, '\0');
  std::memcpy(out.data(), &separator, sizeof separator);
  return out + bytes;
}

std::optional<std::string_view> verifyChecksum(std::string_view bytes) {
  std::uint64_t separator = 0;
  if (bytes.size() < sizeof separator) {
    return std::nullopt;
  }
  std::memcpy(&separator, bytes.data(), sizeof separator);
  bytes.remove_prefix(sizeof separator);
  return separator == XXH64(bytes.data(), bytes.size(), 0) ? std::optional<std::string_view>(bytes) : std::nullopt;
}

struct Writer::Impl {
  avro_value_t root{};
  std::vector<avro_value_t> path;
  bool good = false;
};

Writer::Writer(std::string const& schema) : impl_(std::make_unique<Impl>()) {
  Kind const& kind = kindOf(schema);
  impl_->good = kind.face != nullptr && avro_generic_value_new(kind.face, &impl_->root) == 0;
  impl_->path.push_back(impl_->root);
}

Writer::~Writer() {
  if (impl_->good) {
    avro_value_decref(&impl_->root);
  }
}

void Writer::enter(char const* name) {
  avro_value_t field{};
  avro_value_get_by_name(&impl_->path.back(), name, &field, nullptr);
  impl_->path.push_back(field);
}

void Writer::append() {
  avro_value_t item{};
  avro_value_append(&impl_->path.back(), &item, nullptr);
  impl_->path.push_back(item);
}

void Writer::branch(int which) {
  avro_value_t inner{};
  avro_value_set_branch(&impl_->path.back(), which, &inner);
  if (which == 0) {
    avro_value_set_null(&inner);
  }
  impl_->path.push_back(inner);
}

void Writer::leave() { impl_->path.pop_back(); }
void Writer::put(std::int64_t value) { avro_value_set_long(&impl_->path.back(), value); }
void Writer::put(bool value) { avro_value_set_boolean(&impl_->path.back(), value ? 1 : 0); }
void Writer::put(double value) { avro_value_set_double(&impl_->path.back(), value); }
void Writer::put(std::string const& value) {
  avro_value_set_bytes(&impl_->path.back(), const_cast<char*>(value.data()), value.size());
}

std::string Writer::finish() {
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

struct Source::Impl {
  avro_value_t root{};
  std::vector<avro_value_t> path;
  bool made = false;
  bool good = false;
};

Source::Source(std::string const& schema, std::string_view bytes) : impl_(std::make_unique<Impl>()) {
  Kind const& kind = kindOf(schema);
  impl_->made = kind.face != nullptr && avro_generic_value_new(kind.face, &impl_->root) == 0;
  if (!impl_->made) {
    return;
  }
  std::string_view left = bytes;
  std::size_t items = 0;
  if (!fits(kind.schema, left, items)) {
    return;
  }
  avro_reader_t const reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  impl_->good = avro_value_read(reader, &impl_->root) == 0;
  avro_reader_free(reader);
  impl_->path.push_back(impl_->root);
}

Source::~Source() {
  if (impl_->made) {
    avro_value_decref(&impl_->root);
  }
}

bool Source::good() const { return impl_->good; }
void Source::invalidate() { impl_->good = false; }

bool Source::has(char const* name) {
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

bool Source::enter(char const* name) {
  avro_value_t field{};
  if (!impl_->good || avro_value_get_by_name(&impl_->path.back(), name, &field, nullptr) != 0) {
    impl_->good = false;
    return false;
  }
  impl_->path.push_back(field);
  return true;
}

std::size_t Source::count() {
  std::size_t size = 0;
  if (!impl_->good || avro_value_get_size(&impl_->path.back(), &size) != 0 || size > maxItems) {
    impl_->good = false;
    return 0;
  }
  return size;
}

bool Source::item(std::size_t index) {
  avro_value_t entry{};
  if (!impl_->good || avro_value_get_by_index(&impl_->path.back(), index, &entry, nullptr) != 0) {
    impl_->good = false;
    return false;
  }
  impl_->path.push_back(entry);
  return true;
}

int Source::branch() {
  int which = 0;
  avro_value_t inner{};
  if (avro_value_get_discriminant(&impl_->path.back(), &which) != 0 ||
      avro_value_get_current_branch(&impl_->path.back(), &inner) != 0) {
    impl_->good = false;
  }
  impl_->path.push_back(inner);
  return impl_->good ? which : 0;
}

void Source::leave() { impl_->path.pop_back(); }

void Source::get(std::int64_t& value) {
  impl_->good = impl_->good && avro_value_get_long(&impl_->path.back(), &value) == 0;
}

void Source::get(bool& value) {
  int number = 0;
  impl_->good = impl_->good && avro_value_get_boolean(&impl_->path.back(), &number) == 0;
  value = number != 0;
}

void Source::get(double& value) {
  impl_->good = impl_->good && avro_value_get_double(&impl_->path.back(), &value) == 0;
}

void Source::get(std::string& value) {
  void const* bytes = nullptr;
  std::size_t size = 0;
  if (!impl_->good || avro_value_get_bytes(&impl_->path.back(), &bytes, &size) != 0) {
    impl_->good = false;
    return;
  }
  value.assign(static_cast<char const*>(bytes), size);
}

}  // namespace limeramp::messages
