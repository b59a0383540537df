#include "limeramp/quayside/front.h"
#include "program.h"

int main(int argc, char** argv) {
  return limeramp::programs::run<limeramp::quayside::Front>(
      "quay", "the front of limeramp: searches, forwards, operators", {true, false}, argc, argv);
}
