#include "verbenacove/version/config_record.hpp"

#include "verbenacove/version/record_reader.hpp"

#include <QJsonArray>

#include <array>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int most_zones = 64;
constexpr int most_regions = 64;
constexpr int largest_weight = 1000;
constexpr double largest_megabits = 1e6;
constexpr int largest_slots = 1'000'000;

QStringList const& limit_words()
{
    static QStringList const words{QStringLiteral("bandwidth"),
                                   QStringLiteral("slots")};
    return words;
}

place_record read_place(record_reader& reader)
{
    place_record result;
    result.name = region_name(reader.name("name"));
    for (auto const& zone : reader.names("zones", most_zones))
    {
        result.zones.emplace_back(zone);
    }
    return result;
}

bandwidth_limit read_bandwidth(record_reader& reader)
{
    bandwidth_limit result;
    result.from = region_name(reader.name("from"));
    result.to = region_name(reader.name("to"));
    if (result.from == result.to && !result.to.value().isEmpty())
    {
        reader.report("to", QStringLiteral("must be another region than from"));
    }
    result.cap =
        megabits_per_second(reader.real("mbit_per_s", 0, largest_megabits));
    return result;
}

slot_limit read_slots(record_reader& reader)
{
    slot_limit result;
    result.region = region_name(reader.name("region"));
    result.cap =
        slot_count(static_cast<int>(reader.number("slots", 0, largest_slots)));
    return result;
}

limit_record read_limit(record_reader& reader)
{
    limit_record result;
    result.name = reader.name("name");
    if (reader.choice("limit", limit_words()) == 0)
    {
        result.limit = read_bandwidth(reader);
    }
    else
    {
        result.limit = read_slots(reader);
    }
    result.floor_share = reader.real("floor_share", 0, 1);
    return result;
}

region_weight read_weight(QJsonObject const& object, record_errors& errors,
                          QString const& prefix)
{
    record_reader reader(object, errors, prefix);
    region_weight result;
    result.region = region_name(reader.name("region"));
    result.weight =
        static_cast<int>(reader.number("weight", 0, largest_weight));
    reader.finish();
    return result;
}

void check_weights(record_reader& reader, steering_rule const& rule)
{
    int total = 0;
    QSet<region_name> seen;
    for (auto const& part : rule.regions)
    {
        total += part.weight;
        seen.insert(part.region);
    }
    if (total == 0)
    {
        reader.report("regions", QStringLiteral("must have a weight above 0"));
    }
    if (seen.size() != static_cast<qsizetype>(rule.regions.size()))
    {
        reader.report("regions", QStringLiteral("must name each region once"));
    }
}

steering_rule read_rule(record_reader& reader, record_errors& errors)
{
    steering_rule result;
    result.name = reader.name("name");
    result.service = service_name(reader.name("service"));
    for (auto const& object : reader.objects("regions", most_regions))
    {
        auto const prefix =
            QStringLiteral("regions[%1].").arg(result.regions.size());
        result.regions.push_back(read_weight(object, errors, prefix));
    }
    check_weights(reader, result);
    return result;
}

drain_record read_drain(record_reader& reader)
{
    drain_record result;
    result.scope =
        static_cast<drain_scope>(reader.choice("scope", drain_scope_words()));
    result.target = reader.name("target");
    return result;
}

boost::leaf::result<config_record> read_whole(record_kind kind,
                                              QJsonObject const& object)
{
    record_errors errors;
    record_reader reader(object, errors);
    config_record result;
    switch (kind)
    {
    case record_kind::service:
        break;
    case record_kind::place:
        result = read_place(reader);
        break;
    case record_kind::limit:
        result = read_limit(reader);
        break;
    case record_kind::rule:
        result = read_rule(reader, errors);
        break;
    case record_kind::drain:
        result = read_drain(reader);
        break;
    }
    reader.finish();
    if (!errors.errors.empty())
    {
        return boost::leaf::new_error(std::move(errors));
    }
    return result;
}

QJsonObject place_to_json(place_record const& place)
{
    QJsonArray zones;
    for (auto const& zone : place.zones)
    {
        zones.append(zone.value());
    }
    return {{QStringLiteral("name"), place.name.value()},
            {QStringLiteral("zones"), zones}};
}

