#ifndef VERBENACOVE_TEAMS_BEARER_KEY_HPP
#define VERBENACOVE_TEAMS_BEARER_KEY_HPP

#include "verbenacove/connection/http_message.hpp"

#include <QByteArray>
#include <QByteArrayView>

#include <vector>

namespace verbenacove
{

/** Length of the longest key, in bytes; callers that send a longer one are
    refused without computing its digest. */
constexpr qsizetype longest_key = 4096;

/** Returns whether a caller can send this key: it is neither empty nor too
    long, and has neither spaces nor control characters. */
bool is_usable_key(QByteArrayView key);

/** What a request's `Authorization` header holds. */
struct bearer_key
{
    enum class state
    {
        /** There is no such header. */
        missing,
        /** Another scheme than `Bearer`, several headers, or no usable key. */
        unreadable,
        present
    };

    state found = state::missing;
    /** Empty unless present. Must not be logged, nor kept longer than the
        request. */
    QByteArray value;
};

/** Reads the key of a request, as RFC 6750 writes it: `Bearer KEY`, the scheme
    in any case. */
bearer_key read_bearer_key(std::vector<http_header> const& headers);

} // namespace verbenacove

#endif
