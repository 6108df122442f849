// Entry point shared by all test binaries.

// The leak detector of CppUTest takes the statics of other libraries for
// leaks; a build with AddressSanitizer finds real ones.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
