#ifndef VERBENACOVE_PROCESS_ROUTING_SPLIT_CHOOSER_HPP
#define VERBENACOVE_PROCESS_ROUTING_SPLIT_CHOOSER_HPP

#include "verbenacove/version/route_configuration.hpp"

#include <QHash>

#include <vector>

namespace verbenacove
{

/** Gives each request of a route a service, so that the services' shares keep
    to the weights over any few requests. */
class split_chooser
{
public:
    /** Returns the service for the next request of a route. */
    service_name choose(route_record const& route);

    /** Drops the routes that are not in a configuration. */
    void keep_only(route_configuration const& configuration);

private:
    struct part
    {
        traffic_share share;
        /** How much the part is behind its share. */
        double behind = 0;
    };

    static bool is_same_split(std::vector<part> const& parts,
                              route_record const& route);

    QHash<QString, std::vector<part>> parts_;
};

} // namespace verbenacove

#endif
