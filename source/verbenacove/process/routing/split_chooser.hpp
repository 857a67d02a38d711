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
    struct weighted_service
    {
        traffic_share share;
        /** The weight by which the service lags behind its share. Each
            request adds the weight of the service; choosing the service
            subtracts the total weight of the split. */
        double deficit = 0;
    };

    static bool is_same_split(std::vector<weighted_service> const& services,
                              route_record const& route);

    QHash<QString, std::vector<weighted_service>> weighted_services_;
};

} // namespace verbenacove

#endif
