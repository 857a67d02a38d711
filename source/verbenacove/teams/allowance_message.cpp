#include "verbenacove/teams/allowance_message.hpp"

#include "verbenacove/core/cbor.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** Number of values of one item in a flat list. */
constexpr qsizetype item_size = 3;
/** Maximum number of items that are read. */
constexpr qsizetype maximum_items = 4096;
/** Maximum count of an item, so that sums stay far from the type's end. */
constexpr qint64 maximum_count = 1000000;
/** Fractions are sent in thousandths. */
constexpr double fraction_unit = 1000;
/** Maximum time that an answer can name. */
constexpr qint64 maximum_time_ms = 600000;

qint64 bounded_count(QCborValue const& value)
{
    return std::clamp(value.toInteger(), -maximum_count, maximum_count);
}

milliseconds bounded_time(qint64 value)
{
    return milliseconds(std::clamp(value, qint64{0}, maximum_time_ms));
}

/** Calls a function with the index of each item of a flat list. */
template <class Function>
void for_each_item(QCborArray const& list, Function read)
{
    auto const count = std::min(list.size() / item_size, maximum_items);
    for (qsizetype item = 0; item < count; ++item)
    {
        if (!list.at(item * item_size).toString().isEmpty())
        {
            read(item * item_size);
        }
    }
}

} // namespace

QCborMap to_cbor(std::vector<allowance_use> const& uses)
{
    QCborArray list;
    for (auto const& use : uses)
    {
        list.append(use.team.value());
        list.append(use.admitted);
        list.append(use.refused);
    }
    return {{QLatin1String("uses"), list}};
}

std::vector<allowance_use> parse_allowance_uses(QCborMap const& map)
{
    std::vector<allowance_use> uses;
    auto const list = cbor_array(map, "uses");
    for_each_item(
        list,
        [&](qsizetype at)
        {
            uses.push_back(
                {team_name(list.at(at).toString()),
                 bounded_count(list.at(at + 1)),
                 std::max(qint64{0}, bounded_count(list.at(at + 2)))});
        });
    return uses;
}

QCborMap to_cbor(allowance_answer const& answer)
{
    QCborMap map{{QLatin1String("status"), QLatin1String("ok")},
                 {QLatin1String("settled"), answer.is_settled}};
    QCborArray list;
    for (auto const& each : answer.restrictions)
    {
        list.append(each.team.value());
        list.append(static_cast<qint64>(each.fraction * fraction_unit));
        list.append(qint64{each.debt_time.count()});
    }
    if (!list.isEmpty())
    {
        map[QLatin1String("restricted")] = list;
    }
    return map;
}

std::optional<allowance_answer> parse_allowance_answer(QCborMap const& map)
{
    if (cbor_text(map, "status") != QLatin1String("ok") ||
        !map.contains(QLatin1String("settled")))
    {
        return std::nullopt;
    }
    allowance_answer answer;
    answer.is_settled = cbor_flag(map, "settled");
    auto const list = cbor_array(map, "restricted");
    for_each_item(list,
                  [&](qsizetype at)
                  {
                      auto const fraction =
                          static_cast<double>(list.at(at + 1).toInteger()) /
                          fraction_unit;
                      answer.restrictions.push_back(
                          {team_name(list.at(at).toString()),
                           std::clamp(fraction, 0.0, 1.0),
                           bounded_time(list.at(at + 2).toInteger())});
                  });
    return answer;
}

} // namespace verbenacove
