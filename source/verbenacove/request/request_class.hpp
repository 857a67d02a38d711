#ifndef VERBENACOVE_REQUEST_REQUEST_CLASS_HPP
#define VERBENACOVE_REQUEST_REQUEST_CLASS_HPP

namespace verbenacove
{

/** How a request is to be treated, from the record of its service. */
enum class request_class
{
    /** Someone waits for the answer; it may be sent again. */
    interactive,
    /** It runs at most once. */
    non_idempotent,
    /** It can wait, but must not be lost; it may be sent again. */
    bulk
};

/** The number of request classes. */
constexpr int request_class_count = 3;

} // namespace verbenacove

#endif
