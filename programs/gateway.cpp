#include "limeramp/gateway/gateway_server.h"
#include "program.h"

int main(int argc, char** argv) {
  return limeramp::programs::run<limeramp::gateway::GatewayServer>(
      "limeramp-gateway", "the gateway of limeramp: searches, forwards, operators", {true, false}, argc, argv);
}
