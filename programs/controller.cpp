#include "limeramp/control/control_server.h"
#include "program.h"

int main(int argc, char** argv) {
  return limeramp::programs::run<limeramp::control::ControlServer>(
      "limeramp-controller", "the controller of limeramp: keeps configurations on this machine's disk", {false, true},
      argc, argv);
}
