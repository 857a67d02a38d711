#include "verbenacove/process/grant_message.hpp"

#include <QCborValue>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

constexpr qsizetype name_characters = 256;
// Keeps sums of amounts far from the end of their type.
constexpr qint64 highest_number = 1LL << 52;

void insert(QCborMap& map, char const* field, QCborValue const& value)
{
    map.insert(QLatin1String(field), value);
}

leaf::error_id fail(char const* field)
{
    return leaf::new_error(
        grant_format_error{QStringLiteral("field %1 is missing or wrong")
                               .arg(QLatin1String(field))});
}

template <class Name>
leaf::result<void> read(QCborMap const& map, char const* field, Name& name)
{
    auto const text = map.value(QLatin1String(field)).toString();
    if (text.isEmpty() || text.size() > name_characters)
    {
        return fail(field);
    }
    name = Name(text);
    return {};
}

template <class Tag>
leaf::result<void> read(QCborMap const& map, char const* field,
                        strong_type<Tag, qint64>& number)
{
    auto const value = map.value(QLatin1String(field)).toInteger(-1);
    if (value < 0 || value > highest_number)
    {
        return fail(field);
    }
    number = strong_type<Tag, qint64>(value);
    return {};
}

} // namespace

QCborMap to_cbor(grant_request const& request)
{
    QCborMap map;
    insert(map, "resource", request.resource.value());
    insert(map, "holder", request.holder.value());
    insert(map, "incarnation", request.holder_incarnation.value());
    insert(map, "sequence", request.sequence.value());
    insert(map, "adopted", request.adopted.value());
    insert(map, "held", request.held.value());
    insert(map, "floor", request.floor.value());
    insert(map, "in_use", request.in_use.value());
    insert(map, "demand", request.demand.value());
    return map;
}

leaf::result<grant_request> parse_grant_request(QCborMap const& map)
{
    grant_request request;
    BOOST_LEAF_CHECK(read(map, "resource", request.resource));
    BOOST_LEAF_CHECK(read(map, "holder", request.holder));
    BOOST_LEAF_CHECK(read(map, "incarnation", request.holder_incarnation));
    BOOST_LEAF_CHECK(read(map, "sequence", request.sequence));
    BOOST_LEAF_CHECK(read(map, "adopted", request.adopted));
    BOOST_LEAF_CHECK(read(map, "held", request.held));
    BOOST_LEAF_CHECK(read(map, "floor", request.floor));
    BOOST_LEAF_CHECK(read(map, "in_use", request.in_use));
    BOOST_LEAF_CHECK(read(map, "demand", request.demand));
    return request;
}

QCborMap to_cbor(grant_answer const& answer)
{
    QCborMap map;
    insert(map, "resource", answer.resource.value());
    insert(map, "incarnation", answer.holder_incarnation.value());
    insert(map, "sequence", answer.sequence.value());
    insert(map, "amount", answer.amount.value());
    insert(map, "floor", answer.floor.value());
    insert(map, "duration_ms", qint64(answer.duration.count()));
    insert(map, "renewal", answer.is_renewal);
    return map;
}

leaf::result<grant_answer> parse_grant_answer(QCborMap const& map)
{
    grant_answer answer;
    strong_type<struct duration_tag, qint64> duration;
    BOOST_LEAF_CHECK(read(map, "resource", answer.resource));
    BOOST_LEAF_CHECK(read(map, "incarnation", answer.holder_incarnation));
    BOOST_LEAF_CHECK(read(map, "sequence", answer.sequence));
    BOOST_LEAF_CHECK(read(map, "amount", answer.amount));
    BOOST_LEAF_CHECK(read(map, "floor", answer.floor));
    BOOST_LEAF_CHECK(read(map, "duration_ms", duration));
    auto const renewal = map.value(QLatin1String("renewal"));
    if (!renewal.isBool())
    {
        return fail("renewal");
    }
    answer.duration = milliseconds(duration.value());
    answer.is_renewal = renewal.toBool();
    return answer;
}

} // namespace verbenacove
