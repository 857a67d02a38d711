#include "verbenacove/process/discovery/crash_exchange.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"

namespace verbenacove
{

namespace
{

event_log const crash_log{"crashes"};

constexpr char records_key[] = "crashes";
constexpr char position_key[] = "crashes_after";

/** Age at which an update is written again, as it tells ages of crashes. */
constexpr milliseconds maximum_update_age{500};

} // namespace

quarantine_cursor add_crashes(QCborMap& message, quarantine const& known,
                              quarantine_cursor since, record_scope scope)
{
    if (!known.has_changes(since, scope))
    {
        return since;
    }
    auto const crashes = known.export_update(since, scope);
    message[QLatin1String(records_key)] = to_cbor(crashes);
    return crashes.next;
}

void shared_crash_update::add_to(QCborMap& message, quarantine const& known,
                                 quarantine_cursor since, monotonic_time now)
{
    if (!known.has_changes(since))
    {
        return;
    }
    bool const is_current = !update_.isEmpty() && since_ == since &&
                            last_change_ == known.last_change() &&
                            elapsed(written_, now) < maximum_update_age;
    if (!is_current)
    {
        update_ = to_cbor(known.export_update(since));
        since_ = since;
        last_change_ = known.last_change();
        written_ = now;
    }
    message[QLatin1String(records_key)] = update_;
}

std::optional<quarantine_update> parse_crashes(QCborMap const& message)
{
    if (!message.contains(QLatin1String(records_key)))
    {
        return std::nullopt;
    }
    auto const parsed = parse_quarantine_update(cbor_map(message, records_key));
    if (!parsed)
    {
        crash_log.note("crashes.unreadable", {});
        return std::nullopt;
    }
    return *parsed;
}

void crash_position::add_to(QCborMap& request) const
{
    request[QLatin1String(position_key)] = since_.value();
}

void crash_position::apply_response(
    qint64 view_id, std::optional<quarantine_update> const& crashes)
{
    if (view_id != view_id_)
    {
        // The source has restarted or is another one, so all of its crashes are
        // read again; those that this response lacks come with the next one.
        view_id_ = view_id;
        since_ = quarantine_cursor(0);
        return;
    }
    since_ = crashes ? crashes->next : since_;
}

quarantine_cursor crash_position::parse(QCborMap const& request)
{
    return quarantine_cursor(cbor_number(request, position_key));
}

} // namespace verbenacove
