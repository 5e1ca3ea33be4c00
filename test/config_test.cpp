#include <cppunit/extensions/HelperMacros.h>

#include "adapters/toml.h"

using namespace parsleyledge;

namespace {

using folder = std::map<std::string, std::string>;

auto error_of(const folder& files) -> std::string {
  auto parsed = try_parse_folder(files);
  const auto* error = std::get_if<config_error>(&parsed);
  return error == nullptr ? "" : error->text();
}

}  // namespace

class config_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_test);
  CPPUNIT_TEST(merges_files_in_the_order_of_their_names);
  CPPUNIT_TEST(reports_file_line_and_key_of_an_error);
  CPPUNIT_TEST_SUITE_END();

 public:
  void merges_files_in_the_order_of_their_names() {
    folder files{
        {"20-b.toml", "[customers.grocer]\nshare = 5\n"},
        {"10-a.toml",
         "[customers.grocer]\nshare = 2\n"
         "[customers.grocer.guarantees.forecast]\naccelerators = 16\n"
         "adjacency = \"rack\"\ncount = 2\n"
         "[services.lists]\nrepeatable = [\"GET\"]\ndeadline_ms = 2000\n"},
        {"100-c.toml", "[policy]\nlarge_job_wait_s = 30\n"}};
    auto parsed = try_parse_folder(files);
    const auto& site = std::get<site_config>(parsed);
    const auto& grocer = site.customers.at("grocer");
    CPPUNIT_ASSERT_EQUAL(5.0, grocer.share);
    const auto& forecast = grocer.guarantees.at("forecast");
    CPPUNIT_ASSERT_EQUAL(16u, forecast.shape.accelerators);
    CPPUNIT_ASSERT(forecast.shape.within == adjacency::rack);
    CPPUNIT_ASSERT_EQUAL(2u, forecast.count);
    CPPUNIT_ASSERT(site.services.at("lists").deadline == milliseconds(2000));
    CPPUNIT_ASSERT(site.policy.large_job_wait == std::chrono::seconds(30));
  }

  void reports_file_line_and_key_of_an_error() {
    struct bad_case {
      folder files;
      const char* expected;
    };
    const std::string guarantee = "[customers.g.guarantees.f]\naccelerators = ";
    const bad_case cases[] = {
        {{{"1.toml", "a = \n"}}, "1.toml:1: "},
        {{{"1.toml", "x = 1\ny = 2\nx = 3\n"}}, "1.toml:3: "},
        {{{"1.toml", "\nunknown = 1\n"}}, "1.toml:2: unknown: unknown key"},
        {{{"1.toml", "[customers.g]\nshares = 1\n"}},
         "1.toml:2: customers.g.shares: unknown key"},
        {{{"1.toml", "[customers.g]\nshare = \"much\"\n"}},
         "1.toml:2: customers.g.share: must be a number"},
        {{{"1.toml", "customers = 3\n"}}, "1.toml:1: customers: must be"},
        {{{"1.toml", "[customers]\ng = 3\n"}},
         "1.toml:2: customers.g: must be a table"},
        {{{"1.toml", guarantee + "0\n"}},
         "1.toml:2: customers.g.guarantees.f.accelerators: must be from 1"},
        {{{"1.toml", guarantee + "4.5\n"}}, "must be an integer"},
        {{{"1.toml", guarantee + "4\nadjacency = \"room\"\n"}},
         "1.toml:3: customers.g.guarantees.f.adjacency: must be worker"},
        {{{"1.toml", "[customers.g.guarantees.f]\ncount = 1\n"}},
         "customers.g.guarantees.f.accelerators: is required"},
        {{{"1.toml", "[services.s]\nrepeatable = [1]\n"}},
         "must contain only strings"},
        {{{"1.toml", "[policy]\nlarge_job_wait_s = -1\n"}}, "must be from 1"},
        {{{"1.toml", "[policy]\nfragmentation_weight = nan\n"}},
         "is out of range"},
        {{{"10-a.toml", "[policy]\nlarge_job_wait_s = 1\n"},
          {"10-b.toml", "[policy]\nlarge_job_wait_s = 2\n"}},
         "10-b.toml:2: policy.large_job_wait_s: is also set by 10-a.toml:2"},
    };
    for (const auto& c : cases) {
      auto error = error_of(c.files);
      CPPUNIT_ASSERT_MESSAGE("\"" + error + "\" lacks \"" + c.expected + "\"",
                             error.find(c.expected) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_test);
