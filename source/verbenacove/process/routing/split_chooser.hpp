#ifndef VERBENACOVE_PROCESS_ROUTING_SPLIT_CHOOSER_HPP
#define VERBENACOVE_PROCESS_ROUTING_SPLIT_CHOOSER_HPP

#include "verbenacove/version/route_configuration.hpp"

#include <QHash>

#include <vector>

namespace verbenacove
{

/** Chooses the service for each request of a route by smooth weighted
    round-robin.

    The shares of the services follow the weights over any short sequence of
    requests.
*/
class split_chooser
{
public:
    /** Returns the service for the next request of a route. */
    service_name choose(route_record const& route);

    /** Removes the state of routes that are not in the configuration. */
    void keep_only(route_configuration const& configuration);

private:
    struct part
    {
        traffic_share share;
        /** The weight that the service is owed: it grows with each request
            and shrinks when the service is chosen. */
        double behind = 0;
    };

    static bool is_same_split(std::vector<part> const& parts,
                              route_record const& route);

    QHash<QString, std::vector<part>> parts_;
};

} // namespace verbenacove

#endif
