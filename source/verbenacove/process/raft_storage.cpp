#include "verbenacove/process/raft_storage.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/process/durable_file.hpp"

#include <QDir>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace verbenacove
{

namespace
{

log_part const storage_log{"storage"};

QString file_path(QString const& folder, char const* file)
{
    return QDir(folder).filePath(QString::fromLatin1(file));
}

QByteArray snapshot_bytes(raft_snapshot const& snapshot)
{
    QCborMap const map{{QLatin1String("index"), snapshot.index.value()},
                       {QLatin1String("term"), snapshot.term.value()},
                       {QLatin1String("members"), to_cbor(snapshot.members)},
                       {QLatin1String("state"), snapshot.state}};
    return map.toCborValue().toCbor();
}

QByteArray vote_bytes(raft_vote const& vote)
{
    QCborMap const map{{QLatin1String("term"), vote.term.value()},
                       {QLatin1String("candidate"), vote.candidate.value()}};
    return map.toCborValue().toCbor();
}

QCborMap map_of(QByteArray const& bytes)
{
    return parse_cbor_map(bytes).value_or(QCborMap());
}

boost::leaf::error_id failure(QString const& file, QString const& reason)
{
    return boost::leaf::new_error(raft_storage_error{file, reason});
}

QString system_reason()
{
    return QString::fromLocal8Bit(strerror(errno));
}

} // namespace

boost::leaf::result<void> raft_storage::create(QString const& folder,
                                               replica_id const& identity,
                                               raft_members const& members)
{
    if (has_replica(folder))
    {
        return failure(folder, QStringLiteral("holds a replica already"));
    }
    if (!QDir().mkpath(folder))
    {
        return failure(folder, QStringLiteral("cannot be made"));
    }
    raft_snapshot const first{log_index(0), log_term(0), members, {}};
    BOOST_LEAF_CHECK(
        replace_file(file_path(folder, "snapshot"), snapshot_bytes(first)));
    BOOST_LEAF_CHECK(
        replace_file(file_path(folder, "vote"), vote_bytes(raft_vote{})));
    // The identity comes last: with it the folder counts as a replica's.
    return replace_file(file_path(folder, "identity"),
                        identity.value().toUtf8());
}

bool raft_storage::has_replica(QString const& folder)
{
    return QFile::exists(file_path(folder, "identity"));
}

boost::leaf::result<std::unique_ptr<raft_storage>>
raft_storage::open(QString const& folder)
{
    std::unique_ptr<raft_storage> storage(new raft_storage(folder));
    BOOST_LEAF_CHECK(storage->load());
    return storage;
}

raft_storage::raft_storage(QString folder)
    : folder_(std::move(folder))
    , log_(path("log"))
{
}

raft_storage::~raft_storage()
{
    if (lock_ >= 0)
    {
        ::close(lock_);
    }
}

boost::leaf::result<void> raft_storage::save_vote(raft_vote const& vote)
{
    BOOST_LEAF_CHECK(replace_file(path("vote"), vote_bytes(vote)));
    vote_ = vote;
    return {};
}

boost::leaf::result<void> raft_storage::save_snapshot(raft_snapshot snapshot)
{
    bool const is_held = term_at(snapshot.index) == snapshot.term;
    BOOST_LEAF_CHECK(replace_file(path("snapshot"), snapshot_bytes(snapshot)));
    while (!entries_.empty() &&
           (!is_held || entries_.front().index <= snapshot.index))
    {
        entries_.pop_front();
    }
    snapshot_ = std::move(snapshot);
    if (!rewrite_log())
    {
        storage_log.error(QStringLiteral("Cannot shorten the log."));
    }
    return {};
}

log_index raft_storage::last_index() const
{
    return entries_.empty() ? snapshot_.index : entries_.back().index;
}

log_term raft_storage::last_term() const
{
    return entries_.empty() ? snapshot_.term : entries_.back().term;
}

std::optional<log_term> raft_storage::term_at(log_index index) const
{
    if (index == snapshot_.index)
    {
        return snapshot_.term;
    }
    if (index < snapshot_.index || index > last_index())
    {
        return std::nullopt;
    }
    return entry_at(index).term;
}

raft_entry const& raft_storage::entry_at(log_index index) const
{
    auto const offset = index.value() - snapshot_.index.value() - 1;
    Q_ASSERT(offset >= 0 && offset < static_cast<qint64>(entries_.size()));
    return entries_[static_cast<std::size_t>(offset)];
}

raft_members raft_storage::members_at(log_index index) const
{
    auto const newest =
        std::find_if(entries_.rbegin(), entries_.rend(),
                     [index](raft_entry const& entry) {
                         return entry.kind == raft_entry_kind::members &&
                                entry.index <= index;
                     });
    return newest == entries_.rend() ? snapshot_.members
                                     : members_from_cbor(newest->content);
}

boost::leaf::result<void>
raft_storage::append(std::vector<raft_entry> const& entries)
{
    if (entries.empty())
    {
        return {};
    }
    Q_ASSERT(entries.front().index == next_index(last_index()));
    QCborArray list;
    for (auto const& entry : entries)
    {
        list.append(to_cbor(entry));
    }
    BOOST_LEAF_CHECK(write_frame({{QLatin1String("append"), list}}));
    entries_.insert(entries_.end(), entries.begin(), entries.end());
    return {};
}

boost::leaf::result<void> raft_storage::truncate_from(log_index index)
{
    BOOST_LEAF_CHECK(write_frame({{QLatin1String("truncate"), index.value()}}));
    while (!entries_.empty() && entries_.back().index >= index)
    {
        entries_.pop_back();
    }
    return {};
}

boost::leaf::result<void> raft_storage::load()
{
    // Two processes on one folder would each promise what the other breaks.
    lock_ = ::open(QFile::encodeName(path("lock")).constData(),
                   O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_ < 0)
    {
        return failure(folder_, system_reason());
    }
    if (flock(lock_, LOCK_EX | LOCK_NB) != 0)
    {
        return failure(folder_, QStringLiteral("is in use by another process"));
    }
    BOOST_LEAF_AUTO(identity, read_file(path("identity")));
    identity_ = replica_id(QString::fromUtf8(identity));
    BOOST_LEAF_AUTO(vote, read_file(path("vote")));
    auto const vote_map = map_of(vote);
    vote_ = {log_term(cbor_number(vote_map, "term")),
             replica_id(cbor_text(vote_map, "candidate"))};
    BOOST_LEAF_AUTO(snapshot, read_file(path("snapshot")));
    auto const snapshot_map = map_of(snapshot);
    snapshot_ = {log_index(cbor_number(snapshot_map, "index")),
                 log_term(cbor_number(snapshot_map, "term")),
                 members_from_cbor(cbor_map(snapshot_map, "members")),
                 cbor_bytes(snapshot_map, "state")};
    return load_log();
}

boost::leaf::result<void> raft_storage::load_log()
{
    if (!log_.open(QIODevice::ReadWrite | QIODevice::Unbuffered))
    {
        return failure(log_.fileName(), log_.errorString());
    }
    auto const bytes = log_.readAll();
    while (auto const record = read_record(bytes, log_end_))
    {
        BOOST_LEAF_CHECK(load_frame(map_of(record->payload)));
        log_end_ = record->end;
    }
    // A crash while a leader's snapshot replaced a log of another branch.
    if (!entries_.empty() && entries_.front().term < snapshot_.term)
    {
        entries_.clear();
        BOOST_LEAF_CHECK(rewrite_log());
        return {};
    }
    if (log_end_ == bytes.size())
    {
        return {};
    }
    // Whole records after a bad one: not a torn write, but a damaged disk.
    auto const stated_end = stated_record_end(bytes, log_end_);
    if (stated_end && *stated_end < bytes.size() &&
        read_record(bytes, *stated_end))
    {
        return failure(log_.fileName(),
                       QStringLiteral("is damaged at byte %1; replace this "
                                      "replica")
                           .arg(log_end_));
    }
    storage_log.warn(QStringLiteral("Cut a torn record of %1 bytes.")
                         .arg(bytes.size() - log_end_));
    if (!log_.resize(log_end_) || !sync_file(log_))
    {
        return failure(log_.fileName(), system_reason());
    }
    return {};
}

boost::leaf::result<void> raft_storage::load_frame(QCborMap const& frame)
{
    auto const truncate = log_index(cbor_number(frame, "truncate"));
    while (truncate.value() > 0 && !entries_.empty() &&
           entries_.back().index >= truncate)
    {
        entries_.pop_back();
    }
    for (auto const& value : cbor_array(frame, "append"))
    {
        auto entry = entry_from_cbor(value.toMap());
        // A crash between the snapshot and the shorter log leaves these.
        if (entry.index <= snapshot_.index)
        {
            continue;
        }
        if (entry.index != next_index(last_index()))
        {
            return failure(log_.fileName(),
                           QStringLiteral("has a gap before entry %1")
                               .arg(entry.index.value()));
        }
        entries_.push_back(std::move(entry));
    }
    return {};
}

boost::leaf::result<void> raft_storage::write_frame(QCborMap const& frame)
{
    auto const record = checksummed_record(frame.toCborValue().toCbor());
    if (is_rewrite_due_)
    {
        BOOST_LEAF_CHECK(rewrite_log());
    }
    if (!write_synced(log_, log_end_, record))
    {
        auto const error = failure(log_.fileName(), system_reason());
        // Part of the record may be there; it must not precede the next one.
        is_rewrite_due_ = !log_.resize(log_end_) || !sync_file(log_);
        return error;
    }
    log_end_ += record.size();
    return {};
}

boost::leaf::result<void> raft_storage::rewrite_log()
{
    QCborArray list;
    for (auto const& entry : entries_)
    {
        list.append(to_cbor(entry));
    }
    QCborMap const frame{{QLatin1String("append"), list}};
    // A failure may leave the open file without its name, so that nothing
    // written to it would be found again.
    is_rewrite_due_ = true;
    // The same form as any other: one record that holds all that is left.
    BOOST_LEAF_CHECK(replace_file(path("log"), frame.toCborValue().toCbor()));
    log_.close();
    if (!log_.open(QIODevice::ReadWrite | QIODevice::Unbuffered))
    {
        return failure(log_.fileName(), log_.errorString());
    }
    log_end_ = log_.size();
    is_rewrite_due_ = false;
    return {};
}

QString raft_storage::path(char const* file) const
{
    return file_path(folder_, file);
}

} // namespace verbenacove
