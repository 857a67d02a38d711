#include "verbenacove/version/service_record.hpp"

#include "verbenacove/version/record_reader.hpp"

#include <QJsonArray>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr int first_schema_with_rules = 2;
constexpr int most_rules = 64;
constexpr int longest_path = 256;
constexpr int longest_header = 64;
constexpr int most_segments = 32;
constexpr qint64 longest_timeout_ms = 600'000;
constexpr qint64 largest_body_bytes = 64 * 1024 * 1024;
constexpr qint64 largest_stored_bytes = 1024 * 1024;
constexpr int most_crashes = 10;

QStringList const& class_words()
{
    static QStringList const words{QStringLiteral("interactive"),
                                   QStringLiteral("non-idempotent"),
                                   QStringLiteral("batch")};
    return words;
}

QStringList const& method_words()
{
    static QStringList const words{
        QStringLiteral("*"),     QStringLiteral("GET"), QStringLiteral("HEAD"),
        QStringLiteral("POST"),  QStringLiteral("PUT"), QStringLiteral("PATCH"),
        QStringLiteral("DELETE")};
    return words;
}

request_key_source read_key(QJsonObject const& object, record_errors& errors,
                            QString const& prefix)
{
    record_reader reader(object, errors, prefix);
    request_key_source result;
    bool const is_path = reader.choice("from", {QStringLiteral("header"),
                                                QStringLiteral("path")}) == 1;
    if (is_path)
    {
        result.segment =
            static_cast<int>(reader.number("segment", 1, most_segments));
    }
    else if (reader.has("header"))
    {
        result.header = reader.word("header", longest_header);
    }
    reader.finish();
    return result;
}

request_rule read_rule(QJsonObject const& object, record_errors& errors,
                       QString const& prefix)
{
    record_reader reader(object, errors, prefix);
    request_rule result;
    result.method = method_words().at(reader.choice("method", method_words()));
    result.path_prefix = reader.word("path_prefix", longest_path);
    if (!result.path_prefix.isEmpty() &&
        !result.path_prefix.startsWith(QLatin1Char('/')))
    {
        reader.report("path_prefix", QStringLiteral("must begin with '/'"));
    }
    result.request_class =
        static_cast<service_class>(reader.choice("class", class_words()));
    if (reader.has("key"))
    {
        result.key = read_key(reader.object("key"), errors,
                              prefix + QStringLiteral("key."));
    }
    reader.finish();
    return result;
}

void read_rules(record_reader& reader, record_errors& errors,
                service_record& service)
{
    service.rules.clear();
    for (auto const& object : reader.objects("rules", most_rules))
    {
        auto const prefix =
            QStringLiteral("rules[%1].").arg(service.rules.size());
        service.rules.push_back(read_rule(object, errors, prefix));
    }
}

QJsonObject key_to_json(request_key_source const& key)
{
    if (key.segment > 0)
    {
        return {{QStringLiteral("from"), QStringLiteral("path")},
                {QStringLiteral("segment"), key.segment}};
    }
    return {{QStringLiteral("from"), QStringLiteral("header")},
            {QStringLiteral("header"), key.header}};
}

QJsonArray rules_to_json(std::vector<request_rule> const& rules)
{
    QJsonArray result;
    for (auto const& rule : rules)
    {
        result.append(QJsonObject{
            {QStringLiteral("method"), rule.method},
            {QStringLiteral("path_prefix"), rule.path_prefix},
            {QStringLiteral("class"), service_class_word(rule.request_class)},
            {QStringLiteral("key"), key_to_json(rule.key)}});
    }
    return result;
}

bool starts_with(QList<QByteArray> const& path, QList<QByteArray> const& prefix)
{
    return path.size() >= prefix.size() && path.first(prefix.size()) == prefix;
}

} // namespace

QString service_class_word(service_class value)
{
    return class_words().at(static_cast<int>(value));
}

boost::leaf::result<service_record>
parse_service(QJsonObject const& object, int schema, service_record current)
{
    record_errors errors;
    record_reader reader(object, errors);
    auto& result = current;
    result.name = service_name(reader.name("name"));
    result.default_class =
        static_cast<service_class>(reader.choice("class", class_words()));
    result.timeout =
        milliseconds(reader.number("timeout_ms", 1, longest_timeout_ms));
    result.max_body_bytes =
        reader.number("max_body_bytes", 0, largest_body_bytes);
    if (schema >= first_schema_with_rules)
    {
        service_record const defaults;
        read_rules(reader, errors, result);
        result.retry = reader.flag("retry", defaults.retry);
        result.max_response_store_bytes =
            reader.number("max_response_store_bytes", 0, largest_stored_bytes,
                          defaults.max_response_store_bytes);
        result.quarantine_after = static_cast<int>(reader.number(
            "quarantine_after", 1, most_crashes, defaults.quarantine_after));
    }
    reader.finish();
    if (!errors.errors.empty())
    {
        return boost::leaf::new_error(std::move(errors));
    }
    return std::move(result);
}

QJsonObject service_to_json(service_record const& service, int schema)
{
    QJsonObject result{
        {QStringLiteral("name"), service.name.value()},
        {QStringLiteral("class"), service_class_word(service.default_class)},
        {QStringLiteral("timeout_ms"),
         static_cast<qint64>(service.timeout.count())},
        {QStringLiteral("max_body_bytes"), service.max_body_bytes}};
    if (schema >= first_schema_with_rules)
    {
        result.insert(QStringLiteral("rules"), rules_to_json(service.rules));
        result.insert(QStringLiteral("retry"), service.retry);
        result.insert(QStringLiteral("max_response_store_bytes"),
                      service.max_response_store_bytes);
        result.insert(QStringLiteral("quarantine_after"),
                      service.quarantine_after);
    }
    return result;
}

request_policy policy_for(service_record const& service,
                          QByteArray const& method, QByteArray const& path)
{
    auto const segments = path_segments(path);
    request_rule const* best = nullptr;
    qsizetype best_length = -1;
    for (auto const& rule : service.rules)
    {
        bool const names_method = rule.method == QLatin1String(method);
        if (!names_method && rule.method != QLatin1String("*"))
        {
            continue;
        }
        auto const prefix = path_segments(rule.path_prefix.toUtf8());
        bool const is_longer = prefix.size() > best_length;
        bool const is_closer = prefix.size() == best_length && names_method &&
                               best->method == QLatin1String("*");
        if (starts_with(segments, prefix) && (is_longer || is_closer))
        {
            best = &rule;
            best_length = prefix.size();
        }
    }
    if (best == nullptr)
    {
        return {service.default_class, {}};
    }
    return {best->request_class, best->key};
}

QList<QByteArray> path_segments(QByteArray const& path)
{
    QList<QByteArray> result;
    for (auto const& part : path.split('/'))
    {
        auto const segment = QByteArray::fromPercentEncoding(part);
        if (segment == "..")
        {
            result.resize(qMax<qsizetype>(0, result.size() - 1));
        }
        else if (!segment.isEmpty() && segment != ".")
        {
            result.append(segment);
        }
    }
    return result;
}

} // namespace verbenacove
