#include "verbenacove/process/raft_storage.hpp"

#include <QTemporaryDir>

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

raft_entry entry_at(qint64 index)
{
    return {log_index(index),
            log_term(1),
            raft_entry_kind::command,
            {{QLatin1String("n"), index}}};
}

class storage_fixture
{
public:
    storage_fixture()
    {
        REQUIRE(raft_storage::create(folder(), replica_id(QStringLiteral("a")),
                                     {}));
    }

    QString folder() const { return folder_.filePath(QStringLiteral("r")); }

    std::unique_ptr<raft_storage> open()
    {
        auto storage = raft_storage::open(folder());
        REQUIRE(storage);
        return std::move(*storage);
    }

    bool can_open() { return bool(raft_storage::open(folder())); }

    void change_log(std::function<void(QByteArray&)> const& change)
    {
        QFile log(folder() + QStringLiteral("/log"));
        REQUIRE(log.open(QIODevice::ReadWrite));
        auto bytes = log.readAll();
        change(bytes);
        REQUIRE(log.resize(0));
        REQUIRE(log.seek(0));
        log.write(bytes);
    }

private:
    QTemporaryDir folder_;
};

} // namespace

TEST_CASE_FIXTURE(storage_fixture,
                  "storage: reopened: vote, entries and snapshot are there")
{
    {
        auto const storage = open();
        REQUIRE(storage->append({entry_at(1), entry_at(2), entry_at(3)}));
        REQUIRE(storage->truncate_from(log_index(3)));
        REQUIRE(
            storage->save_vote({log_term(7), replica_id(QStringLiteral("b"))}));
        REQUIRE(storage->save_snapshot(
            {log_index(1), log_term(1), {}, QByteArray("state")}));
    }
    auto const storage = open();
    CHECK(storage->identity() == replica_id(QStringLiteral("a")));
    CHECK(storage->vote().term == log_term(7));
    CHECK(storage->snapshot().state == QByteArray("state"));
    CHECK(storage->last_index() == log_index(2));
    CHECK(storage->entry_at(log_index(2)).content.value(QLatin1String("n")) ==
          QCborValue(2));
}

TEST_CASE_FIXTURE(storage_fixture,
                  "storage: the last record cut anywhere: the rest is kept")
{
    qint64 whole = 0;
    {
        auto const storage = open();
        REQUIRE(storage->append({entry_at(1)}));
        whole = storage->log_bytes();
        REQUIRE(storage->append({entry_at(2)}));
    }
    QByteArray original;
    change_log([&](QByteArray& bytes) { original = bytes; });
    for (qint64 size = whole; size < original.size(); ++size)
    {
        change_log([&](QByteArray& bytes) { bytes = original.left(size); });
        auto const storage = open();
        CHECK(storage->last_index() == log_index(1));
        CHECK(storage->log_bytes() == whole);
    }
}

TEST_CASE_FIXTURE(storage_fixture,
                  "storage: a record before the last is damaged: not opened")
{
    {
        auto const storage = open();
        REQUIRE(storage->append({entry_at(1)}));
        REQUIRE(storage->append({entry_at(2)}));
    }
    change_log([](QByteArray& bytes) { bytes[10] = char(bytes[10] ^ 1); });
    CHECK_FALSE(can_open());
}

TEST_CASE_FIXTURE(storage_fixture, "storage: opened twice: the second fails")
{
    auto const storage = open();
    CHECK_FALSE(can_open());
}
