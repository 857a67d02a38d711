#include "verbenacove/version/config_store.hpp"
#include "verbenacove/version/config_view.hpp"

#include <QCborArray>
#include <QJsonDocument>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace verbenacove;

namespace
{

QString numbered(char const* word, qint64 number)
{
    return QString::fromLatin1(word) + QString::number(number);
}

/** A store, and changes to it with ever new change ids. */
class store_fixture
{
public:
    config_store store;
    qint64 index = 0;

    static config_change put(QString const& id, QString const& name,
                             qint64 expected, qint64 timeout_ms = 100)
    {
        config_change change;
        change.id = change_id(id);
        change.author = QStringLiteral("amina");
        change.name = name;
        change.expected = record_version(expected);
        change.schema = 1;
        change.record = {{QStringLiteral("name"), name},
                         {QStringLiteral("class"), QStringLiteral("batch")},
                         {QStringLiteral("timeout_ms"), timeout_ms},
                         {QStringLiteral("max_body_bytes"), 10}};
        return change;
    }

    static config_change removal(QString const& id, QString const& name,
                                 qint64 expected)
    {
        auto change = put(id, name, expected);
        change.action = change_action::remove;
        change.record = {};
        return change;
    }

    change_result apply(config_change const& change)
    {
        return change_result_from_cbor(
            store.apply(change_to_cbor(change), log_index(++index)));
    }

    QCborMap read(QString const& name, int schema) const
    {
        return store.query({{QStringLiteral("what"), QStringLiteral("read")},
                            {QStringLiteral("kind"), QStringLiteral("service")},
                            {QStringLiteral("name"), name},
                            {QStringLiteral("schema"), schema}});
    }

    /** Makes a change that may be accepted or not. */
    config_change any_change(std::mt19937& random) const
    {
        auto const name = numbered("s", random() % 12);
        auto const version =
            read(name, 2).value(QStringLiteral("version")).toInteger();
        auto const expected = random() % 8 == 0 ? version + 1 : version;
        auto const id = numbered("c", index - (random() % 10 == 0 ? 5 : 0));
        return random() % 4 == 0 ? removal(id, name, expected)
                                 : put(id, name, expected, 1 + random() % 1000);
    }
};

QString view_error(config_view_ptr const& view, QCborMap const& delta,
                   qint64 term)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_CHECK(view->apply_delta(delta, log_term(term)));
            return QString();
        },
        [](delta_refused const& error) { return error.reason; },
        [](schema_unknown const& error) { return error.text(); },
        [](record_errors const& errors) { return errors.text(); },
        [] { return QStringLiteral("another error"); });
}

QString restore_error(QCborMap const& snapshot)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_CHECK(config_store::restore(snapshot));
            return QString();
        },
        [](snapshot_invalid const& error) { return error.reason; },
        [](schema_unknown const& error) { return error.text(); },
        [](record_errors const& errors) { return errors.text(); },
        [] { return QStringLiteral("another error"); });
}

} // namespace

