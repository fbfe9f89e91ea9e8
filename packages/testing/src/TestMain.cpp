// The entry point of every test program.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <csignal>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    // CppUTest's leak counter is not made for several threads; the address sanitizer looks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::signal(SIGPIPE, SIG_IGN);
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_WARNING;
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
