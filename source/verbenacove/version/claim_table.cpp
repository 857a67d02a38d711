#include "verbenacove/version/claim_table.hpp"

#include <QCborStreamReader>
#include <QCborStreamWriter>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

constexpr qint64 snapshot_format = 1;
// Beyond these many names each record keeps its own copy.
constexpr qsizetype maximum_shared_names = 4096;
constexpr qsizetype name_characters = 64;
constexpr qsizetype key_characters = 128;
constexpr qsizetype header_count = 256;
constexpr qint64 highest_status = 999;
// The elements of one record, fence and gone entry in a snapshot.
constexpr quint64 record_fields = 9;
constexpr quint64 fence_fields = 4;
constexpr quint64 gone_fields = 3;

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
    return {service_name(fields.text("service", name_characters)),
            request_key(fields.text("key", key_characters))};
}

void insert_holder(QCborMap& map, claim_holder const& holder)
{
    insert(map, "entry", holder.entry.value());
    insert(map, "incarnation", holder.entry_incarnation.value());
    insert(map, "nonce", holder.nonce.value());
}

claim_holder read_holder(field_reader& fields)
{
    return {entry_id(fields.text("entry", name_characters)),
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

QByteArray encoded(claim_outcome const& outcome)
{
    return to_cbor(outcome).toCborValue().toCbor();
}

leaf::result<claim_outcome> decoded(QByteArray const& bytes)
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

bool is_equal(std::array<char, fingerprint_bytes> const& stored,
              request_fingerprint const& fingerprint)
{
    return std::equal(stored.begin(), stored.end(), fingerprint.value().begin(),
                      fingerprint.value().end());
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
    auto const op = fields.text("op", name_characters);
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
            abandon_command{entry_id(fields.text("entry", name_characters)),
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
    auto const word = fields.text("result", name_characters);
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

claim_table::claim_table(claim_limits const& limits)
    : limits_(limits)
{
}

claim_answer claim_table::apply(claim_log_command const& command)
{
    move_time(command.at);
    expire();
    return std::visit([this](auto const& kind) { return apply_command(kind); },
                      command.command);
}

claim_answer claim_table::find(claim_key const& key) const
{
    auto const found = claims_.constFind({&key});
    return found == claims_.constEnd() ? claim_answer{} : state_of(**found);
}

claim_answer claim_table::apply_command(claim_command const& command)
{
    if (is_fenced(command.holder))
    {
        return {claim_result::fenced, {}, {}};
    }
    auto const found = claims_.constFind({&command.key});
    if (found != claims_.constEnd())
    {
        auto const& known = **found;
        if (!is_equal(known.fingerprint, command.fingerprint))
        {
            return {claim_result::mismatch, known.holder, {}};
        }
        if (is_open(known) && known.holder == command.holder)
        {
            return {claim_result::granted, {}, {}};
        }
        return state_of(known);
    }
    if (claims_.size() >= limits_.claims)
    {
        return {claim_result::full, {}, {}};
    }
    record added{command.key, {}, command.holder, now_, false, {}, 0};
    auto const& digest = command.fingerprint.value();
    std::copy_n(digest.begin(), std::min(digest.size(), fingerprint_bytes),
                added.fingerprint.begin());
    add_record(std::move(added), true);
    return {claim_result::granted, {}, {}};
}

claim_answer claim_table::apply_command(outcome_command const& command)
{
    auto const found = claims_.constFind({&command.key});
    if (found == claims_.constEnd())
    {
        return {claim_result::unknown, {}, {}};
    }
    auto const known = *found;
    if (known->holder != command.holder)
    {
        return {claim_result::not_holder, {}, {}};
    }
    if (!known->outcome.isEmpty())
    {
        return {claim_result::recorded, {}, outcome_of(*known)};
    }
    // An abandoned claim's outcome may commit late; it is still the truth.
    bool const was_open = is_open(*known);
    auto kept = store(*known, command.outcome);
    if (was_open)
    {
        close(known);
    }
    return {claim_result::recorded, {}, std::move(kept)};
}

claim_answer claim_table::apply_command(release_command const& command)
{
    auto const found = claims_.constFind({&command.key});
    bool const is_own =
        found != claims_.constEnd() && (*found)->holder == command.holder;
    if (is_own && !is_open(**found))
    {
        return state_of(**found);
    }
    // The fence goes first: without it the same claim, committed again, would
    // be granted to a holder that has given up.
    if (!add_fence(command.holder))
    {
        return {claim_result::full, {}, {}};
    }
    if (is_own)
    {
        erase(open_, *found);
    }
    return {claim_result::released, {}, {}};
}

claim_answer claim_table::apply_command(abandon_command const& command)
{
    note_gone(command.entry, command.last_gone);
    for (auto next = open_.begin(); next != open_.end();)
    {
        auto const found = next++;
        if (found->holder.entry == command.entry &&
            found->holder.entry_incarnation <= command.last_gone)
        {
            found->is_abandoned = true;
            close(found);
        }
    }
    return {claim_result::released, {}, {}};
}

void claim_table::move_time(log_time at)
{
    auto const furthest = now_.value() + limits_.time_step_ms;
    auto const proposed = std::min(at.value(), furthest);
    now_ = log_time(std::max(now_.value(), proposed));
}

void claim_table::expire()
{
    expire_front(open_);
    expire_front(closed_);
    while (!fences_.empty() && is_over(fences_.front().since))
    {
        fenced_.remove(fences_.front().holder);
        fences_.pop_front();
    }
    while (!gone_.empty() && is_over(gone_.front().since))
    {
        gone_entries_.remove(gone_.front().entry);
        gone_.pop_front();
    }
}

void claim_table::expire_front(record_list& records)
{
    while (!records.empty() && is_over(records.front().since))
    {
        erase(records, records.begin());
    }
}

bool claim_table::is_over(log_time since) const
{
    return now_.value() - since.value() >= limits_.retention_ms;
}

bool claim_table::is_fenced(claim_holder const& holder) const
{
    auto const gone = gone_entries_.constFind(holder.entry);
    bool const is_gone = gone != gone_entries_.constEnd() &&
                         holder.entry_incarnation <= (*gone)->last_gone;
    return is_gone || fenced_.contains(holder);
}

bool claim_table::add_fence(claim_holder const& holder)
{
    if (is_fenced(holder))
    {
        return true;
    }
    if (fenced_.size() >= limits_.fences)
    {
        return false;
    }
    fences_.push_back({holder, now_});
    fenced_.insert(holder);
    return true;
}

void claim_table::add_record(record added, bool is_open)
{
    auto& records = is_open ? open_ : closed_;
    added.key.service = service_name(shared_name(added.key.service.value()));
    added.holder.entry = entry_id(shared_name(added.holder.entry.value()));
    stored_bytes_ += added.stored;
    records.push_back(std::move(added));
    claims_.insert({&records.back().key}, std::prev(records.end()));
}

void claim_table::close(record_list::iterator found)
{
    found->since = now_;
    closed_.splice(closed_.end(), open_, found);
}

void claim_table::erase(record_list& records, record_list::iterator found)
{
    stored_bytes_ -= found->stored;
    claims_.remove({&found->key});
    records.erase(found);
}

void claim_table::note_gone(entry_id const& entry, incarnation last_gone)
{
    auto const found = gone_entries_.constFind(entry);
    if (found != gone_entries_.constEnd())
    {
        auto const known = *found;
        known->last_gone = std::max(known->last_gone, last_gone);
        known->since = now_;
        gone_.splice(gone_.end(), gone_, known);
        return;
    }
    if (gone_entries_.size() >= limits_.entries)
    {
        gone_entries_.remove(gone_.front().entry);
        gone_.pop_front();
    }
    gone_.push_back({entry, last_gone, now_});
    gone_entries_.insert(entry, std::prev(gone_.end()));
}

bool claim_table::has_room_for(qsizetype stored) const
{
    return stored <= limits_.outcome_bytes &&
           stored_bytes_ + stored <= limits_.stored_bytes;
}

claim_outcome claim_table::store(record& found, claim_outcome const& outcome)
{
    auto const size = content_size(outcome);
    if (!has_room_for(size))
    {
        claim_outcome kept{outcome.verdict, outcome.status, {}, {}, false};
        found.outcome = encoded(kept);
        return kept;
    }
    found.outcome = encoded(outcome);
    found.stored = size;
    stored_bytes_ += size;
    return outcome;
}

QString claim_table::shared_name(QString const& name)
{
    auto const known = names_.constFind(name);
    if (known != names_.constEnd())
    {
        return *known;
    }
    if (names_.size() < maximum_shared_names)
    {
        names_.insert(name);
    }
    return name;
}

bool claim_table::is_open(record const& found)
{
    return found.outcome.isEmpty() && !found.is_abandoned;
}

claim_answer claim_table::state_of(record const& found)
{
    if (!found.outcome.isEmpty())
    {
        return {claim_result::finished, {}, outcome_of(found)};
    }
    return {found.is_abandoned ? claim_result::abandoned : claim_result::held,
            found.holder,
            {}};
}

std::optional<claim_outcome> claim_table::outcome_of(record const& found)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<claim_outcome>>
        {
            BOOST_LEAF_AUTO(outcome, decoded(found.outcome));
            return outcome;
        },
        []
        {
            // Only bytes that were written or checked here are stored.
            Q_ASSERT(false);
            return std::optional<claim_outcome>();
        });
}

// A snapshot is the CBOR array [format, now, open, closed, fences, gone], with
// an array of arrays for each of the last four, in the order of the lists.

QByteArray claim_table::snapshot() const
{
    QByteArray bytes;
    QCborStreamWriter writer(&bytes);
    auto const write_all =
        [&](auto const& items, quint64 fields, auto const& write)
    {
        writer.startArray(quint64(items.size()));
        for (auto const& item : items)
        {
            writer.startArray(fields);
            writer.append(item.since.value());
            write(item);
            writer.endArray();
        }
        writer.endArray();
    };
    auto const write_holder = [&](claim_holder const& holder)
    {
        writer.append(QStringView(holder.entry.value()));
        writer.append(holder.entry_incarnation.value());
        writer.append(holder.nonce.value());
    };
    auto const write_record = [&](record const& item)
    {
        write_holder(item.holder);
        writer.append(QStringView(item.key.service.value()));
        writer.append(QStringView(item.key.key.value()));
        writer.appendByteString(item.fingerprint.data(), fingerprint_bytes);
        writer.append(item.is_abandoned);
        writer.append(item.outcome);
    };
    writer.startArray(6);
    writer.append(snapshot_format);
    writer.append(now_.value());
    write_all(open_, record_fields, write_record);
    write_all(closed_, record_fields, write_record);
    write_all(fences_, fence_fields,
              [&](fence const& item) { write_holder(item.holder); });
    write_all(gone_, gone_fields,
              [&](gone_entry const& item)
              {
                  writer.append(QStringView(item.entry.value()));
                  writer.append(item.last_gone.value());
              });
    writer.endArray();
    return bytes;
}

namespace
{

/** Takes typed elements out of an array, one after another. */
class element_reader
{
public:
    explicit element_reader(QCborArray const& elements)
        : elements_(elements)
    {
    }

    qint64 number()
    {
        auto const value = next();
        auto const result = value.toInteger(-1);
        is_right_ = is_right_ && result >= 0;
        return result;
    }

    QString text(qsizetype longest)
    {
        auto result = next().toString();
        is_right_ = is_right_ && !result.isEmpty() && result.size() <= longest;
        return result;
    }

    QByteArray bytes()
    {
        auto const value = next();
        is_right_ = is_right_ && value.isByteArray();
        return value.toByteArray();
    }

    bool flag()
    {
        auto const value = next();
        is_right_ = is_right_ && value.isBool();
        return value.toBool();
    }

    claim_holder holder()
    {
        entry_id entry(text(name_characters));
        incarnation const process(number());
        return {std::move(entry), process, attempt_nonce(number())};
    }

    leaf::result<void> finish() const
    {
        if (is_right_ && index_ == elements_.size())
        {
            return {};
        }
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list's element is wrong")});
    }

private:
    QCborValue next() { return elements_.at(index_++); }

    QCborArray const& elements_;
    qsizetype index_ = 0;
    bool is_right_ = true;
};

/** Reads an array of arrays, and hands each to a function. */
template <class Take>
leaf::result<void> read_all(QCborStreamReader& reader, Take take)
{
    if (!reader.isArray() || !reader.enterContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list is missing")});
    }
    while (reader.lastError() == QCborError::NoError && reader.hasNext())
    {
        auto const value = QCborValue::fromCbor(reader);
        if (!value.isArray())
        {
            break;
        }
        BOOST_LEAF_CHECK(take(value.toArray()));
    }
    if (reader.lastError() != QCborError::NoError || reader.hasNext() ||
        !reader.leaveContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list is cut short")});
    }
    return {};
}

leaf::result<qint64> read_number(QCborStreamReader& reader)
{
    if (!reader.isInteger())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a number is missing")});
    }
    auto const value = reader.toInteger();
    reader.next();
    return value;
}

} // namespace

leaf::result<claim_table> claim_table::restore(QByteArray const& bytes,
                                               claim_limits const& limits)
{
    QCborStreamReader reader(bytes);
    if (!reader.isArray() || !reader.enterContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("not a snapshot")});
    }
    BOOST_LEAF_AUTO(format, read_number(reader));
    if (format != snapshot_format)
    {
        return leaf::new_error(claim_format_error{
            QStringLiteral("unknown snapshot format %1").arg(format)});
    }
    BOOST_LEAF_AUTO(now, read_number(reader));
    claim_table table(limits);
    table.now_ = log_time(now);
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_record(fields, true); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_record(fields, false); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_fence(fields); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_gone(fields); }));
    return table;
}

