// Results and typed errors, on Boost.LEAF.
//
// A function that can fail returns Result<T>; it fails with `return fail(ErrorKind::Timeout, "what was being done")`.
// A caller that needs the reason handles `const Error&` with leaf::try_handle_all or uses errorOf().

#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <utility>

namespace toucanstep::base {

namespace leaf = boost::leaf;

enum class ErrorKind {
    // No answer in time; whether the call took effect is not known.
    Timeout,
    // The call was certainly not carried out, for example because the connection was refused.
    Unavailable,
    // The other side answered, and refused.
    Rejected,
    // The other side's answer, or the input, does not have the published form.
    Malformed,
    // The other side's answer is larger than what the caller accepts.
    TooLarge,
    Internal,
};

struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

template <typename T>
using Result = leaf::result<T>;

inline leaf::error_id fail(ErrorKind kind, std::string message)
{
    return leaf::new_error(Error { kind, std::move(message) });
}

// Runs `body`, which returns a Result<T>, and gives its value, or nothing with the reason left in `error`.
template <typename Body>
auto valueOr(Error& error, Body&& body) -> std::optional<std::decay_t<decltype(body().value())>>
{
    using Value = std::decay_t<decltype(body().value())>;
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, body());
            return std::optional<Value>(std::move(value));
        },
        [&](const Error& reason) -> std::optional<Value> {
            error = reason;
            return std::nullopt;
        },
        [&]() -> std::optional<Value> {
            error = Error { ErrorKind::Internal, "error without a reason" };
            return std::nullopt;
        });
}

} // namespace toucanstep::base
