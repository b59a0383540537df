#include "limeramp/dispatch/shard_result.h"

#include "limeramp/config/json.h"

#include <tbb/flow_graph.h>
#include <tbb/task_arena.h>

#include <algorithm>

namespace limeramp::dispatch {
namespace {

absl::StatusOr<std::string> stringField(picojson::object const& fields, std::string const& key) {
  picojson::object::const_iterator const found = fields.find(key);
  if (found == fields.end() || !found->second.is<std::string>()) {
    return absl::InvalidArgumentError("stamp without " + key);
  }
  return found->second.get<std::string>();
}

struct ParseJob {
  std::string body;
  ShardStamp expected;
  std::size_t resultSize = 0;
  std::function<void(absl::StatusOr<ShardResult>)> done;
};

struct MergeJob {
  std::vector<ShardResultPtr> results;
  std::size_t resultSize = 0;
  std::function<void(std::vector<std::string>)> done;
};

}  // namespace

absl::StatusOr<ShardResult> parseShardResult(std::string_view body, ShardStamp const& expected,
                                             std::size_t resultSize) {
  absl::StatusOr<picojson::value> parsed = config::parseJson(body, {4u << 20, 4, 100'000});
  if (!parsed.ok()) {
    return parsed.status();
  }
  if (!parsed->is<picojson::object>()) {
    return absl::InvalidArgumentError("part is not an object");
  }
  picojson::object& fields = parsed->get<picojson::object>();
  picojson::object::const_iterator const stamp = fields.find("stamp");
  picojson::object::iterator const records = fields.find("records");
  if (stamp == fields.end() || !stamp->second.is<picojson::object>()) {
    return absl::InvalidArgumentError("part without stamp");
  }
  if (records == fields.end() || !records->second.is<picojson::array>()) {
    return absl::InvalidArgumentError("part without records");
  }
  ShardResult result;
  picojson::object const& stampFields = stamp->second.get<picojson::object>();
  for (std::pair<std::string, std::string*> const& target :
       {std::pair<std::string, std::string*>("shard", &result.stamp.shard),
        std::pair<std::string, std::string*>("cut", &result.stamp.partition),
        std::pair<std::string, std::string*>("request", &result.stamp.request)}) {
    absl::StatusOr<std::string> value = stringField(stampFields, target.first);
    if (!value.ok()) {
      return value.status();
    }
    *target.second = *std::move(value);
  }
  if (!(result.stamp == expected)) {
    return absl::InvalidArgumentError("stamp of another part");
  }
  for (picojson::value& record : records->second.get<picojson::array>()) {
    if (!record.is<std::string>()) {
      return absl::InvalidArgumentError("record is not a string");
    }
    result.records.push_back(std::move(record.get<std::string>()));
  }
  std::size_t const kept = std::min(resultSize, result.records.size());
  std::partial_sort(result.records.begin(), result.records.begin() + static_cast<long>(kept), result.records.end(),
                    std::greater<std::string>());
  result.records.resize(kept);
  return result;
}

std::vector<std::string> mergeShardResults(std::vector<ShardResultPtr> const& results, std::size_t resultSize) {
  std::vector<std::string const*> all;
  for (ShardResultPtr const& result : results) {
    for (std::string const& record : result->records) {
      all.push_back(&record);
    }
  }
  std::size_t const kept = std::min(resultSize, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<long>(kept), all.end(),
                    [](std::string const* left, std::string const* right) { return *left > *right; });
  std::vector<std::string> out;
  out.reserve(kept);
  for (std::size_t index = 0; index < kept; ++index) {
    out.push_back(*all[index]);
  }
  return out;
}

struct MergeWorkers::Impl {
  explicit Impl(std::size_t threads)
      : arena(static_cast<int>(threads), 0),
        graph(makeGraph()),
        parser(*graph, tbb::flow::unlimited,
               [](ParseJob const& job) {
                 job.done(parseShardResult(job.body, job.expected, job.resultSize));
                 return tbb::flow::continue_msg();
               }),
        merger(*graph, tbb::flow::unlimited, [](MergeJob const& job) {
          job.done(mergeShardResults(job.results, job.resultSize));
          return tbb::flow::continue_msg();
        }) {}

  std::unique_ptr<tbb::flow::graph> makeGraph() {
    std::unique_ptr<tbb::flow::graph> made;
    arena.execute([&made] { made = std::make_unique<tbb::flow::graph>(); });
    return made;
  }

  tbb::task_arena arena;
  std::unique_ptr<tbb::flow::graph> graph;
  tbb::flow::function_node<ParseJob> parser;
  tbb::flow::function_node<MergeJob> merger;
};

MergeWorkers::MergeWorkers(std::size_t threads) : impl_(threads == 0 ? nullptr : std::make_unique<Impl>(threads)) {}

MergeWorkers::~MergeWorkers() {
  if (impl_ != nullptr) {
    impl_->graph->wait_for_all();
  }
}

void MergeWorkers::read(std::string body, ShardStamp expected, std::size_t resultSize,
                        std::function<void(absl::StatusOr<ShardResult>)> done) {
  if (impl_ == nullptr) {
    done(parseShardResult(body, expected, resultSize));
    return;
  }
  impl_->parser.try_put({std::move(body), std::move(expected), resultSize, std::move(done)});
}

void MergeWorkers::merge(std::vector<ShardResultPtr> results, std::size_t resultSize,
                         std::function<void(std::vector<std::string>)> done) {
  if (impl_ == nullptr) {
    done(mergeShardResults(results, resultSize));
    return;
  }
  impl_->merger.try_put({std::move(results), resultSize, std::move(done)});
}

}  // namespace limeramp::dispatch
