#include "limeramp/net/http.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <vector>

namespace {

using namespace limeramp::net;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

TEST(Network, TimersFireInOrderOfTheirDeadlines) {
  Network network;
  std::vector<int> order;
  std::promise<void> done;
  Clock::time_point const now = Clock::now();
  network.post([&] {
    network.at(now + Ms(30), [&] { order.push_back(3); });
    network.at(now + Ms(10), [&] { order.push_back(1); });
    Network::TimerId const cancelled = network.at(now + Ms(15), [&] { order.push_back(9); });
    network.at(now + Ms(20), [&] { order.push_back(2); });
    network.after(Ms(60), [&] { done.set_value(); });
    network.cancel(cancelled);
  });
  done.get_future().wait();
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
  EXPECT_GE(Clock::now() - now, Ms(60));
}

TEST(Network, PeriodicTimerCanCancelItself) {
  Network network;
  std::promise<void> done;
  int runs = 0;
  Network::TimerId timer = 0;
  network.post([&] {
    timer = network.every(Ms(2), [&] {
      if (++runs == 5) {
        network.cancel(timer);
        network.after(Ms(20), [&] { done.set_value(); });
      }
    });
  });
  done.get_future().wait();
  EXPECT_EQ(runs, 5);
}

TEST(Network, RunsOnTheThreadThatCallsRun) {
  Network network{RunOnCallerThread{}};
  std::string error;
  std::thread::id const callerThread = std::this_thread::get_id();
  std::vector<bool> ranOnCallerThread;
  EXPECT_FALSE(network.onThread());
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      network, {"127.0.0.1", 0}, {},
      [&](Request, Responder respond) {
        ranOnCallerThread.push_back(std::this_thread::get_id() == callerThread && network.onThread());
        respond({200, {}, "here"});
      },
      error);
  HttpClient client(network, {});
  std::string got;
  client.begin(1, server->address(), {"GET", "/", {}, "", ""}, Clock::now() + std::chrono::seconds(30),
               [&](Exchange const& exchange) {
                 ranOnCallerThread.push_back(std::this_thread::get_id() == callerThread && network.onThread());
                 got = exchange.answer ? exchange.answer->body : exchange.reason;
                 network.after(Ms(1), [&] {
                   ranOnCallerThread.push_back(network.onThread());
                   network.stop();
                 });
               });
  network.run();
  EXPECT_EQ(got, "here");
  EXPECT_EQ(ranOnCallerThread, (std::vector<bool>{true, true, true}));
}

TEST(Network, PostedWorkRunsOnTheNetworkThread) {
  Network network;
  std::promise<bool> onNetworkThread;
  network.post([&] { onNetworkThread.set_value(network.onThread()); });
  EXPECT_TRUE(onNetworkThread.get_future().get());
  EXPECT_FALSE(network.onThread());
}

}  // namespace
