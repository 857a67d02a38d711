#include "verbenacove/version/claim_message.hpp"

#include <QCborArray>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

constexpr qsizetype header_count = 256;
constexpr qint64 highest_status = 999;

struct result_word
{
    claim_result result;
    char const* word;
};

constexpr std::array<result_word, 11> result_words{{
    {claim_result::granted, "granted"},
    {claim_result::held, "held"},
    {claim_result::mismatch, "mismatch"},
    {claim_result::finished, "finished"},
    {claim_result::abandoned, "abandoned"},
    {claim_result::fenced, "fenced"},
    {claim_result::full, "full"},
    {claim_result::recorded, "recorded"},
    {claim_result::released, "released"},
    {claim_result::not_holder, "not-holder"},
    {claim_result::unknown, "unknown"},
}};

QLatin1String word_of(claim_result result)
{
    auto const found = std::find_if(result_words.begin(), result_words.end(),
                                    [&](result_word const& entry)
                                    { return entry.result == result; });
    return QLatin1String(found->word);
}

/** Takes typed fields out of a map and keeps the first fault. */
class field_reader
{
public:
    explicit field_reader(QCborMap const& map)
        : map_(map)
    {
    }

    QString text(char const* field, qsizetype longest)
    {
        auto const value = map_.value(QLatin1String(field));
        auto result = value.toString();
        require(!result.isEmpty() && result.size() <= longest, field);
        return result;
    }

    qint64 number(char const* field, qint64 lowest, qint64 highest)
    {
        auto const value = map_.value(QLatin1String(field));
        auto const result = value.toInteger(lowest);
        require(value.isInteger() && result >= lowest && result <= highest,
                field);
        return result;
    }

    qint64 count(char const* field)
    {
        return number(field, 0, std::numeric_limits<qint64>::max());
    }

    QByteArray bytes(char const* field)
    {
        auto const value = map_.value(QLatin1String(field));
        require(value.isByteArray(), field);
        return value.toByteArray();
    }

    bool flag(char const* field)
    {
        auto const value = map_.value(QLatin1String(field));
        require(value.isBool(), field);
        return value.toBool();
    }

    bool has(char const* field) const
    {
        return map_.contains(QLatin1String(field));
    }

    QCborMap map(char const* field)
    {
        auto const value = map_.value(QLatin1String(field));
        require(value.isMap(), field);
        return value.toMap();
    }

    QCborArray array(char const* field)
    {
        auto const value = map_.value(QLatin1String(field));
        require(value.isArray(), field);
        return value.toArray();
    }

    void require(bool is_right, char const* field)
    {
        if (!is_right && fault_.isEmpty())
        {
            fault_ = QLatin1String(field);
        }
    }

    leaf::result<void> finish() const
    {
        if (fault_.isEmpty())
        {
            return {};
        }
        return leaf::new_error(claim_format_error{
            QStringLiteral("field %1 is missing or wrong").arg(fault_)});
    }

private:
    QCborMap const& map_;
    QString fault_;
};

void insert(QCborMap& map, char const* field, QCborValue const& value)
{
    map.insert(QLatin1String(field), value);
}

void insert_key(QCborMap& map, claim_key const& key)
{
    insert(map, "service", key.service.value());
    insert(map, "key", key.key.value());
}

claim_key read_key(field_reader& fields)
{
    return {service_name(fields.text("service", longest_claim_name)),
            request_key(fields.text("key", longest_claim_key))};
}

void insert_holder(QCborMap& map, claim_holder const& holder)
{
    insert(map, "entry", holder.entry.value());
    insert(map, "incarnation", holder.entry_incarnation.value());
    insert(map, "nonce", holder.nonce.value());
}

claim_holder read_holder(field_reader& fields)
{
    return {entry_id(fields.text("entry", longest_claim_name)),
            incarnation(fields.count("incarnation")),
            attempt_nonce(fields.count("nonce"))};
}

request_fingerprint read_fingerprint(field_reader& fields)
{
    auto digest = fields.bytes("fingerprint");
    fields.require(digest.size() == fingerprint_bytes, "fingerprint");
    return request_fingerprint(std::move(digest));
}

QCborMap to_cbor(claim_outcome const& outcome)
{
    QCborArray headers;
    for (auto const& header : outcome.headers)
    {
        headers.append(header.name);
        headers.append(header.value);
    }
    QCborMap map;
    insert(map, "ran", outcome.verdict == run_verdict::ran);
    insert(map, "status", outcome.status);
    insert(map, "headers", headers);
    insert(map, "body", outcome.body);
    insert(map, "stored", outcome.is_stored);
    return map;
}

leaf::result<claim_outcome> parse_outcome(QCborMap const& map)
{
    field_reader fields(map);
    claim_outcome outcome;
    outcome.verdict =
        fields.flag("ran") ? run_verdict::ran : run_verdict::may_have_run;
    outcome.status = int(fields.number("status", 0, highest_status));
    outcome.body = fields.bytes("body");
    outcome.is_stored = fields.flag("stored");
    auto const headers = fields.array("headers");
    bool const has_pairs =
        headers.size() % 2 == 0 && headers.size() / 2 <= header_count;
    fields.require(has_pairs, "headers");
    for (qsizetype i = 0; has_pairs && i < headers.size(); i += 2)
    {
        fields.require(headers.at(i).isByteArray() &&
                           headers.at(i + 1).isByteArray(),
                       "headers");
        outcome.headers.push_back(
            {headers.at(i).toByteArray(), headers.at(i + 1).toByteArray()});
    }
    BOOST_LEAF_CHECK(fields.finish());
    return outcome;
}

