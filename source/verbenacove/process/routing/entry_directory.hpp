#ifndef VERBENACOVE_PROCESS_ROUTING_ENTRY_DIRECTORY_HPP
#define VERBENACOVE_PROCESS_ROUTING_ENTRY_DIRECTORY_HPP

#include "verbenacove/process/discovery/discovery_service.hpp"
#include "verbenacove/request/entry_lookup.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <functional>
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

    /** Writes the response to a look-up that returns these entries. */
    using response_writer =
        std::function<QByteArray(std::vector<entry_view> const&)>;

    /** A caller's look-up. */
    struct look_up
    {
        location caller;
        /** The host that it will send requests to. */
        QByteArray host;
        /** Maximum number of entries to return. */
        std::size_t maximum_count = 0;
    };

    /** Returns the response that names the entries which a caller should use;
        empty if none is known or the view has not settled. A caller that gets
        none keeps those that it got before.

        @param routes  the routes in force, which say in which regions the
                       host's requests may be served
        @param write   writes the response; must be the same for all look-ups

        @see nearest_entries, view_settling
    */
    QByteArray find(look_up const& request, route_configuration const& routes,
                    response_writer const& write);

    /** Returns the entries that a look-up can return: those that are serving
        and not silent. */
    std::vector<entry_view> serving_entries() const;

private:
    /** Numbers of entries. */
    struct entry_counts
    {
        /** In the response to a look-up. */
        qint64 returned = 0;
        /** Of these, outside the caller's region. */
        qint64 elsewhere = 0;
        /** In the whole view. */
        qint64 serving = 0;

        /** Returns whether the response is the same. */
        bool operator==(entry_counts const& other) const
        {
            return returned == other.returned && elsewhere == other.elsewhere;
        }
    };

    /** Response to a look-up. */
    struct response
    {
        QByteArray body;
        entry_counts counts;
    };

    /** Returns whether responses of before may be given again. */
    bool is_cache_current(std::size_t maximum_count) const;
    response respond(look_up const& request,
                     std::vector<region_name> const& homes,
                     response_writer const& write);
    void log_change(location const& caller, entry_counts const& counts);

    discovery_service const& discovery_;
    /** Responses by the caller's zone and region and the homes of its requests,
        for the state of the view that is described below; look-ups are far more
        frequent than its changes. */
    QHash<QString, response> responses_;
    qint64 cached_revision_ = -1;
    bool is_cached_settled_ = false;
    std::size_t cached_maximum_ = 0;
    /** Numbers of entries in the last response to each zone. */
    QHash<zone_name, entry_counts> returned_;
};

} // namespace verbenacove

#endif
