#ifndef VERBENACOVE_REQUEST_WORK_MEMORY_HPP
#define VERBENACOVE_REQUEST_WORK_MEMORY_HPP

#include <QByteArray>
#include <QHash>

#include <array>
#include <cstddef>

namespace verbenacove
{

/** How likely an upstream has what a request needs at hand. */
enum class work_class
{
    /** It handled the same object among its last requests. */
    recent,
    /** It handled the object longer ago. */
    earlier,
    /** It has not handled the object, as far as is known. */
    unseen
};

constexpr std::size_t work_class_count = 3;

/** Which objects an upstream has handled, by this entry's requests. */
class upstream_work_memory
{
public:
    /** The most objects that are remembered. */
    static constexpr qsizetype maximum_keys = 512;

    /** Notes that the upstream has handled an object. */
    void note(QByteArray const& key);

    /** Returns the class of a request; `unseen` for an empty key. */
    work_class classify(QByteArray const& key) const;

private:
    /** The number of the latest request for each object. */
    QHash<QByteArray, qint64> latest_;
    qint64 requests_ = 0;
};

/** The time that a service's requests take, by class; moving averages over
    all its upstreams. */
class service_work
{
public:
    /** Returns the average in milliseconds; never 0. */
    double average_ms(work_class kind) const;

    /** Takes in the time that an answer took, its queueing left out. */
    void add(work_class kind, double duration_ms);

private:
    std::array<double, work_class_count> average_{};
};

} // namespace verbenacove

#endif