TEST_CASE_FIXTURE(store_fixture,
                  "store: two changes of one version: second names the winner")
{
    auto const name = QStringLiteral("gradebook");
    apply(put(QStringLiteral("c1"), name, 0));
    auto rival = put(QStringLiteral("c3"), name, 1, 300);
    rival.author = QStringLiteral("bilal");
    auto const first = apply(put(QStringLiteral("c2"), name, 1, 200));
    auto const second = apply(rival);
    CHECK(first.outcome == change_outcome::accepted);
    CHECK(first.version == record_version(2));
    CHECK(second.outcome == change_outcome::conflict);
    CHECK(second.version == record_version(2));
    CHECK(second.winner == change_winner{change_id(QStringLiteral("c2")),
                                         QStringLiteral("amina")});
    CHECK(store.version() == config_version(2));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: resend hundreds of changes later: first result")
{
    auto const name = QStringLiteral("gradebook");
    auto const won = put(QStringLiteral("won"), name, 0);
    auto const lost = put(QStringLiteral("lost"), name, 0);
    auto bad = put(QStringLiteral("bad"), name, 1);
    bad.record.insert(QStringLiteral("class"), 7);
    auto const missing =
        removal(QStringLiteral("missing"), QStringLiteral("nothing"), 0);
    std::vector<config_change> const changes{won, lost, bad, missing};
    std::vector<change_result> first;
    first.reserve(changes.size());
    for (auto const& change : changes)
    {
        first.push_back(apply(change));
    }
    CHECK(first[2].reason == refusal::record_invalid);
    CHECK(first[2].errors.size() == 1);
    CHECK(first[3].reason == refusal::not_found);
    for (qint64 i = 1; i <= 600; ++i)
    {
        apply(put(numbered("more", i), name, i));
    }
    apply(put(QStringLiteral("later"), QStringLiteral("nothing"), 0));
    auto const version = store.version();
    store = config_store::restore(store.snapshot()).value();
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        auto again = changes[i];
        again.asked_at = QStringLiteral("2031-01-01T00:00:00Z");
        CHECK(apply(again) == first[i]);
    }
    CHECK(store.version() == version);
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: change id with another content: refused, no effect")
{
    auto const name = QStringLiteral("gradebook");
    apply(put(QStringLiteral("c1"), name, 0));
    auto const result = apply(put(QStringLiteral("c1"), name, 1, 777));
    CHECK(result.outcome == change_outcome::refused);
    CHECK(result.reason == refusal::change_id_reused);
    CHECK(store.version() == config_version(1));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: resend after its id was forgotten: a conflict")
{
    store = config_store({.change_ids = 10});
    auto const name = QStringLiteral("gradebook");
    auto const first = put(QStringLiteral("c0"), name, 0);
    apply(first);
    for (qint64 i = 1; i <= 20; ++i)
    {
        apply(put(numbered("c", i), name, i));
    }
    CHECK(apply(first).outcome == change_outcome::conflict);
    CHECK(store.version() == config_version(21));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: old-form write over a new record: new fields stay")
{
    auto const name = QStringLiteral("dispatch");
    auto newer = put(QStringLiteral("c1"), name, 0);
    newer.schema = 2;
    newer.record.insert(QStringLiteral("quarantine_after"), 5);
    newer.record.insert(QStringLiteral("retry"), false);
    apply(newer);
    auto const older = put(QStringLiteral("c2"), name, 1, 900);
    CHECK(apply(older).outcome == change_outcome::accepted);
    auto const record = read(name, 2).value(QStringLiteral("record")).toMap();
    CHECK(record.value(QStringLiteral("timeout_ms")).toInteger() == 900);
    CHECK(record.value(QStringLiteral("quarantine_after")).toInteger() == 5);
    CHECK(record.value(QStringLiteral("retry")) == QCborValue(false));
    CHECK(
        read(name, 1).value(QStringLiteral("record")).toMap().toJsonObject() ==
        older.record);
}

TEST_CASE_FIXTURE(store_fixture, "store: unknown schema: refused by name")
{
    auto change = put(QStringLiteral("c1"), QStringLiteral("dispatch"), 0);
    change.schema = 3;
    auto const result = apply(change);
    CHECK(result.reason == refusal::schema_unknown);
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].allowed ==
          QStringLiteral("schema version 3 is not known; known are 1 to 2"));
    auto const answer = read(QStringLiteral("dispatch"), 3);
    CHECK(answer.value(QStringLiteral("outcome")) ==
          QCborValue(QStringLiteral("refused")));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: record deleted and created: version goes on")
{
    auto const name = QStringLiteral("dispatch");
    auto const create = put(QStringLiteral("c1"), name, 0);
    apply(create);
    CHECK(apply(removal(QStringLiteral("c2"), name, 1)).version ==
          record_version(2));
    CHECK(read(name, 2).value(QStringLiteral("outcome")) ==
          QCborValue(QStringLiteral("absent")));
    auto const stale = apply(put(QStringLiteral("c3"), name, 0));
    CHECK(stale.outcome == change_outcome::conflict);
    CHECK(stale.winner->id == change_id(QStringLiteral("c2")));
    CHECK(apply(removal(QStringLiteral("c4"), name, 2)).reason ==
          refusal::not_found);
    CHECK(apply(put(QStringLiteral("c5"), name, 2)).version ==
          record_version(3));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: tombstone dropped: its versions are not used again")
{
    store = config_store({.tombstones = 1, .change_ids = 1});
    auto const name = QStringLiteral("a");
    auto const create = put(QStringLiteral("c1"), name, 0);
    apply(create);
    apply(removal(QStringLiteral("c2"), name, 1));
    apply(put(QStringLiteral("c3"), QStringLiteral("b"), 0));
    apply(removal(QStringLiteral("c4"), QStringLiteral("b"), 1));
    CHECK(apply(create).outcome == change_outcome::conflict);
    CHECK(read(name, 2).value(QStringLiteral("version")).toInteger() == 2);
    CHECK(apply(put(QStringLiteral("c5"), name, 2)).version ==
          record_version(3));
    CHECK(store.delta_since(config_version(1))
              .value(QStringLiteral("whole"))
              .toBool());
}

TEST_CASE_FIXTURE(store_fixture, "store: as many records as allowed: refused")
{
    store = config_store({.records = 1});
    apply(put(QStringLiteral("c1"), QStringLiteral("a"), 0));
    CHECK(apply(put(QStringLiteral("c2"), QStringLiteral("b"), 0)).reason ==
          refusal::too_many_records);
    CHECK(apply(put(QStringLiteral("c3"), QStringLiteral("a"), 1)).outcome ==
          change_outcome::accepted);
}

TEST_CASE_FIXTURE(store_fixture, "store: malformed change: refused, no effect")
{
    auto const whole = change_to_cbor(
        put(QStringLiteral("c1"), QStringLiteral("dispatch"), 0));
    std::vector<QCborMap> changes{{}};
    for (auto const& [key, value] : whole)
    {
        auto missing = whole;
        missing.remove(key);
        auto wrong = whole;
        wrong.insert(key, QCborArray{QCborMap()});
        changes.push_back(wrong);
        if (key.toString() != QStringLiteral("schema"))
        {
            changes.push_back(missing);
        }
    }
    auto unknown = whole;
    unknown.insert(QStringLiteral("colour"), 1);
    changes.push_back(unknown);
    for (auto const& change : changes)
    {
        auto const result =
            change_result_from_cbor(store.apply(change, log_index(++index)));
        CHECK(result.reason == refusal::change_invalid);
        CHECK_FALSE(result.errors.empty());
    }
    auto misnamed = put(QStringLiteral("c1"), QStringLiteral("dispatch"), 0);
    misnamed.name = QStringLiteral("ledger");
    CHECK(apply(misnamed).reason == refusal::record_invalid);
    CHECK(store.version() == config_version(0));
}

TEST_CASE_FIXTURE(store_fixture,
                  "store: snapshots at any time: both go on alike")
{
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round)
    {
        auto const change = any_change(random);
        if (round % 50 == 0)
        {
            auto copy = config_store::restore(store.snapshot()).value();
            CHECK(copy.apply(change_to_cbor(change), log_index(index + 1)) ==
                  store.apply(change_to_cbor(change), log_index(index + 1)));
            ++index;
            CHECK(copy.snapshot() == store.snapshot());
            store = std::move(copy);
        }
        else
        {
            apply(change);
        }
    }
    CHECK(store.version().value() > 200);
}

TEST_CASE("snapshot: broken or unknown: refused with the reason")
{
    auto const whole = config_store().snapshot();
    CHECK(restore_error(whole) == QString());
    auto newer = whole;
    newer.insert(QStringLiteral("schema"), 3);
    CHECK(restore_error(newer).contains(QStringLiteral("version 3")));
    for (auto const& [key, value] : whole)
    {
        auto broken = whole;
        broken.insert(key, QStringLiteral("x"));
        CHECK_FALSE(restore_error(broken).isEmpty());
        broken.remove(key);
        CHECK_FALSE(restore_error(broken).isEmpty());
    }
    auto cut = whole;
    cut.insert(QStringLiteral("change_ids"), QByteArray("\x82\x86\x41", 3));
    CHECK(restore_error(cut).contains(QStringLiteral("change_ids")));
    auto odd = whole;
    odd.insert(QStringLiteral("records"), QCborArray{1});
    CHECK_FALSE(restore_error(odd).isEmpty());
}

TEST_CASE_FIXTURE(store_fixture, "view: deltas at any time: equal the whole")
{
    store = config_store({.tombstones = 3});
    std::mt19937 random(11);
    auto view = config_view::empty();
    int incremental = 0;
    for (int round = 0; round < 800; ++round)
    {
        apply(any_change(random));
        if (random() % 5 != 0)
        {
            continue;
        }
        auto const delta = store.delta_since(view->version());
        incremental += delta.value(QStringLiteral("whole")).toBool() ? 0 : 1;
        view = view->apply_delta(delta, log_term(1)).value();
        auto const whole =
            config_view::empty()
                ->apply_delta(store.delta_since(config_version(0)), log_term(1))
                .value();
        CHECK(view->version() == store.version());
        for (int i = 0; i < 12; ++i)
        {
            service_name const name(numbered("s", i));
            auto const* one = view->service(name);
            auto const* other = whole->service(name);
            REQUIRE((one == nullptr) == (other == nullptr));
            CHECK((one == nullptr || *one == *other));
        }
    }
    CHECK(incremental > 20);
}

TEST_CASE_FIXTURE(store_fixture,
                  "view: lower term or version, gap, bad delta: refused")
{
    apply(put(QStringLiteral("c1"), QStringLiteral("a"), 0));
    auto const early = store.delta_since(config_version(0));
    apply(put(QStringLiteral("c2"), QStringLiteral("b"), 0));
    auto const late = store.delta_since(config_version(0));
    auto const gap = store.delta_since(config_version(1));
    auto const view =
        config_view::empty()->apply_delta(late, log_term(4)).value();
    CHECK(view->service(service_name(QStringLiteral("b"))) != nullptr);
    CHECK(view_error(view, late, 4) == QString());
    CHECK(view_error(view, late, 3) ==
          QStringLiteral("term 3 is lower than 4"));
    CHECK(view_error(view, early, 5) ==
          QStringLiteral("version 1 is lower than 2"));
    CHECK(view_error(config_view::empty(), gap, 4) ==
          QStringLiteral("it begins at version 1, after 0"));
    for (auto const& [key, value] : late)
    {
        auto broken = late;
        broken.insert(key, QCborMap());
        CHECK_FALSE(view_error(view, broken, 4).isEmpty());
    }
    auto newer = late;
    newer.insert(QStringLiteral("schema"), 3);
    CHECK(view_error(view, newer, 4).contains(QStringLiteral("version 3")));
}

TEST_CASE_FIXTURE(store_fixture, "view: each kind: can be looked up")
{
    auto const put_record = [this](record_kind kind, char const* json)
    {
        config_change change;
        change.id = change_id(numbered("c", index));
        change.author = QStringLiteral("amina");
        change.kind = kind;
        change.record = QJsonDocument::fromJson(json).object();
        change.name = name_of(parse_record(kind, change.record, 2).value());
        CHECK(apply(change).outcome == change_outcome::accepted);
    };
    put_record(record_kind::place, R"({"name": "wcape", "zones": ["wc-a"]})");
    put_record(record_kind::drain, R"({"scope": "zone", "target": "wc-a"})");
    put_record(record_kind::limit,
               R"({"name": "l1", "limit": "bandwidth", "from": "wcape",
                   "to": "ecape", "mbit_per_s": 4000, "floor_share": 0})");
    put_record(record_kind::limit,
               R"({"name": "l2", "limit": "bandwidth", "from": "wcape",
                   "to": "ecape", "mbit_per_s": 300, "floor_share": 0})");
    put_record(record_kind::rule,
               R"({"name": "r", "service": "ledger",
                   "regions": [{"region": "wcape", "weight": 1}]})");
    auto const view =
        config_view::empty()
            ->apply_delta(store.delta_since(config_version(0)), log_term(1))
            .value();
    region_name const wcape(QStringLiteral("wcape"));
    region_name const ecape(QStringLiteral("ecape"));
    zone_name const zone(QStringLiteral("wc-a"));
    upstream_id const upstream(QStringLiteral("u"));
    CHECK(*view->region_of(zone) == wcape);
    CHECK(view->is_drained(upstream, zone, wcape));
    CHECK_FALSE(view->is_drained(upstream, zone_name(), wcape));
    CHECK(view->bandwidth(wcape, ecape)->name == QStringLiteral("l2"));
    CHECK(view->bandwidth(ecape, wcape) == nullptr);
    CHECK(view->slots(wcape) == nullptr);
    CHECK(view->rule(service_name(QStringLiteral("ledger"))) != nullptr);
}

