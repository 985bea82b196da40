#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <utility>

namespace snipeweir {

enum class ErrorCode {
    InvalidArgument,
    InvalidDocument,
    NotFound,
    Unauthenticated,
    Replayed,
    TooLarge,
    Timeout,
    Unavailable,
    Conflict,
    Stale,
};

/// Error value of a failed Result.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;
};

template <typename T> using Result = boost::leaf::result<T>;

/// @param code Kind of the failure.
/// @param message Human-readable message, usually one sentence.
/// @return An error to return from a function whose type is Result.
inline boost::leaf::error_id fail(ErrorCode code, std::string message)
{
    return boost::leaf::new_error(Error { code, std::move(message) });
}

/// Runs a function that returns a Result and turns a failure into a value.
/// @param tryBlock Function that returns Result<T>.
/// @param handler Function from const Error& to T.
/// @return The function's value, or the handler's if the function failed.
template <typename TryBlock, typename Handler> auto handleErrors(TryBlock&& tryBlock, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<TryBlock>(tryBlock), [&](const Error& error) { return handler(error); },
        [&] {
            return handler(Error { ErrorCode::InvalidArgument, "unspecified error" });
        });
}

/// @param tryBlock Function that returns a Result.
/// @return The error of a failure; empty on success.
template <typename TryBlock> std::optional<Error> errorOf(TryBlock&& tryBlock)
{
    return handleErrors(
        [&]() -> Result<std::optional<Error>> {
            auto result = tryBlock();
            if (!result)
                return result.error();
            return std::optional<Error> {};
        },
        [](const Error& error) { return std::optional<Error>(error); });
}

}
