#include "limeramp/logging/logging.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace {

using namespace limeramp::logging;

TEST(Catalogue, EveryEventStandsInTheDocsWithItsNameAndMeaning) {
  std::ifstream file(EVENTS_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  std::set<int> numbers;
  for (EventInfo const& info : catalogue()) {
    int const number = static_cast<int>(info.event);
    EXPECT_TRUE(numbers.insert(number).second) << number;
    std::string const row = "| E" + std::to_string(number) + " | " + std::string(info.name) + " | ";
    EXPECT_NE(page.str().find(row), std::string::npos) << row;
    EXPECT_NE(page.str().find(std::string(info.meaning)), std::string::npos) << info.meaning;
  }
}

}  // namespace