TEST_CASE_FIXTURE(store_fixture, "query: history is full: oldest is dropped")
{
    store = config_store({.history = 2});
    for (int i = 0; i < 4; ++i)
    {
        apply(put(numbered("c", i), numbered("s", i), 0));
    }
    store = config_store::restore(store.snapshot(), {.history = 2}).value();
    auto const changes =
        store.query({{QStringLiteral("what"), QStringLiteral("history")}})
            .value(QStringLiteral("changes"))
            .toArray();
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].toMap().value(QStringLiteral("change_id")) ==
          QCborValue(QStringLiteral("c2")));
}

TEST_CASE_FIXTURE(store_fixture, "query: list and history: paged and filtered")
{
    for (int i = 0; i < 5; ++i)
    {
        apply(put(numbered("c", i), numbered("s", i), 0));
    }
    apply(removal(QStringLiteral("d"), QStringLiteral("s3"), 1));
    QCborMap question{{QStringLiteral("what"), QStringLiteral("list")},
                      {QStringLiteral("kind"), QStringLiteral("service")},
                      {QStringLiteral("limit"), 3}};
    auto const page = store.query(question);
    auto const records = page.value(QStringLiteral("records")).toArray();
    CHECK(records.size() == 3);
    CHECK(page.value(QStringLiteral("more")).toBool());
    question.insert(QStringLiteral("after"), QStringLiteral("s2"));
    auto const rest = store.query(question);
    CHECK(rest.value(QStringLiteral("records")).toArray().size() == 1);
    CHECK_FALSE(rest.value(QStringLiteral("more")).toBool());
    auto const history =
        store
            .query({{QStringLiteral("what"), QStringLiteral("history")},
                    {QStringLiteral("name"), QStringLiteral("s3")}})
            .value(QStringLiteral("changes"))
            .toArray();
    REQUIRE(history.size() == 2);
    CHECK(history[0].toMap().value(QStringLiteral("action")) ==
          QCborValue(QStringLiteral("delete")));
    CHECK(store.query({{QStringLiteral("what"), QStringLiteral("x")}})
              .value(QStringLiteral("errors"))
              .isArray());
}
