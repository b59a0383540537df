#include "impl.h"

namespace limeramp::dispatch {

void Alarms::put(std::size_t place, Entry const& entry) {
  heap_[place] = entry;
  entry.request->heapAt = place + 1;
}

void Alarms::rise(std::size_t place) {
  Entry const entry = heap_[place];
  while (place > 0 && entry.at < heap_[(place - 1) / 2].at) {
    put(place, heap_[(place - 1) / 2]);
    place = (place - 1) / 2;
  }
  put(place, entry);
}

void Alarms::sink(std::size_t place) {
  Entry const entry = heap_[place];
  while (true) {
    std::size_t child = place * 2 + 1;
    if (child >= heap_.size()) {
      break;
    }
    if (child + 1 < heap_.size() && heap_[child + 1].at < heap_[child].at) {
      ++child;
    }
    if (heap_[child].at >= entry.at) {
      break;
    }
    put(place, heap_[child]);
    place = child;
  }
  put(place, entry);
}

void Alarms::set(RequestState& request, TimePoint at) {
  if (request.heapAt == 0) {
    heap_.push_back({at, &request});
    rise(heap_.size() - 1);
    return;
  }
  std::size_t const place = request.heapAt - 1;
  bool const sooner = at < heap_[place].at;
  heap_[place].at = at;
  sooner ? rise(place) : sink(place);
}

void Alarms::drop(RequestState& request) {
  if (request.heapAt == 0) {
    return;
  }
  std::size_t const place = request.heapAt - 1;
  request.heapAt = 0;
  Entry const last = heap_.back();
  heap_.pop_back();
  if (place < heap_.size()) {
    put(place, last);
    rise(place);
    sink(last.request->heapAt - 1);
  }
}

std::optional<TimePoint> Alarms::first() const {
  return heap_.empty() ? std::nullopt : std::optional<TimePoint>(heap_.front().at);
}

RequestState* Alarms::firstDue(TimePoint now) const {
  return heap_.empty() || heap_.front().at > now ? nullptr : heap_.front().request;
}

}  // namespace limeramp::dispatch
