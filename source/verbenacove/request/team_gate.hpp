#ifndef VERBENACOVE_REQUEST_TEAM_GATE_HPP
#define VERBENACOVE_REQUEST_TEAM_GATE_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/teams/key_table.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <optional>

namespace verbenacove
{

/** Decides by a request's key which team it belongs to, and whether it may run.

    Where the configuration has no teams, every request may run and its
    `Authorization` header means nothing here.
*/
class team_gate
{
public:
    /** Why a request is not run. */
    struct refusal
    {
        /** 401 if the caller has to come with another key, 503 if no upstream
            may run what it asks for. */
        int status = 0;
        /** Code for the response, the log and the metrics. */
        char const* reason = nullptr;
    };

    /** What is decided about a request. */
    struct decision
    {
        /** Absent if it may run. */
        std::optional<refusal> refused;
        /** Holder of its key; null on a public route, and without teams. Valid
            until the configuration is replaced. */
        team_record const* team = nullptr;
    };

    /** Replaces the teams. */
    void set_configuration(route_configuration const& configuration);

    /** Returns whether the configuration has teams. */
    bool has_teams() const { return keys_.has_teams(); }

    decision decide(http_request const& request,
                    route_record const& route) const;

    /** Returns a route as it is for a team's requests: served in the homes of
        both alone, and with the rank of the team if it has one.

        @see has_common_home
    */
    static route_record route_for(team_record const& team, route_record route);

    /** Returns whether a region is left that may serve a team's requests on a
        route. */
    static bool has_common_home(team_record const& team,
                                route_record const& route);

private:
    key_table keys_;
};

} // namespace verbenacove

#endif
