#include "limeramp/harbour/office.h"
#include "program.h"

int main(int argc, char** argv) {
  return limeramp::programs::run<limeramp::harbour::Office>(
      "harbourmaster", "the control of limeramp: keeps configurations on this machine's disk", {false, true}, argc, argv);
}
