#include "dispatcher_impl.h"

namespace limeramp::dispatch {

void RequestTimers::place(std::size_t position, Entry const& entry) {
  heap_[position] = entry;
  entry.request->heapPosition = position + 1;
}

void RequestTimers::siftUp(std::size_t position) {
  Entry const entry = heap_[position];
  while (position > 0 && entry.at < heap_[(position - 1) / 2].at) {
    place(position, heap_[(position - 1) / 2]);
    position = (position - 1) / 2;
  }
  place(position, entry);
}

void RequestTimers::siftDown(std::size_t position) {
  Entry const entry = heap_[position];
  while (true) {
    std::size_t child = position * 2 + 1;
    if (child >= heap_.size()) {
      break;
    }
    if (child + 1 < heap_.size() && heap_[child + 1].at < heap_[child].at) {
      ++child;
    }
    if (heap_[child].at >= entry.at) {
      break;
    }
    place(position, heap_[child]);
    position = child;
  }
  place(position, entry);
}

void RequestTimers::set(RequestState& request, TimePoint at) {
  if (request.heapPosition == 0) {
    heap_.push_back({at, &request});
    siftUp(heap_.size() - 1);
    return;
  }
  std::size_t const position = request.heapPosition - 1;
  bool const sooner = at < heap_[position].at;
  heap_[position].at = at;
  sooner ? siftUp(position) : siftDown(position);
}

void RequestTimers::remove(RequestState& request) {
  if (request.heapPosition == 0) {
    return;
  }
  std::size_t const position = request.heapPosition - 1;
  request.heapPosition = 0;
  Entry const last = heap_.back();
  heap_.pop_back();
  if (position < heap_.size()) {
    place(position, last);
    siftUp(position);
    siftDown(last.request->heapPosition - 1);
  }
}

std::optional<TimePoint> RequestTimers::first() const {
  return heap_.empty() ? std::nullopt : std::optional<TimePoint>(heap_.front().at);
}

RequestState* RequestTimers::firstDue(TimePoint now) const {
  return heap_.empty() || heap_.front().at > now ? nullptr : heap_.front().request;
}

}  // namespace limeramp::dispatch
