// Entry point shared by all test binaries.

// CppUTest's leak detector reports static objects of other libraries as leaks,
// so it is turned off. Builds with AddressSanitizer find leaks instead.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
