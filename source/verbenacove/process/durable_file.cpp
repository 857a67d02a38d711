#include "verbenacove/process/durable_file.hpp"

#include <QFileInfo>
#include <QtEndian>

#include <boost/crc.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 header_bytes = 8;

quint32 checksum(char const* bytes, qsizetype size)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes, static_cast<std::size_t>(size));
    return crc.checksum();
}

write_fault& fault_in_force()
{
    static write_fault fault;
    return fault;
}

bool is_faulty(QString const& path)
{
    bool const fails = fault_in_force() && fault_in_force()(path);
    if (fails)
    {
        errno = ENOSPC;
    }
    return fails;
}

boost::leaf::error_id failure(QString const& path)
{
    return boost::leaf::new_error(
        raft_storage_error{path, QString::fromLocal8Bit(strerror(errno))});
}

} // namespace

void set_write_fault(write_fault fault)
{
    fault_in_force() = std::move(fault);
}

QByteArray checksummed_record(QByteArray const& payload)
{
    QByteArray record(header_bytes, Qt::Uninitialized);
    qToLittleEndian(static_cast<quint32>(payload.size()), record.data());
    qToLittleEndian(checksum(payload.constData(), payload.size()),
                    record.data() + 4);
    return record + payload;
}

std::optional<qint64> stated_record_end(QByteArray const& bytes, qint64 offset)
{
    if (bytes.size() - offset < header_bytes)
    {
        return std::nullopt;
    }
    return offset + header_bytes +
           qFromLittleEndian<quint32>(bytes.constData() + offset);
}

std::optional<record_slice> read_record(QByteArray const& bytes, qint64 offset)
{
    auto const end = stated_record_end(bytes, offset);
    if (!end || *end > bytes.size())
    {
        return std::nullopt;
    }
    auto const* const header = bytes.constData() + offset;
    auto const* const payload = header + header_bytes;
    auto const size = *end - offset - header_bytes;
    if (checksum(payload, size) != qFromLittleEndian<quint32>(header + 4))
    {
        return std::nullopt;
    }
    return record_slice{QByteArray(payload, size), *end};
}

boost::leaf::result<void> replace_file(QString const& path,
                                       QByteArray const& payload)
{
    QFile file(path + QStringLiteral(".new"));
    auto const record = checksummed_record(payload);
    bool const is_written =
        !is_faulty(file.fileName()) &&
        file.open(QIODevice::WriteOnly | QIODevice::Truncate |
                  QIODevice::Unbuffered) &&
        file.write(record) == record.size() && sync_file(file);
    file.close();
    if (!is_written)
    {
        auto const error = failure(path);
        file.remove();
        return error;
    }
    auto const from = QFile::encodeName(file.fileName());
    auto const to = QFile::encodeName(path);
    if (std::rename(from.constData(), to.constData()) != 0 ||
        !sync_folder(QFileInfo(path).path()))
    {
        return failure(path);
    }
    return {};
}

boost::leaf::result<QByteArray> read_file(QString const& path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
    {
        return boost::leaf::new_error(
            raft_storage_error{path, file.errorString()});
    }
    auto const record = read_record(file.readAll(), 0);
    if (!record)
    {
        return boost::leaf::new_error(raft_storage_error{
            path, QStringLiteral("is damaged: its checksum does not match")});
    }
    return record->payload;
}

bool write_synced(QFile& file, qint64 offset, QByteArray const& record)
{
    return !is_faulty(file.fileName()) && file.seek(offset) &&
           file.write(record) == record.size() && sync_file(file);
}

bool sync_file(QFile& file)
{
    return fdatasync(file.handle()) == 0;
}

bool sync_folder(QString const& folder)
{
    auto const handle = ::open(QFile::encodeName(folder).constData(),
                               O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
    {
        return false;
    }
    bool const is_synced = fsync(handle) == 0;
    ::close(handle);
    return is_synced;
}

} // namespace verbenacove
