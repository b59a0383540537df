#pragma once

namespace limeramp::retry {

/// A token bucket for the further attempts of one service at one gateway: every first attempt deposits a part of one,
/// every further attempt that may reach a server withdraws one. It starts empty, so that a gateway that has just
/// started cannot spend what its predecessor spent already. The buckets of all gateways together keep the fleet's bound
/// (docs/servers.md). Not safe for use by several threads.
class RetryBudget {
 public:
  /// Changes the bucket's size and the deposit; what is over the size is lost.
  void set(double depth, double ratio);
  /// A first attempt was sent.
  void deposit();
  /// Pays for a further attempt. False, and nothing is taken, if the balance is below 1.
  bool withdraw();
  /// Further attempts that can be paid now.
  double balance() const { return balance_; }

 private:
  double depth_ = 0;
  double ratio_ = 0;
  double balance_ = 0;
};

}  // namespace limeramp::retry
