#ifndef VERBENACOVE_PROCESS_DURABLE_FILE_HPP
#define VERBENACOVE_PROCESS_DURABLE_FILE_HPP

#include "verbenacove/process/raft_types.hpp"

#include <QByteArray>
#include <QFile>

#include <functional>
#include <optional>

namespace verbenacove
{

/** Decides for a file whether a write to it fails, as on a full disk. */
using write_fault = std::function<bool(QString const& path)>;

/** Sets which writes fail, for tests; null for none. Not thread-safe. */
void set_write_fault(write_fault fault);

/** Returns a record: its length, its CRC-32 and the payload. */
QByteArray checksummed_record(QByteArray const& payload);

/** One record found in a file's bytes. */
struct record_slice
{
    QByteArray payload;
    /** Where the next record starts, in bytes from the start of the file. */
    qint64 end = 0;
};

/** Reads the record at an offset; nothing when it is cut or its checksum does
    not match. */
std::optional<record_slice> read_record(QByteArray const& bytes, qint64 offset);

/** Returns where a record would end by the length that it states, whether or
    not the rest is right; nothing when not even the length is there. */
std::optional<qint64> stated_record_end(QByteArray const& bytes, qint64 offset);

/** Replaces a file by one checksummed record, whole or not at all, and
    returns once the file and its folder are synced. */
boost::leaf::result<void> replace_file(QString const& path,
                                       QByteArray const& payload);

/** Reads a file of one checksummed record. */
boost::leaf::result<QByteArray> read_file(QString const& path);

/** Writes a record at an offset of an open file and syncs it. When it
    returns false, part of the record may be there. */
bool write_synced(QFile& file, qint64 offset, QByteArray const& record);

/** Syncs a file's data to the disk; false with errno set when that fails. */
bool sync_file(QFile& file);

/** Syncs a folder, so that a rename in it lasts. */
bool sync_folder(QString const& folder);

} // namespace verbenacove

#endif