QJsonObject limit_to_json(limit_record const& record)
{
    QJsonObject result{
        {QStringLiteral("name"), record.name},
        {QStringLiteral("limit"),
         limit_words().at(static_cast<qsizetype>(record.limit.index()))},
        {QStringLiteral("floor_share"), record.floor_share}};
    if (auto const* bandwidth = std::get_if<bandwidth_limit>(&record.limit))
    {
        result.insert(QStringLiteral("from"), bandwidth->from.value());
        result.insert(QStringLiteral("to"), bandwidth->to.value());
        result.insert(QStringLiteral("mbit_per_s"), bandwidth->cap.value());
    }
    else if (auto const* slot = std::get_if<slot_limit>(&record.limit))
    {
        result.insert(QStringLiteral("region"), slot->region.value());
        result.insert(QStringLiteral("slots"), slot->cap.value());
    }
    return result;
}

QJsonObject rule_to_json(steering_rule const& rule)
{
    QJsonArray regions;
    for (auto const& part : rule.regions)
    {
        regions.append(
            QJsonObject{{QStringLiteral("region"), part.region.value()},
                        {QStringLiteral("weight"), part.weight}});
    }
    return {{QStringLiteral("name"), rule.name},
            {QStringLiteral("service"), rule.service.value()},
            {QStringLiteral("regions"), regions}};
}

QJsonObject drain_to_json(drain_record const& drain)
{
    return {{QStringLiteral("scope"), drain_scope_word(drain.scope)},
            {QStringLiteral("target"), drain.target}};
}

} // namespace

QStringList const& record_kind_words()
{
    static QStringList const words{
        QStringLiteral("service"), QStringLiteral("place"),
        QStringLiteral("limit"), QStringLiteral("rule"),
        QStringLiteral("drain")};
    return words;
}

QString record_kind_word(record_kind kind)
{
    return record_kind_words().at(static_cast<int>(kind));
}

std::optional<record_kind> parse_record_kind(QString const& word)
{
    auto const position = record_kind_words().indexOf(word);
    if (position < 0)
    {
        return std::nullopt;
    }
    return static_cast<record_kind>(position);
}

QStringList const& drain_scope_words()
{
    static QStringList const words{QStringLiteral("upstream"),
                                   QStringLiteral("zone"),
                                   QStringLiteral("region")};
    return words;
}

QString drain_scope_word(drain_scope scope)
{
    return drain_scope_words().at(static_cast<int>(scope));
}

std::optional<drain_scope> parse_drain_scope(QString const& word)
{
    auto const position = drain_scope_words().indexOf(word);
    if (position < 0)
    {
        return std::nullopt;
    }
    return static_cast<drain_scope>(position);
}

QString drain_name(drain_scope scope, QString const& target)
{
    return drain_scope_word(scope) + QLatin1Char(':') + target;
}

record_kind kind_of(config_record const& record)
{
    return static_cast<record_kind>(record.index());
}

QString name_of(config_record const& record)
{
    struct namer
    {
        QString operator()(service_record const& r) { return r.name.value(); }
        QString operator()(place_record const& r) { return r.name.value(); }
        QString operator()(limit_record const& r) { return r.name; }
        QString operator()(steering_rule const& r) { return r.name; }
        QString operator()(drain_record const& r)
        {
            return drain_name(r.scope, r.target);
        }
    };
    return std::visit(namer{}, record);
}

boost::leaf::result<config_record> parse_record(record_kind kind,
                                                QJsonObject const& object,
                                                int schema,
                                                config_record const* current)
{
    if (schema < 1 || schema > newest_schema)
    {
        return boost::leaf::new_error(schema_unknown{schema, newest_schema});
    }
    if (kind != record_kind::service)
    {
        return read_whole(kind, object);
    }
    auto const* standing =
        current == nullptr ? nullptr : std::get_if<service_record>(current);
    BOOST_LEAF_AUTO(
        service,
        parse_service(object, schema,
                      standing == nullptr ? service_record() : *standing));
    return config_record(std::move(service));
}

QJsonObject record_to_json(config_record const& record, int schema)
{
    struct writer
    {
        int schema;
        QJsonObject operator()(service_record const& r)
        {
            return service_to_json(r, schema);
        }
        QJsonObject operator()(place_record const& r)
        {
            return place_to_json(r);
        }
        QJsonObject operator()(limit_record const& r)
        {
            return limit_to_json(r);
        }
        QJsonObject operator()(steering_rule const& r)
        {
            return rule_to_json(r);
        }
        QJsonObject operator()(drain_record const& r)
        {
            return drain_to_json(r);
        }
    };
    return std::visit(writer{schema}, record);
}

} // namespace verbenacove
