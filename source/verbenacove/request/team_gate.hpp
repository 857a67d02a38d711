#ifndef VERBENACOVE_REQUEST_TEAM_GATE_HPP
#define VERBENACOVE_REQUEST_TEAM_GATE_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/teams/key_table.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <optional>

namespace verbenacove
{

/** Decides by a request's key which team it belongs to, and whether it may run.

    Where there has never been a table of teams, every request may run and its
    `Authorization` header means nothing here. Where the table was removed, a
    request without that header may run, and no key has a holder.

    @see team_table_state
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
        /** Holder of its key; null if it needs none. Valid until the
            configuration is replaced. */
        team_record const* team = nullptr;
    };

    /** Replaces the teams. */
    void set_configuration(route_configuration const& configuration);

    /** Returns whether there is, or was, a table of teams: upstreams then get
        no keys. */
    bool uses_keys() const { return table_ != team_table_state::never; }

    /** Returns whether the decision on a request depends on who holds which
        key. */
    bool depends_on_keys(http_request const& request,
                         route_record const& route) const;

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
    team_table_state table_ = team_table_state::never;
    key_table keys_;
};

} // namespace verbenacove

#endif