void insert_command(QCborMap& map, claim_command const& command)
{
    insert(map, "op", QLatin1String("claim"));
    insert_key(map, command.key);
    insert(map, "fingerprint", command.fingerprint.value());
    insert_holder(map, command.holder);
}

void insert_command(QCborMap& map, outcome_command const& command)
{
    insert(map, "op", QLatin1String("outcome"));
    insert_key(map, command.key);
    insert_holder(map, command.holder);
    insert(map, "outcome", to_cbor(command.outcome));
}

void insert_command(QCborMap& map, release_command const& command)
{
    insert(map, "op", QLatin1String("release"));
    insert_key(map, command.key);
    insert_holder(map, command.holder);
}

void insert_command(QCborMap& map, abandon_command const& command)
{
    insert(map, "op", QLatin1String("abandon"));
    insert(map, "entry", command.entry.value());
    insert(map, "incarnation", command.last_gone.value());
}

leaf::result<claim_log_command> parse_outcome_command(log_time at,
                                                      field_reader& fields)
{
    auto const key = read_key(fields);
    auto const holder = read_holder(fields);
    auto const map = fields.map("outcome");
    BOOST_LEAF_CHECK(fields.finish());
    BOOST_LEAF_AUTO(outcome, parse_outcome(map));
    return claim_log_command{at,
                             outcome_command{key, holder, std::move(outcome)}};
}

} // namespace

size_t qHash(claim_holder const& holder, size_t seed)
{
    return qHashMulti(seed, holder.entry.value(),
                      holder.entry_incarnation.value(), holder.nonce.value());
}

size_t qHash(claim_key const& key, size_t seed)
{
    return qHashMulti(seed, key.service.value(), key.key.value());
}

QCborMap to_cbor(claim_log_command const& command)
{
    QCborMap map;
    insert(map, "at", command.at.value());
    std::visit([&](auto const& kind) { insert_command(map, kind); },
               command.command);
    return map;
}

leaf::result<claim_log_command> parse_claim_log_command(QCborMap const& map)
{
    field_reader fields(map);
    log_time const at(fields.count("at"));
    auto const op = fields.text("op", longest_claim_name);
    if (op == QLatin1String("outcome"))
    {
        return parse_outcome_command(at, fields);
    }
    claim_log_command result{at, {}};
    if (op == QLatin1String("claim"))
    {
        result.command = claim_command{
            read_key(fields), read_fingerprint(fields), read_holder(fields)};
    }
    else if (op == QLatin1String("release"))
    {
        result.command = release_command{read_key(fields), read_holder(fields)};
    }
    else if (op == QLatin1String("abandon"))
    {
        result.command =
            abandon_command{entry_id(fields.text("entry", longest_claim_name)),
                            incarnation(fields.count("incarnation"))};
    }
    else
    {
        fields.require(false, "op");
    }
    BOOST_LEAF_CHECK(fields.finish());
    return result;
}

QCborMap to_cbor(claim_answer const& answer)
{
    QCborMap map;
    insert(map, "result", word_of(answer.result));
    if (answer.holder)
    {
        insert_holder(map, *answer.holder);
    }
    if (answer.outcome)
    {
        insert(map, "outcome", to_cbor(*answer.outcome));
    }
    return map;
}

leaf::result<claim_answer> parse_claim_answer(QCborMap const& map)
{
    field_reader fields(map);
    auto const word = fields.text("result", longest_claim_name);
    auto const found =
        std::find_if(result_words.begin(), result_words.end(),
                     [&](result_word const& entry)
                     { return word == QLatin1String(entry.word); });
    fields.require(found != result_words.end(), "result");
    claim_answer answer;
    if (fields.has("entry"))
    {
        answer.holder = read_holder(fields);
    }
    bool const has_outcome = fields.has("outcome");
    auto const outcome = has_outcome ? fields.map("outcome") : QCborMap();
    BOOST_LEAF_CHECK(fields.finish());
    answer.result = found->result;
    if (has_outcome)
    {
        BOOST_LEAF_ASSIGN(answer.outcome, parse_outcome(outcome));
    }
    return answer;
}

QByteArray encode_outcome(claim_outcome const& outcome)
{
    return to_cbor(outcome).toCborValue().toCbor();
}

leaf::result<claim_outcome> decode_outcome(QByteArray const& bytes)
{
    QCborParserError error;
    auto const value = QCborValue::fromCbor(bytes, &error);
    // A map cut short can hold a key without a value, and Qt 6.4 reads past
    // its end when it is asked for that key.
    if (error.error != QCborError::NoError)
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("an outcome is cut short")});
    }
    return parse_outcome(value.toMap());
}

qsizetype content_size(claim_outcome const& outcome)
{
    auto size = outcome.body.size();
    for (auto const& header : outcome.headers)
    {
        size += header.name.size() + header.value.size();
    }
    return size;
}

} // namespace verbenacove
