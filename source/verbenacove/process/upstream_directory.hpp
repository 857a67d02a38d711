#ifndef VERBENACOVE_PROCESS_UPSTREAM_DIRECTORY_HPP
#define VERBENACOVE_PROCESS_UPSTREAM_DIRECTORY_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/request/upstream_view.hpp"

#include <QCborMap>
#include <QHash>
#include <QJsonObject>

#include <boost/leaf/result.hpp>

#include <optional>
#include <vector>

namespace verbenacove
{

/** Says what is wrong in an upstream's announcement. */
struct announcement_error
{
    QString key;
    QString allowed;
};

/** Reads an announcement, made just now; see docs/API.md for its form. */
boost::leaf::result<upstream_view> parse_announcement(QJsonObject const& object,
                                                      monotonic_time now);

/** Reads `starting`, `serving` or `draining`; nothing for another word. */
std::optional<upstream_state> parse_upstream_state(QString const& word);

/** Returns an upstream's news for another entry; its age goes with it, since
    clocks differ. */
QCborMap to_cbor(upstream_view const& upstream, monotonic_time now);

/** Reads an upstream's news of another entry. */
boost::leaf::result<upstream_view> parse_upstream_news(QCborMap const& map,
                                                       monotonic_time now);

/** All upstreams that an entry has heard of, by itself or from others.

    News of an older start, and older news of the same start, change nothing.
    An upstream that began to drain does not serve again under the same
    incarnation, in whichever order its news arrive.
*/
class upstream_directory
{
public:
    /** The most upstreams that are kept; news of further ones are dropped. */
    static constexpr int maximum_upstreams = 20000;

    /** How long an upstream is remembered without news. */
    static constexpr milliseconds forget_after{60000};

    /** The clock must outlive the directory. */
    explicit upstream_directory(clock_source const& clock);

    /** Takes in news; returns whether a state or an incarnation changed. */
    bool merge(upstream_view news);

    /** Drops what has had no news for long; call it once a second or so. */
    void forget_old();

    /** Returns the upstreams of each service, whatever their state. */
    QHash<service_name, std::vector<upstream_view>> by_service() const;

    /** Returns an upstream, or nothing. */
    upstream_view const* find(upstream_id const& id) const;

private:
    clock_source const& clock_;
    QHash<upstream_id, upstream_view> upstreams_;
};

} // namespace verbenacove

#endif
