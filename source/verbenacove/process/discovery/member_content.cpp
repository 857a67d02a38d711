#include "verbenacove/process/discovery/member_content.hpp"

#include "verbenacove/core/cbor.hpp"

#include <array>

namespace verbenacove
{

namespace
{

/** Smallest difference between two ends of a warm-up that counts as a change.
    The end is computed from the remaining time in each heartbeat, so it varies
    by the delay of the messages. */
constexpr milliseconds cold_tolerance{400};

constexpr auto last_phase = static_cast<qint64>(member_phase::gone);

template <class Content>
QCborMap header_to_cbor(member_record<Content> const& record,
                        monotonic_time now)
{
    QCborMap result{{QLatin1String("id"), record.id},
                    {QLatin1String("started"), record.started.value()},
                    {QLatin1String("seq"), record.sequence},
                    {QLatin1String("phase"), static_cast<int>(record.phase)},
                    {QLatin1String("silent"), record.is_silent},
                    {QLatin1String("age"),
                     qint64{elapsed(record.last_heartbeat, now).count()}}};
    if (record.born)
    {
        result[QLatin1String("born")] = record.born->value();
    }
    return result;
}

template <class Content>
bool header_from_cbor(QCborMap const& map, monotonic_time now,
                      member_record<Content>& record)
{
    auto const phase = cbor_number(map, "phase", -1);
    record.id = cbor_text(map, "id");
    if (record.id.isEmpty() || phase < 0 || phase > last_phase)
    {
        return false;
    }
    record.started = incarnation(cbor_number(map, "started"));
    if (map.contains(QLatin1String("born")))
    {
        record.born = incarnation(cbor_number(map, "born"));
    }
    record.sequence = cbor_number(map, "seq");
    record.phase = static_cast<member_phase>(phase);
    record.is_silent = cbor_flag(map, "silent");
    auto const age = std::max(qint64{0}, cbor_number(map, "age"));
    record.last_heartbeat = now - milliseconds(age);
    return true;
}

bool read_address(QCborMap const& map, socket_address& address)
{
    auto const parsed = parse_socket_address(cbor_text(map, "address"));
    address = parsed.value_or(socket_address{});
    return parsed.has_value();
}

// Entries and replicas report the same attributes of their location.
template <class Content>
QCborMap located_to_cbor(member_record<Content> const& record,
                         monotonic_time now)
{
    auto result = header_to_cbor(record, now);
    result[QLatin1String("address")] = record.content.address.text();
    result[QLatin1String("zone")] = record.content.zone.value();
    result[QLatin1String("region")] = record.content.region.value();
    return result;
}

template <class Content>
bool located_from_cbor(QCborMap const& map, monotonic_time now,
                       member_record<Content>& record)
{
    record.content.zone = zone_name(cbor_text(map, "zone"));
    record.content.region = region_name(cbor_text(map, "region"));
    return header_from_cbor(map, now, record) &&
           read_address(map, record.content.address);
}

} // namespace

bool upstream_content::is_equivalent(upstream_content const& other) const
{
    auto const difference = cold_until > other.cold_until
                                ? elapsed(other.cold_until, cold_until)
                                : elapsed(cold_until, other.cold_until);
    return service == other.service && address == other.address &&
           zone == other.zone && slots == other.slots &&
           difference < cold_tolerance;
}

bool upstream_content::is_same_place(upstream_content const& other) const
{
    return service == other.service && address == other.address;
}

bool entry_content::is_equivalent(entry_content const& other) const
{
    return address == other.address && zone == other.zone &&
           region == other.region &&
           reaches_upstreams == other.reaches_upstreams;
}

bool replica_content::is_equivalent(replica_content const& other) const
{
    return address == other.address && zone == other.zone &&
           region == other.region;
}

QCborMap to_cbor(upstream_member const& record, monotonic_time now)
{
    auto result = header_to_cbor(record, now);
    auto const& content = record.content;
    auto const cold =
        std::max(milliseconds(0), elapsed(now, content.cold_until));
    result[QLatin1String("service")] = content.service.value();
    result[QLatin1String("address")] = content.address.text();
    result[QLatin1String("zone")] = content.zone.value();
    result[QLatin1String("slots")] = content.slots.value();
    result[QLatin1String("cold")] = qint64{cold.count()};
    if (record.is_of_unknown_start)
    {
        result[QLatin1String("unknown_start")] = true;
    }
    return result;
}

QCborMap to_cbor(entry_member const& record, monotonic_time now)
{
    auto result = located_to_cbor(record, now);
    if (!record.content.reaches_upstreams)
    {
        result[QLatin1String("cut_off")] = true;
    }
    return result;
}

QCborMap to_cbor(replica_member const& record, monotonic_time now)
{
    return located_to_cbor(record, now);
}

QCborMap to_cbor(rate_limit_record const& record, monotonic_time now)
{
    auto result = header_to_cbor(record, now);
    if (record.content.rate)
    {
        result[QLatin1String("rate")] = record.content.rate->value();
    }
    return result;
}

bool from_cbor(QCborMap const& map, monotonic_time now, upstream_member& record)
{
    auto& content = record.content;
    content.service = service_name(cbor_text(map, "service"));
    content.zone = zone_name(cbor_text(map, "zone"));
    content.slots = slot_count(static_cast<int>(cbor_number(map, "slots")));
    content.cold_until = upstream_content::warmup_end(
        now, milliseconds(cbor_number(map, "cold")));
    bool const has_address = read_address(map, content.address);
    bool const is_valid = header_from_cbor(map, now, record);
    bool const is_gone = record.phase == member_phase::gone;
    record.is_of_unknown_start =
        is_gone && !has_address && cbor_flag(map, "unknown_start");
    // The departure of an upstream that its replica did not know has none.
    return is_valid && (has_address || is_gone);
}

bool from_cbor(QCborMap const& map, monotonic_time now, entry_member& record)
{
    record.content.reaches_upstreams = !cbor_flag(map, "cut_off");
    return located_from_cbor(map, now, record);
}

bool from_cbor(QCborMap const& map, monotonic_time now, replica_member& record)
{
    return located_from_cbor(map, now, record);
}

bool from_cbor(QCborMap const& map, monotonic_time now,
               rate_limit_record& record)
{
    auto const rate = map.value(QLatin1String("rate"));
    record.content.rate.reset();
    if (rate.isDouble() || rate.isInteger())
    {
        record.content.rate = requests_per_second(rate.toDouble());
    }
    bool const is_rate =
        rate.isUndefined() ||
        (record.content.rate.has_value() && record.content.rate->value() >= 0);
    return is_rate && header_from_cbor(map, now, record);
}

QString phase_name(member_phase phase)
{
    static std::array<char const*, 4> const words{"starting", "serving",
                                                  "draining", "gone"};
    return QString::fromLatin1(words.at(static_cast<std::size_t>(phase)));
}

} // namespace verbenacove
