#ifndef VERBENACOVE_REQUEST_ENTRY_LOOKUP_HPP
#define VERBENACOVE_REQUEST_ENTRY_LOOKUP_HPP

#include "verbenacove/request/lookup_ranking.hpp"

#include <vector>

namespace verbenacove
{

/** Returns the entries that a caller should share its connections among.

    Those of its zone, as long as there is one; else those of its region; else
    all. Callers pick among them at random, so none that is farther is named.

    @param entries  those that serve, as far as is known
    @param most     the most entries in the answer
*/
std::vector<entry_view> nearest_entries(location const& caller,
                                        std::vector<entry_view> const& entries,
                                        std::size_t most);

} // namespace verbenacove

#endif
