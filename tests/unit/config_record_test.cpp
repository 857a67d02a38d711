#include "verbenacove/version/config_record.hpp"
#include "verbenacove/version/record_reader.hpp"

#include <QDir>
#include <QFile>
#include <QJsonDocument>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

QJsonObject json(char const* text)
{
    auto const document = QJsonDocument::fromJson(text);
    REQUIRE(document.isObject());
    return document.object();
}

QString errors_of(record_kind kind, QJsonObject const& object, int schema = 2)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_CHECK(parse_record(kind, object, schema));
            return QString();
        },
        [](record_errors const& errors) { return errors.text(); },
        [](schema_unknown const& error) { return error.text(); },
        [] { return QStringLiteral("another error"); });
}

char const* const new_form = R"({"name": "dispatch", "class": "interactive",
    "timeout_ms": 2000, "max_body_bytes": 4096, "retry": false,
    "max_response_store_bytes": 100, "quarantine_after": 3, "rules": [
      {"method": "POST", "path_prefix": "/bales", "class": "non-idempotent",
       "key": {"from": "path", "segment": 2}},
      {"method": "*", "path_prefix": "/bales/old", "class": "batch"}]})";

char const* const old_form = R"({"name": "dispatch", "class": "batch",
    "timeout_ms": 9000, "max_body_bytes": 1})";

service_record service(char const* text, int schema,
                       config_record const* current = nullptr)
{
    return std::get<service_record>(
        parse_record(record_kind::service, json(text), schema, current)
            .value());
}

} // namespace

TEST_CASE("record: each kind: is what it was after writing and reading")
{
    std::pair<record_kind, char const*> const records[] = {
        {record_kind::service, new_form},
        {record_kind::place, R"({"name": "wcape", "zones": ["a", "b"]})"},
        {record_kind::limit,
         R"({"name": "w-g", "limit": "bandwidth", "from": "wcape",
             "to": "gauteng", "mbit_per_s": 4000, "floor_share": 0.2})"},
        {record_kind::limit, R"({"name": "w", "limit": "slots",
             "region": "wcape", "slots": 80, "floor_share": 0.5})"},
        {record_kind::rule, R"({"name": "r", "service": "dispatch",
             "regions": [{"region": "wcape", "weight": 3}]})"},
        {record_kind::drain, R"({"scope": "zone", "target": "wcape-a"})"}};
    for (auto const& [kind, form] : records)
    {
        auto const* text = form;
        CAPTURE(text);
        auto const record = parse_record(kind, json(text), 2).value();
        CHECK(kind_of(record) == kind);
        auto const again = record_to_json(record, 2);
        CHECK(parse_record(kind, again, 2).value() == record);
    }
}

TEST_CASE("record: many faults: each named with value and rule, at once")
{
    auto const errors =
        errors_of(record_kind::service,
                  json(R"({"name": "a b", "class": "fast", "timeout_ms": 0.5,
                 "retry": 1, "colour": "red",
                 "rules": [{"method": "post", "path_prefix": "bales",
                            "class": "batch",
                            "key": {"from": "body"}}]})"));
    CHECK(errors.contains(QStringLiteral("name = \"a b\": must be 1 to 64")));
    CHECK(errors.contains(QStringLiteral(
        "class = \"fast\": must be one of interactive, non-idempotent")));
    CHECK(errors.contains(QStringLiteral(
        "timeout_ms = 0.5: must be a whole number from 1 to 600000")));
    CHECK(errors.contains(QStringLiteral("max_body_bytes: missing")));
    CHECK(errors.contains(QStringLiteral("retry = 1: must be true or false")));
    CHECK(errors.contains(QStringLiteral("colour = \"red\": unknown key")));
    CHECK(errors.contains(QStringLiteral("rules[0].method = \"post\"")));
    CHECK(errors.contains(
        QStringLiteral("rules[0].path_prefix = \"bales\": must begin")));
    CHECK(errors.contains(QStringLiteral("rules[0].key.from = \"body\"")));
}

TEST_CASE("record: faults of other kinds: refused with the rule")
{
    CHECK(errors_of(record_kind::place, json(R"({"name": "w", "zones": []})"))
              .contains(QStringLiteral("1 to 64 names")));
    CHECK(errors_of(record_kind::place,
                    json(R"({"name": "w", "zones": ["a", "a"]})"))
              .contains(QStringLiteral("given twice")));
    CHECK(errors_of(record_kind::limit,
                    json(R"({"name": "l", "limit": "bandwidth", "from": "a",
                             "to": "a", "mbit_per_s": -1, "floor_share": 2,
                             "slots": 3})"))
              .split(QLatin1Char('\n'))
              .size() == 4);
    CHECK(errors_of(record_kind::rule,
                    json(R"({"name": "r", "service": "s", "regions": []})"))
              .contains(QStringLiteral("weight above 0")));
    CHECK(errors_of(record_kind::drain,
                    json(R"({"scope": "moon", "target": "a"})"))
              .contains(QStringLiteral("upstream, zone, region")));
}

TEST_CASE("record: old form over a new one: new fields keep their values")
{
    config_record const current = service(new_form, 2);
    auto const merged = service(old_form, 1, &current);
    auto expected = std::get<service_record>(current);
    expected.default_class = service_class::batch;
    expected.timeout = milliseconds(9000);
    expected.max_body_bytes = 1;
    CHECK(merged == expected);
    CHECK(record_to_json(merged, 1) == json(old_form));
}

TEST_CASE("record: new field in the old form: refused as unknown")
{
    auto object = json(old_form);
    object.insert(QStringLiteral("retry"), false);
    CHECK(errors_of(record_kind::service, object, 1) ==
          QStringLiteral("retry = false: unknown key"));
}

TEST_CASE("record: unknown schema: refused with the known ones")
{
    for (int const schema : {0, -1, 3})
    {
        CHECK(errors_of(record_kind::service, json(old_form), schema) ==
              QStringLiteral("schema version %1 is not known; known are 1 "
                             "to 2")
                  .arg(schema));
    }
}

TEST_CASE("policy: several rules: longest path wins, however it is written")
{
    auto const dispatch = service(new_form, 2);
    CHECK(policy_for(dispatch, "GET", "/bales/7").request_class ==
          service_class::interactive);
    for (auto const* path : {"/bales/7", "//bales/7/release", "/%62ales/7",
                             "/x/../bales/7", "/./bales/7"})
    {
        CAPTURE(path);
        auto const policy = policy_for(dispatch, "POST", path);
        CHECK(policy.request_class == service_class::non_idempotent);
        CHECK(policy.key.segment == 2);
    }
    CHECK(policy_for(dispatch, "POST", "/balesx").request_class ==
          service_class::interactive);
    CHECK(policy_for(dispatch, "POST", "/bales/old/7").request_class ==
          service_class::batch);
}

TEST_CASE("record: each example file: is right in its own schema")
{
    QDir const folder(QStringLiteral(VERBENACOVE_EXAMPLES));
    auto const names = folder.entryList({QStringLiteral("*-*-*.json")});
    CHECK(names.size() >= 15);
    for (auto const& name : names)
    {
        auto const text = name.toStdString();
        CAPTURE(text);
        QFile file(folder.filePath(name));
        REQUIRE(file.open(QIODevice::ReadOnly));
        auto object = json(file.readAll().constData());
        auto const schema = object.take(QStringLiteral("schema")).toInt(2);
        auto const kind =
            parse_record_kind(name.section(QLatin1Char('-'), 1, 1));
        REQUIRE(kind);
        CHECK(errors_of(*kind, object, schema) == QString());
    }
}