leaf::result<void> claim_table::restore_record(QCborArray const& fields,
                                               bool is_open)
{
    element_reader elements(fields);
    record added;
    added.since = log_time(elements.number());
    added.holder = elements.holder();
    added.key.service = service_name(elements.text(name_characters));
    added.key.key = request_key(elements.text(key_characters));
    auto const digest = elements.bytes();
    added.is_abandoned = elements.flag();
    added.outcome = elements.bytes();
    BOOST_LEAF_CHECK(elements.finish());
    if (digest.size() != fingerprint_bytes || claims_.contains({&added.key}))
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a claim is wrong")});
    }
    std::copy(digest.begin(), digest.end(), added.fingerprint.begin());
    if (!added.outcome.isEmpty())
    {
        BOOST_LEAF_AUTO(outcome, decoded(added.outcome));
        added.stored = content_size(outcome);
    }
    add_record(std::move(added), is_open);
    return {};
}

leaf::result<void> claim_table::restore_fence(QCborArray const& fields)
{
    element_reader elements(fields);
    fence added;
    added.since = log_time(elements.number());
    added.holder = elements.holder();
    BOOST_LEAF_CHECK(elements.finish());
    fenced_.insert(added.holder);
    fences_.push_back(std::move(added));
    return {};
}

leaf::result<void> claim_table::restore_gone(QCborArray const& fields)
{
    element_reader elements(fields);
    gone_entry added;
    added.since = log_time(elements.number());
    added.entry = entry_id(elements.text(name_characters));
    added.last_gone = incarnation(elements.number());
    BOOST_LEAF_CHECK(elements.finish());
    gone_.push_back(std::move(added));
    gone_entries_.insert(gone_.back().entry, std::prev(gone_.end()));
    return {};
}

} // namespace verbenacove
