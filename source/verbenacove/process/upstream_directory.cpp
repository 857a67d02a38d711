#include "verbenacove/process/upstream_directory.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QRegularExpression>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int maximum_slots = 10000;
constexpr int maximum_connections = 1000000;
constexpr qint64 longest_age_ms = 3600 * 1000;
constexpr std::array<char const*, 3> state_words{"starting", "serving",
                                                 "draining"};

boost::leaf::error_id wrong(char const* key, char const* allowed)
{
    return boost::leaf::new_error(announcement_error{
        QString::fromLatin1(key), QString::fromLatin1(allowed)});
}

bool is_name(QString const& text)
{
    static QRegularExpression const pattern(
        QStringLiteral("^[A-Za-z0-9._-]{1,64}$"));
    return pattern.match(text).hasMatch();
}

boost::leaf::result<upstream_view> check(upstream_view view)
{
    bool const is_address = !view.address.host.isNull();
    if (!is_name(view.id.value()))
    {
        return wrong("upstream", "1 to 64 letters, digits, '-', '_' or '.'");
    }
    if (!is_name(view.service.value()))
    {
        return wrong("service", "1 to 64 letters, digits, '-', '_' or '.'");
    }
    if (!is_name(view.region.value()) || !is_name(view.zone.value()))
    {
        return wrong("region and zone",
                     "1 to 64 letters, digits, '-', '_' or '.'");
    }
    if (!is_address)
    {
        return wrong("address", "an IP number and a port");
    }
    if (view.slots.value() < 1 || view.slots.value() > maximum_slots)
    {
        return wrong("slots", "a whole number from 1 to 10000");
    }
    if (view.connections < 1 || view.connections > maximum_connections)
    {
        return wrong("connections", "a whole number from 1 to 1000000");
    }
    if (!(view.load >= 0 && view.load <= 1))
    {
        return wrong("load", "a number from 0 to 1");
    }
    if (view.incarnation.value() < 1)
    {
        return wrong("incarnation", "a whole number from 1");
    }
    return view;
}

} // namespace

std::optional<upstream_state> parse_upstream_state(QString const& word)
{
    for (std::size_t i = 0; i < state_words.size(); ++i)
    {
        if (word == QLatin1String(state_words[i]))
        {
            return static_cast<upstream_state>(i);
        }
    }
    return std::nullopt;
}

boost::leaf::result<upstream_view> parse_announcement(QJsonObject const& object,
                                                      monotonic_time now)
{
    auto const text = [&object](char const* key)
    {
        return object.value(QLatin1String(key)).toString();
    };
    auto const number = [&object](char const* key)
    {
        return object.value(QLatin1String(key)).toInteger(-1);
    };
    upstream_view view;
    view.id = upstream_id(text("upstream"));
    view.service = service_name(text("service"));
    view.address =
        parse_socket_address(text("address")).value_or(socket_address{});
    view.region = region_name(text("region"));
    view.zone = zone_name(text("zone"));
    view.slots = slot_count(
        static_cast<int>(std::min<qint64>(number("slots"), maximum_slots + 1)));
    view.connections = static_cast<int>(
        std::min<qint64>(number("connections"), maximum_connections + 1));
    view.load = object.value(QLatin1String("load")).toDouble(-1);
    view.incarnation = incarnation(number("incarnation"));
    view.reported_at = now;
    view.first_seen = now;
    auto const state = parse_upstream_state(text("state"));
    if (!state)
    {
        return wrong("state", "starting, serving or draining");
    }
    view.state = *state;
    return check(std::move(view));
}

QCborMap to_cbor(upstream_view const& upstream, monotonic_time now)
{
    return {{QLatin1String("u"), upstream.id.value()},
            {QLatin1String("s"), upstream.service.value()},
            {QLatin1String("a"), upstream.address.text()},
            {QLatin1String("r"), upstream.region.value()},
            {QLatin1String("z"), upstream.zone.value()},
            {QLatin1String("n"), upstream.slots.value()},
            {QLatin1String("c"), upstream.connections},
            {QLatin1String("l"), static_cast<int>(upstream.load * 1000)},
            {QLatin1String("st"), static_cast<int>(upstream.state)},
            {QLatin1String("i"), upstream.incarnation.value()},
            {QLatin1String("age"),
             static_cast<qint64>(elapsed(upstream.reported_at, now).count())}};
}

boost::leaf::result<upstream_view> parse_upstream_news(QCborMap const& map,
                                                       monotonic_time now)
{
    upstream_view view;
    view.id = upstream_id(cbor_text(map, "u"));
    view.service = service_name(cbor_text(map, "s"));
    view.address =
        parse_socket_address(cbor_text(map, "a")).value_or(socket_address{});
    view.region = region_name(cbor_text(map, "r"));
    view.zone = zone_name(cbor_text(map, "z"));
    view.slots = slot_count(static_cast<int>(cbor_number(map, "n")));
    view.connections = static_cast<int>(cbor_number(map, "c"));
    view.load = static_cast<double>(cbor_number(map, "l")) / 1000;
    view.incarnation = incarnation(cbor_number(map, "i"));
    auto const state = cbor_number(map, "st", -1);
    if (state < 0 || state >= static_cast<qint64>(state_words.size()))
    {
        return wrong("st", "0 to 2");
    }
    view.state = static_cast<upstream_state>(state);
    auto const age =
        std::clamp<qint64>(cbor_number(map, "age"), 0, longest_age_ms);
    view.reported_at = now - milliseconds(age);
    view.first_seen = view.reported_at;
    return check(std::move(view));
}

upstream_directory::upstream_directory(clock_source const& clock)
    : clock_(clock)
{
}

bool upstream_directory::merge(upstream_view news)
{
    auto const found = upstreams_.find(news.id);
    if (found == upstreams_.end())
    {
        if (upstreams_.size() >= maximum_upstreams)
        {
            return false;
        }
        upstreams_.insert(news.id, std::move(news));
        return true;
    }
    auto& known = found.value();
    if (news.incarnation != known.incarnation)
    {
        bool const is_newer = news.incarnation > known.incarnation;
        if (is_newer)
        {
            known = std::move(news);
        }
        return is_newer;
    }
    bool const starts_to_drain = news.state == upstream_state::draining &&
                                 known.state != upstream_state::draining;
    if (news.reported_at <= known.reported_at)
    {
        if (starts_to_drain)
        {
            known.state = upstream_state::draining;
        }
        return starts_to_drain;
    }
    bool const was_draining = known.state == upstream_state::draining;
    bool const is_changed = news.state != known.state && !was_draining;
    news.first_seen = known.first_seen;
    known = std::move(news);
    if (was_draining)
    {
        known.state = upstream_state::draining;
    }
    return is_changed;
}

void upstream_directory::forget_old()
{
    auto const now = clock_.now();
    upstreams_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value().reported_at, now) > forget_after; });
}

QHash<service_name, std::vector<upstream_view>>
upstream_directory::by_service() const
{
    QHash<service_name, std::vector<upstream_view>> result;
    for (auto const& upstream : upstreams_)
    {
        result[upstream.service].push_back(upstream);
    }
    return result;
}

upstream_view const* upstream_directory::find(upstream_id const& id) const
{
    auto const found = upstreams_.constFind(id);
    return found == upstreams_.constEnd() ? nullptr : &found.value();
}

} // namespace verbenacove
