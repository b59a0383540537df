#pragma once

namespace limeramp::retry {

/// A token bucket that limits the further attempts (retries and hedges) of one service at one gateway. Every first
/// attempt deposits a fraction of a token, every further attempt that may reach a server withdraws one token. The
/// bucket starts empty, so that a restarted gateway cannot spend tokens that its predecessor has already spent. The
/// buckets of all gateways together keep the fleet's bound (docs/servers.md). Not thread-safe.
class RetryBudget {
 public:
  /// Sets the size of the bucket (`depth`) and the deposit per first attempt (`ratio`), both in tokens. A balance above
  /// the size is cut to it.
  void set(double depth, double ratio);
  /// Call when a first attempt is sent.
  void deposit();
  /// Takes one token for a further attempt. Returns false and takes nothing if the balance is below 1.
  bool withdraw();
  /// Tokens in the bucket, each of which pays for one further attempt.
  double balance() const { return balance_; }

 private:
  double depth_ = 0;
  double ratio_ = 0;
  double balance_ = 0;
};

}  // namespace limeramp::retry
