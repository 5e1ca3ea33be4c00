#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

// Runs all tests, or those at the given path: unit_tests [suite::case].
auto main(int argc, char** argv) -> int {
  // Property tests use a fixed seed unless RC_PARAMS is set.
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  std::printf("%d passed, %d failed\n",
              collector.runTests() - collector.testFailuresTotal(),
              collector.testFailuresTotal());
  return collector.wasSuccessful() ? 0 : 1;
}
