#ifndef VERBENACOVE_PROCESS_ROUTING_ENTRY_DIRECTORY_HPP
#define VERBENACOVE_PROCESS_ROUTING_ENTRY_DIRECTORY_HPP

#include "verbenacove/process/discovery/discovery_service.hpp"
#include "verbenacove/request/entry_lookup.hpp"

#include <QHash>
#include <QString>

#include <vector>

namespace verbenacove
{

/** Answers callers' look-ups from a replica's membership view, once that view
    has settled.

    Logs how many entries the callers of a zone are sent to whenever that number
    changes. Must be used from one thread only.
*/
class entry_directory
{
public:
    /** The service must outlive the directory. */
    explicit entry_directory(discovery_service const& discovery);

    /** Returns the entries that a caller should use; empty if none is known
        or the view has not settled. A caller that gets none keeps those that
        it got before.

        @param maximum_count  the maximum number of entries to return

        @see nearest_entries, view_settling
    */
    std::vector<entry_view> find(location const& caller,
                                 std::size_t maximum_count);

    /** Returns the entries that a look-up can return: those that are serving
        and not silent. */
    std::vector<entry_view> serving_entries() const;

private:
    /** Numbers of entries in a response. */
    struct returned_count
    {
        qint64 all = 0;
        /** Those outside the caller's region. */
        qint64 elsewhere = 0;

        bool operator==(returned_count const&) const = default;
    };

    /** Returns whether responses of before may be given again. */
    bool is_cache_current(std::size_t maximum_count) const;
    void log_change(location const& caller, std::size_t serving,
                    std::vector<entry_view> const& result);

    discovery_service const& discovery_;
    /** Responses by the caller's zone and region, for the state of the view
       that is described below; look-ups are far more frequent than its changes.
     */
    QHash<QString, std::vector<entry_view>> responses_;
    qint64 cached_revision_ = -1;
    bool is_cached_settled_ = false;
    std::size_t cached_maximum_ = 0;
    /** Numbers of entries in the last response to each zone. */
    QHash<zone_name, returned_count> returned_;
};

} // namespace verbenacove

#endif
