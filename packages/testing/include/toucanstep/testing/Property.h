// RapidCheck properties inside CppUTest.
//
// A property is checked with a fixed seed, so that every run gives the same verdict; a failing example is printed with
// its shrunk counterexample and fails the surrounding CppUTest test at the caller's line.
//
//     TEST(Bucket, NeverExceedsItsBurst)
//     {
//         CHECK_PROPERTY([](int amount) { RC_ASSERT(amount == amount); });
//     }

#pragma once

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <rapidcheck/state.h>
#include <sstream>
#include <string>

namespace toucanstep::testing {

// How much one property is explored. The seed is part of the test: a seed that once showed a fault stays.
struct PropertyOptions {
    uint64_t seed = 1;
    int maxSuccess = 200;
    int maxSize = 100;
};

// Returns the description of the counterexample, or an empty string where the property holds.
template <typename Testable>
std::string counterexample(const PropertyOptions& options, Testable&& testable)
{
    rc::detail::TestParams params;
    params.seed = options.seed;
    params.maxSuccess = options.maxSuccess;
    params.maxSize = options.maxSize;
    rc::detail::TestMetadata metadata;
    rc::detail::TestListenerAdapter listener;
    auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params, listener);
    if (result.template is<rc::detail::SuccessResult>())
        return {};
    std::ostringstream text;
    text << "seed " << options.seed << "\n";
    rc::detail::printResultMessage(result, text);
    return text.str();
}

// Fails the running CppUTest test with a counterexample, if there is one.
void expectNoCounterexample(const std::string& description, const char* file, size_t line);

} // namespace toucanstep::testing

#define CHECK_PROPERTY_WITH(options, ...) \
    ::toucanstep::testing::expectNoCounterexample(::toucanstep::testing::counterexample(options, __VA_ARGS__), __FILE__, __LINE__)

#define CHECK_PROPERTY(...) CHECK_PROPERTY_WITH(::toucanstep::testing::PropertyOptions {}, __VA_ARGS__)
